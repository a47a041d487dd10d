//! Inputs and outputs of a replica.

use std::time::Duration;

use bytes::Bytes;

use super::message::Message;
use super::node::Node;
use super::record::Record;
use super::value::Value;

/// An input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A message arrived.
    Message {
        /// The sender.
        from: Node,
        /// The message.
        message: Message,
    },
    /// The record of [`Output::Persist`] is on disk.
    Persisted {
        /// As in the output.
        token: u64,
    },
    /// The record of [`Output::Persist`] could not be written; the write is requested again later.
    PersistFailed {
        /// As in the output.
        token: u64,
    },
    /// The time of [`super::Replica::next_wake`] is reached.
    Tick,
    /// Applies a command.
    Propose {
        /// Identifies the request in [`Output::Done`].
        request: u64,
        /// For the state machine.
        command: Vec<u8>,
        /// When the request expires.
        deadline: Duration,
    },
    /// Reads the value. It is never older than a change that was acknowledged before the request.
    Read {
        /// Identifies the request in [`Output::Done`].
        request: u64,
        /// When the request expires.
        deadline: Duration,
    },
    /// Changes the members.
    ChangeMembers {
        /// Identifies the request in [`Output::Done`].
        request: u64,
        /// Members that leave.
        remove: Vec<Node>,
        /// Nodes that join.
        add: Vec<Node>,
        /// When the request expires.
        deadline: Duration,
    },
    /// A node that may know the group is reachable, for the first time or again (a connection to it was
    /// established): messages that it has not answered are sent to it again immediately.
    PeerReachable {
        /// The node.
        node: Node,
    },
}

/// An output of a replica, which its driver carries out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message; it may be lost, duplicated or reordered.
    Send {
        /// The receiver, never the replica itself.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Write a record, replacing the one before. At most one write is in flight.
    Persist {
        /// Identifies the write in [`Input::Persisted`] or [`Input::PersistFailed`].
        token: u64,
        /// The record to write.
        record: Record,
    },
    /// A request is answered.
    Done {
        /// The request.
        request: u64,
        /// Its answer.
        outcome: Outcome,
    },
    /// A newer committed value became known. Revisions never decrease.
    Committed {
        /// The value.
        value: Value,
    },
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is committed and durable.
    Changed {
        /// The revision the change led to.
        revision: u64,
        /// From the state machine; empty for a change of members.
        answer: Vec<u8>,
    },
    /// Nothing had to change.
    Unchanged {
        /// The revision that the command was applied to.
        revision: u64,
        /// From the state machine.
        answer: Vec<u8>,
    },
    /// The command does not apply.
    Refused {
        /// The revision that the command was applied to.
        revision: u64,
        /// From the state machine.
        answer: Vec<u8>,
    },
    /// The value read.
    Value {
        /// Its revision.
        revision: u64,
        /// Its state.
        state: Bytes,
    },
    /// The deadline passed before the command was proposed: it has no effect, now or later.
    Expired,
    /// Unknown: the command may have taken effect, or may do so later.
    Timeout,
}

/// The member status of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The disk was empty: the replica does not vote until enough members have answered.
    Recovering {
        /// Replicas that answered so far.
        answered: usize,
        /// Replicas that must answer, in the first group without enough answers; zero while no group is known.
        needed: usize,
    },
    /// Voting member.
    Member,
    /// Able to vote, but not a member of the newest group that it knows.
    Spare,
}
