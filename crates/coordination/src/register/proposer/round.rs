//! One round of a proposer: a prepare phase, then one value, or several under further steps of the ballot.

use crate::register::ballot::Ballot;
use crate::register::context::{Context, Proposal};
use crate::register::event::Outcome;
use crate::register::fault::Fault;
use crate::register::group::Group;
use crate::register::message::Message;
use crate::register::node::Node;
use crate::register::quorum::{Votes, members, union};
use crate::register::retry::RetryTimer;
use crate::register::value::{Value, ValueTransfer};

/// What follows once a proposed value is committed.
#[derive(Clone, Hash)]
pub(super) enum AfterCommit {
    /// The batch is proposed again, on the value just committed.
    Continue,
    /// As `Continue`, and the joint value of a membership change is committed.
    JointCommitted,
    /// The batch is answered with these outcomes.
    Complete(Vec<Outcome>),
}

/// What a round waits for.
#[derive(Clone, Hash)]
pub(super) enum Phase {
    /// Promises; `known` is the newest value known here at the start.
    Prepare { known: Proposal },
    /// Acceptance of a value by a majority of every group.
    Accept { value: Value, groups: Vec<Group>, after_commit: AfterCommit },
}

/// How much is known about the base of a round; later variants imply the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum BaseStatus {
    /// Some replica accepted it; it is possibly not committed.
    Accepted,
    /// It is committed; a newer value may be committed too.
    Committed,
    /// It was committed in this round, so that it is the newest committed value.
    Confirmed,
}

/// A round in progress.
#[derive(Clone, Hash)]
pub(super) struct Round {
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    pub(super) votes: Votes<()>,
    /// The value to build on: the newest accepted one found.
    pub(super) base: Proposal,
    pub(super) base_status: BaseStatus,
    /// Receivers of the message of this phase.
    pub(super) sent_to: Vec<Node>,
    /// Receivers to which it is sent once they have answered an earlier message.
    pub(super) deferred: Vec<Node>,
    pub(super) retry: RetryTimer,
}

impl Round {
    /// A round that waits for promises, based on the newest value that this replica knows.
    pub(super) fn new(context: &Context, ballot: Ballot, known: Proposal, base_status: BaseStatus) -> Self {
        Self {
            ballot,
            phase: Phase::Prepare { known: known.clone() },
            votes: Votes::new(&context.settings),
            base: known,
            base_status,
            sent_to: Vec::new(),
            deferred: Vec::new(),
            retry: RetryTimer::start(context),
        }
    }

    /// Groups that must promise: those the round started from and those of the newest value found.
    pub(super) fn required_groups(&self, context: &Context, start: &[Group]) -> Vec<Group> {
        let newest = &self.base.value.groups;
        if context.settings.has(Fault::NewGroupOnly) { newest_group(newest) } else { union(start, newest) }
    }

    /// Whether a replica was sent the message of this phase and has not cast a vote that counts.
    pub(super) fn is_awaiting(&self, node: Node) -> bool {
        self.sent_to.contains(&node) && !self.votes.counts(node)
    }

    /// The message of this phase.
    pub(super) fn message(&self) -> Message {
        match &self.phase {
            Phase::Prepare { known } => Message::Prepare { ballot: self.ballot, known: known.ballot },
            Phase::Accept { value, .. } => Message::Accept { ballot: self.ballot, value: value.clone() },
        }
    }

    /// Sends the message of this phase to the nodes that it was not sent to before.
    pub(super) fn send_to_new(&mut self, context: &mut Context, nodes: &[Node]) {
        for node in nodes {
            if !self.sent_to.contains(node) {
                self.sent_to.push(*node);
                context.send(*node, self.message());
            }
        }
    }

    /// Starts phase two with a value, under the next step of the ballot.
    pub(super) fn start_accept(&mut self, context: &mut Context, value: Value, after_commit: AfterCommit) {
        let groups = if context.settings.has(Fault::NewGroupOnly) {
            newest_group(&value.groups)
        } else {
            union(&self.base.value.groups, &value.groups)
        };
        let all = members(&union(&self.base.value.groups, &value.groups));
        self.ballot = self.ballot.next_step();
        self.phase = Phase::Accept { value, groups, after_commit };
        self.votes = Votes::new(&context.settings);
        self.sent_to = Vec::new();
        self.deferred = Vec::new();
        self.retry = RetryTimer::start(context);
        for node in all {
            self.sent_to.push(node);
            self.send_or_defer(context, node);
        }
    }

    /// Sends the value, or defers it for a replica that has not answered the previous one: at most one value is then
    /// queued for a slow replica, and not every value that is committed meanwhile.
    fn send_or_defer(&mut self, context: &mut Context, node: Node) {
        let is_behind = node != context.node() && !context.unanswered.insert(node);
        if is_behind && !context.settings.has(Fault::SendBeforeAnswer) {
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

    /// A replica has answered: a deferred message is sent to it.
    pub(super) fn send_deferred(&mut self, context: &mut Context, node: Node) {
        if let Some(index) = self.deferred.iter().position(|deferred| *deferred == node) {
            self.deferred.swap_remove(index);
            self.send_or_defer(context, node);
        }
    }
}

/// The newest group alone.
fn newest_group(groups: &[Group]) -> Vec<Group> {
    groups.last().cloned().into_iter().collect()
}

/// Announces a commit without its value to the other members. A member that lacks the value requests it.
pub(super) fn announce_commit(context: &mut Context, ballot: Ballot, nodes: &[Node]) {
    let own = context.node();
    for node in nodes.iter().copied().filter(|node| *node != own) {
        context.send(node, Message::Committed { ballot, value: ValueTransfer::Omitted });
    }
}
