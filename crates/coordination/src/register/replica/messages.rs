//! Routing of messages to the parts of a replica.

use super::Replica;
use crate::register::acceptor::Acceptor;
use crate::register::ballot::Ballot;
use crate::register::message::Message;
use crate::register::node::Node;
use crate::register::proposer::Promise;
use crate::register::reader::{ReadReply, TasksToPropose};
use crate::register::recovery::RecoveryResponse;
use crate::register::task::{Operation, Task};
use crate::register::value::{Value, ValueTransfer};

impl Replica {
    pub(super) fn on_message(&mut self, from: Node, message: Message) {
        if message.is_answer() {
            self.proposer.on_answer(&mut self.context, from);
        }
        match message {
            Message::Prepare { ballot, known } => {
                self.proposer.observe_ballot(ballot);
                self.with_acceptor(|acceptor, context| acceptor.on_prepare(context, from, ballot, known));
            }
            Message::Accept { ballot, value } => {
                self.proposer.observe_ballot(ballot);
                self.with_acceptor(|acceptor, context| acceptor.on_accept(context, from, ballot, value));
            }
            Message::Promise { ballot, voter, accepted, value } => {
                let promise = Promise { voter, accepted, value };
                self.proposer.on_promise(&mut self.context, from, ballot, promise);
            }
            Message::Accepted { ballot, voter } => {
                self.proposer.on_accepted(&mut self.context, from, ballot, voter);
            }
            Message::Rejected { ballot, promised } => {
                self.proposer.on_rejected(&mut self.context, ballot, promised);
            }
            Message::Committed { ballot, value } => self.on_committed(from, ballot, value),
            Message::ReadQuery { request, known } => {
                self.with_acceptor(|acceptor, context| acceptor.on_read_query(context, from, request, known));
            }
            Message::ReadReply { request, voter, promised, accepted, value } => {
                let reply = ReadReply { voter, promised, accepted, value };
                let to_propose = self.reader.on_read_reply(&mut self.context, from, request, reply);
                self.enqueue_proposals(to_propose);
            }
            Message::PollCommitted { committed, known } => self.on_poll_committed(from, committed, known),
            Message::RegisterIncarnation { nonce, incarnation } => self.with_acceptor(|acceptor, context| {
                acceptor.on_register_incarnation(context, from, nonce, incarnation);
            }),
            Message::IncarnationRegistered { nonce, requested, voter, promised, accepted, value } => {
                let response = RecoveryResponse { voter, promised, accepted, value };
                self.on_incarnation_registered(from, nonce, requested, response);
            }
        }
    }

    /// A commit is announced, with its value or without.
    fn on_committed(&mut self, from: Node, ballot: Ballot, value: ValueTransfer) {
        let accepted =
            self.acceptor.as_ref().map(Acceptor::record).filter(|record| record.accepted == ballot);
        let is_answer = matches!(value, ValueTransfer::Full(_));
        let sent = value.into_value().map(|value| self.context.adopt(value));
        let value = sent.or_else(|| accepted.map(|record| record.value.clone()));
        match value {
            Some(value) => {
                self.record_committed(ballot, &value);
                self.catch_up.on_committed(&mut self.context, ballot, is_answer);
            }
            None if self.context.committed.as_ref().is_none_or(|known| known.ballot < ballot) => {
                self.catch_up.on_commit_announced(&mut self.context, from, ballot);
            }
            None => {}
        }
    }

    fn record_committed(&mut self, ballot: Ballot, value: &Value) {
        self.context.record_committed(ballot, value);
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.on_committed(ballot, value);
        }
        self.proposer.on_committed(&mut self.context, ballot, value);
        let to_propose = self.reader.on_committed(&mut self.context);
        self.enqueue_proposals(to_propose);
    }

    /// Answers a poll with a newer committed value, or requests the one that the sender knows.
    fn on_poll_committed(&mut self, from: Node, committed: Ballot, known: bool) {
        let own = self.context.committed.as_ref().map(|committed| committed.ballot);
        match own {
            Some(own) if !known || own > committed => {
                if let Some(message) = self.context.committed_message() {
                    self.context.send(from, message);
                }
            }
            own if known && own.is_none_or(|own| own < committed) => {
                self.catch_up.on_commit_announced(&mut self.context, from, committed);
            }
            _ => {}
        }
    }

    /// A response to this replica's recovery, which ends once enough replicas have responded.
    fn on_incarnation_registered(
        &mut self,
        from: Node,
        nonce: u64,
        requested: u64,
        response: RecoveryResponse,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| nonce == self.context.nonce) else {
            return;
        };
        if let Some(record) = recovery.on_incarnation_registered(&mut self.context, from, requested, response)
        {
            self.recovery = None;
            self.acceptor = Some(Acceptor::unwritten(record));
            self.reader.enqueue(Task::internal(Operation::Read));
        }
    }

    pub(super) fn enqueue_proposals(&mut self, tasks: TasksToPropose) {
        for task in tasks {
            self.proposer.enqueue(task);
        }
    }
}
