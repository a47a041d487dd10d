//! The acceptor: gives promises and accepts values. It replies only once the record that contains the promise or
//! the value is durable.

use std::mem::discriminant;
use std::time::Duration;

use super::ballot::Ballot;
use super::context::Context;
use super::event::Output;
use super::fault::Fault;
use super::incarnation::Voter;
use super::message::Message;
use super::node::Node;
use super::record::Record;
use super::value::{Value, ValueTransfer};

/// An answer that is sent once this version of the record is durable.
#[derive(Clone, Hash)]
struct DeferredReply {
    version: u64,
    to: Node,
    message: Message,
}

/// A record whose write is in flight.
#[derive(Clone, Hash)]
struct Write {
    version: u64,
    record: Record,
}

#[derive(Clone, Hash)]
pub(super) struct Acceptor {
    current: Record,
    /// Incremented with each change of the record.
    version: u64,
    /// The record as the disk holds it.
    durable: Option<Record>,
    durable_version: u64,
    write_in_flight: Option<Write>,
    /// When a failed write is tried again.
    retry_at: Option<Duration>,
    deferred_replies: Vec<DeferredReply>,
}

impl Acceptor {
    /// An acceptor whose record is on disk.
    pub(super) fn stored(record: Record) -> Self {
        Self { durable_version: 1, durable: Some(record.clone()), ..Self::unwritten(record) }
    }

    /// An acceptor whose record is yet to be written.
    pub(super) fn unwritten(record: Record) -> Self {
        Self {
            current: record,
            version: 1,
            durable: None,
            durable_version: 0,
            write_in_flight: None,
            retry_at: None,
            deferred_replies: Vec::new(),
        }
    }

    pub(super) fn record(&self) -> &Record {
        &self.current
    }

    /// Whether a record is on disk and the last write did not fail.
    pub(super) fn is_stored(&self) -> bool {
        self.durable_version > 0 && self.retry_at.is_none()
    }

    /// Starts a write if the record has changed and no write is in flight.
    pub(super) fn persist(&mut self, context: &mut Context) {
        let is_waiting = self.retry_at.is_some_and(|at| at > context.now);
        if self.version == self.durable_version || self.write_in_flight.is_some() || is_waiting {
            return;
        }
        self.retry_at = None;
        self.write_in_flight = Some(Write { version: self.version, record: self.current.clone() });
        context.outputs.push_back(Output::Persist { token: self.version, record: self.current.clone() });
    }

    /// The write of version `token` is durable: answers that waited for it are sent.
    pub(super) fn on_persisted(&mut self, context: &mut Context, token: u64) {
        let Some(write) = self.write_in_flight.take_if(|write| write.version == token) else {
            return;
        };
        self.durable = Some(write.record);
        self.durable_version = write.version;
        for reply in self.deferred_replies.extract_if(.., |reply| reply.version <= token) {
            context.send(reply.to, reply.message);
        }
    }

    /// The write of version `token` failed: it is tried again later.
    pub(super) fn on_persist_failed(&mut self, context: &Context, token: u64) {
        if self.write_in_flight.take_if(|write| write.version == token).is_some() {
            self.retry_at = Some(context.now + context.settings.persist_retry_interval);
        }
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Phase one: promises to accept nothing below `ballot`, or rejects it.
    pub(super) fn on_prepare(&mut self, context: &mut Context, from: Node, ballot: Ballot, known: Ballot) {
        if ballot < self.current.promised {
            let promised = self.current.promised;
            return context.send(from, Message::Rejected { ballot, promised });
        }
        if ballot > self.current.promised {
            self.current.promised = ballot;
            self.version += 1;
        }
        let message = Message::Promise {
            ballot,
            voter: voter(&self.current),
            accepted: self.current.accepted,
            value: value_newer_than(&self.current, known),
        };
        self.reply(context, from, message);
    }

    /// Phase two: accepts the value of `ballot`, or rejects it.
    pub(super) fn on_accept(&mut self, context: &mut Context, from: Node, ballot: Ballot, value: Value) {
        if ballot < self.current.promised && !context.settings.has(Fault::AcceptBelowPromise) {
            let promised = self.current.promised;
            return context.send(from, Message::Rejected { ballot, promised });
        }
        if ballot != self.current.accepted || context.settings.has(Fault::ReuseBallot) {
            self.accept(ballot, value);
        }
        let message = Message::Accepted { ballot, voter: voter(&self.current) };
        self.reply(context, from, message);
    }

    /// Catches up with a committed value, as if its proposer had just requested to accept it.
    pub(super) fn on_committed(&mut self, ballot: Ballot, value: &Value) {
        if ballot >= self.current.promised && ballot > self.current.accepted {
            self.accept(ballot, value.clone());
        }
    }

    fn accept(&mut self, ballot: Ballot, value: Value) {
        self.current.promised = ballot;
        self.current.accepted = ballot;
        self.current.value = value;
        self.version += 1;
    }

    /// Answers a quorum read with the record on disk, so that a stalled disk does not delay reads.
    pub(super) fn on_read_query(&mut self, context: &mut Context, from: Node, request: u64, known: Ballot) {
        let record = self.durable.as_ref().unwrap_or(&self.current);
        let message = Message::ReadReply {
            request,
            voter: voter(record),
            promised: record.promised,
            accepted: record.accepted,
            value: value_newer_than(record, known),
        };
        if self.durable.is_some() {
            context.send(from, message);
        } else {
            self.reply(context, from, message);
        }
    }

    /// Registers an incarnation of a recovering replica and sends it the state of this replica.
    pub(super) fn on_register_incarnation(
        &mut self,
        context: &mut Context,
        from: Node,
        nonce: u64,
        incarnation: u64,
    ) {
        if self.current.minimum_incarnations.raise(from, incarnation) {
            self.version += 1;
        }
        let message = Message::IncarnationRegistered {
            nonce,
            requested: incarnation,
            voter: voter(&self.current),
            promised: self.current.promised,
            accepted: self.current.accepted,
            value: self.current.value.clone(),
        };
        self.reply(context, from, message);
    }

    /// Sends an answer as soon as the present record is durable. A deferred answer of the same kind to the same
    /// node is replaced.
    fn reply(&mut self, context: &mut Context, to: Node, message: Message) {
        if self.durable_version == self.version || context.settings.has(Fault::ReplyBeforePersist) {
            return context.send(to, message);
        }
        let kind = discriminant(&message);
        self.deferred_replies.retain(|reply| reply.to != to || discriminant(&reply.message) != kind);
        self.deferred_replies.push(DeferredReply { version: self.version, to, message });
    }
}

/// The accepted value, unless the receiver already has it; `known` is the ballot of the newest value it has.
fn value_newer_than(record: &Record, known: Ballot) -> ValueTransfer {
    if record.accepted > known { ValueTransfer::Full(record.value.clone()) } else { ValueTransfer::Omitted }
}

/// The incarnations that votes and answers contain.
fn voter(record: &Record) -> Voter {
    let minimum_incarnations = record.minimum_incarnations.clone();
    Voter { incarnation: record.incarnation, minimum_incarnations }
}
