//! One round of a proposer: a prepare phase, then a value, or several under further steps of the ballot.

use std::time::Duration;

use super::ballot::Ballot;
use super::context::{Context, Proposal};
use super::event::Outcome;
use super::message::Message;
use super::node::Node;
use super::quorum::{Votes, members, union};
use super::settings::Fault;
use super::value::{Group, Value, ValueTransfer};

/// What follows once a proposed value is committed.
#[derive(Clone, Hash)]
pub(super) enum AfterCommit {
    /// The batch is looked at again, on the value just committed.
    Continue,
    /// As `Continue`, and the change of members has got its joint value.
    JointCommitted,
    /// The batch is answered.
    Complete(Vec<Outcome>),
}

#[derive(Clone, Hash)]
pub(super) enum Phase {
    /// Waiting for promises.
    Prepare { known: Proposal },
    /// Waiting for a value to be accepted by a majority of every group.
    Accept { value: Value, groups: Vec<Group>, after_commit: AfterCommit },
}

#[derive(Clone, Hash)]
pub(super) struct Round {
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    pub(super) votes: Votes<()>,
    /// The value to build on: the newest accepted one found.
    pub(super) base: Proposal,
    /// The base is known to be committed.
    pub(super) base_committed: bool,
    /// A value was committed in this round: the base is fresh.
    pub(super) base_confirmed: bool,
    /// Whom the message of this phase is for.
    pub(super) sent_to: Vec<Node>,
    /// Those of them that get it once they have answered an earlier one.
    pub(super) deferred: Vec<Node>,
    pub(super) resend_at: Duration,
    pub(super) interval: Duration,
}

impl Round {
    /// Groups that must promise: those the round started from and those of the newest value found.
    pub(super) fn required_groups(&self, context: &Context, start: &[Group]) -> Vec<Group> {
        let newest = &self.base.value.groups;
        if context.settings.has(Fault::NewGroupOnly) { last(newest) } else { union(start, newest) }
    }

    /// Whether a replica was asked and has not given a vote that counts.
    pub(super) fn is_awaiting(&self, node: Node) -> bool {
        self.sent_to.contains(&node) && !self.votes.counts(node)
    }

    pub(super) fn message(&self) -> Message {
        match &self.phase {
            Phase::Prepare { known } => Message::Prepare { ballot: self.ballot, known: known.ballot },
            Phase::Accept { value, .. } => Message::Accept { ballot: self.ballot, value: value.clone() },
        }
    }

    /// Sends the message of this phase to those that have not got it.
    pub(super) fn send_to_new(&mut self, context: &mut Context, nodes: &[Node]) {
        for node in nodes {
            if !self.sent_to.contains(node) {
                self.sent_to.push(*node);
                context.send(*node, self.message());
            }
        }
    }

    /// Goes on to phase two with a value, under the next step of the ballot.
    pub(super) fn start_accept(&mut self, context: &mut Context, value: Value, after_commit: AfterCommit) {
        let groups = if context.settings.has(Fault::NewGroupOnly) {
            last(&value.groups)
        } else {
            union(&self.base.value.groups, &value.groups)
        };
        let all = members(&union(&self.base.value.groups, &value.groups));
        self.ballot = self.ballot.next_step();
        self.phase = Phase::Accept { value, groups, after_commit };
        self.votes = Votes::new(&context.settings);
        self.sent_to = Vec::new();
        self.deferred = Vec::new();
        self.interval = context.settings.retry_interval;
        self.resend_at = context.now + self.interval;
        for node in all {
            self.sent_to.push(node);
            self.send_or_defer(context, node);
        }
    }

    /// Sends the value, or holds it back from a replica that has not answered the one before: such a one has
    /// a queue before it, which is to hold one value and not all that are committed meanwhile.
    fn send_or_defer(&mut self, context: &mut Context, node: Node) {
        let waits = node != context.node() && !context.unanswered.insert(node);
        if waits && !context.settings.has(Fault::SendAhead) {
            return self.deferred.push(node);
        }
        context.send(node, self.message());
    }

    /// Sends the message of this phase to one that has not answered it.
    pub(super) fn resend(&mut self, context: &mut Context, node: Node) {
        self.deferred.retain(|deferred| *deferred != node);
        if matches!(self.phase, Phase::Accept { .. }) {
            context.unanswered.insert(node);
        }
        context.send(node, self.message());
    }

    /// A replica has answered: what was held back is sent to it.
    pub(super) fn send_deferred(&mut self, context: &mut Context, node: Node) {
        if let Some(index) = self.deferred.iter().position(|deferred| *deferred == node) {
            self.deferred.swap_remove(index);
            self.send_or_defer(context, node);
        }
    }
}

fn last(groups: &[Group]) -> Vec<Group> {
    groups.last().cloned().into_iter().collect()
}

/// Tells the members of a decision. Each of them was sent the value, or is being sent an earlier one; whoever
/// does not have it asks for it.
pub(super) fn announce_commit(context: &mut Context, ballot: Ballot, nodes: &[Node]) {
    let own = context.node();
    for node in nodes.iter().copied().filter(|node| *node != own) {
        context.send(node, Message::Committed { ballot, value: ValueTransfer::Omitted });
    }
}
