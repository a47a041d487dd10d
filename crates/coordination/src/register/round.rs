//! One round of a proposer: a prepare phase, then a value, or several under further steps of the ballot.

use std::time::Duration;

use super::ballot::Ballot;
use super::core::{Core, Proposal};
use super::event::Outcome;
use super::message::Message;
use super::node::Node;
use super::quorum::{Votes, members, union};
use super::settings::Fault;
use super::value::{Carried, Group, Value};

/// What follows once a proposed value is decided.
#[derive(Clone, Hash)]
pub(super) enum Then {
    /// The batch is looked at again, on the value just decided.
    Again,
    /// As `Again`, and the change of members has got its joint value.
    Joined,
    /// The batch is answered.
    Answer(Vec<Outcome>),
}

#[derive(Clone, Hash)]
pub(super) enum Phase {
    /// Waiting for promises.
    Prepare { known: Proposal },
    /// Waiting for a value to be accepted by a majority of every group.
    Accept { value: Value, groups: Vec<Group>, then: Then },
}

#[derive(Clone, Hash)]
pub(super) struct Round {
    pub(super) ballot: Ballot,
    pub(super) phase: Phase,
    pub(super) votes: Votes<()>,
    /// The value to build on: the newest accepted one found.
    pub(super) base: Proposal,
    /// The base is known to be decided.
    pub(super) base_decided: bool,
    /// A value was decided in this round: the base is fresh.
    pub(super) confirmed: bool,
    /// Whom the message of this phase is for.
    pub(super) asked: Vec<Node>,
    /// Those of them that get it once they have answered an earlier one.
    pub(super) held: Vec<Node>,
    pub(super) resend_at: Duration,
    pub(super) interval: Duration,
}

impl Round {
    /// Groups that must promise: those the round started from and those of the newest value found.
    pub(super) fn required(&self, core: &Core, start: &[Group]) -> Vec<Group> {
        let newest = &self.base.value.groups;
        if core.settings.has(Fault::NewGroupOnly) { last(newest) } else { union(start, newest) }
    }

    /// Whether a replica was asked and has not given a vote that counts.
    pub(super) fn awaits(&self, node: Node) -> bool {
        self.asked.contains(&node) && !self.votes.counts(node)
    }

    pub(super) fn message(&self) -> Message {
        match &self.phase {
            Phase::Prepare { known } => Message::Prepare { ballot: self.ballot, known: known.ballot },
            Phase::Accept { value, .. } => Message::Accept { ballot: self.ballot, value: value.clone() },
        }
    }

    /// Sends the message of this phase to those that have not got it.
    pub(super) fn ask(&mut self, core: &mut Core, nodes: &[Node]) {
        for node in nodes {
            if !self.asked.contains(node) {
                self.asked.push(*node);
                core.send(*node, self.message());
            }
        }
    }

    /// Goes on to phase two with a value, under the next step of the ballot.
    pub(super) fn accept(&mut self, core: &mut Core, value: Value, then: Then) {
        let groups = if core.settings.has(Fault::NewGroupOnly) {
            last(&value.groups)
        } else {
            union(&self.base.value.groups, &value.groups)
        };
        let all = members(&union(&self.base.value.groups, &value.groups));
        self.ballot = self.ballot.next_step();
        self.phase = Phase::Accept { value, groups, then };
        self.votes = Votes::new(&core.settings);
        self.asked = Vec::new();
        self.held = Vec::new();
        self.interval = core.settings.retry_interval;
        self.resend_at = core.now + self.interval;
        for node in all {
            self.asked.push(node);
            self.send_value(core, node);
        }
    }

    /// Sends the value, or holds it back from a replica that has not answered the one before: such a one has
    /// a queue before it, which is to hold one value and not all that are decided meanwhile.
    fn send_value(&mut self, core: &mut Core, node: Node) {
        let waits = node != core.node() && !core.unanswered.insert(node);
        if waits && !core.settings.has(Fault::SendAhead) {
            return self.held.push(node);
        }
        core.send(node, self.message());
    }

    /// Sends the message of this phase to one that has not answered it.
    pub(super) fn send_again(&mut self, core: &mut Core, node: Node) {
        self.held.retain(|held| *held != node);
        if matches!(self.phase, Phase::Accept { .. }) {
            core.unanswered.insert(node);
        }
        core.send(node, self.message());
    }

    /// A replica has answered: what was held back is sent to it.
    pub(super) fn release(&mut self, core: &mut Core, node: Node) {
        if let Some(index) = self.held.iter().position(|held| *held == node) {
            self.held.swap_remove(index);
            self.send_value(core, node);
        }
    }
}

fn last(groups: &[Group]) -> Vec<Group> {
    groups.last().cloned().into_iter().collect()
}

/// Tells the members of a decision. Each of them was sent the value, or is being sent an earlier one; whoever
/// does not have it asks for it.
pub(super) fn announce(core: &mut Core, ballot: Ballot, nodes: &[Node]) {
    let own = core.node();
    for node in nodes.iter().copied().filter(|node| *node != own) {
        core.send(node, Message::Decided { ballot, value: Carried::Omitted });
    }
}
