//! Quorum reads: one round trip if a majority holds the newest value, a proposal of the same value otherwise.

use std::time::Duration;

use super::ballot::Ballot;
use super::batch::{Item, Work, expired};
use super::core::{Core, Proposal, earlier};
use super::event::{Applied, Outcome};
use super::message::Message;
use super::node::{Floors, Node};
use super::proposer::Proposer;
use super::quorum::{Votes, members, union};
use super::settings::Fault;
use super::value::{Carried, Group};

/// Spreads the nonces of successive processes, so that the numbers of their queries lie far apart: an answer to
/// a query of an earlier process must not count, as it may be older than what was acknowledged since.
const NONCE_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a replica told of itself.
#[derive(Clone, Hash)]
struct Told {
    promised: Ballot,
    accepted: Ballot,
}

#[derive(Clone, Hash)]
struct Query {
    request: u64,
    items: Vec<Item>,
    start: Proposal,
    newest: Proposal,
    votes: Votes<Told>,
    asked: Vec<Node>,
    resend_at: Duration,
    interval: Duration,
}

#[derive(Clone, Default, Hash)]
pub(super) struct Reader {
    waiting: Vec<Item>,
    query: Option<Query>,
    /// Queries of this process so far.
    started: u64,
}

impl Reader {
    /// Takes a read, or a command that seems to change nothing.
    pub(super) fn push(&mut self, item: Item) {
        self.waiting.push(item);
    }

    /// Whether a query could start, if the group is known.
    pub(super) fn is_ready(&self) -> bool {
        self.query.is_none() && !self.waiting.is_empty()
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let started = self.query.iter().flat_map(|query| query.items.iter());
        let deadline = self.waiting.iter().chain(started).map(|item| item.deadline).min();
        let resend = self.query.as_ref().map(|query| query.resend_at);
        earlier(deadline, resend).filter(|at| *at != Duration::MAX)
    }

    /// Starts a query for all that wait, if none is under way.
    pub(super) fn start(&mut self, core: &mut Core, known: Option<Proposal>) {
        if !self.is_ready() {
            return;
        }
        let Some(known) = known else {
            return;
        };
        self.started += 1;
        let mut query = Query {
            request: core.nonce.wrapping_mul(NONCE_SPREAD).wrapping_add(self.started),
            items: std::mem::take(&mut self.waiting),
            start: known.clone(),
            newest: known,
            votes: Votes::new(&core.settings),
            asked: Vec::new(),
            resend_at: core.now + core.settings.retry_interval,
            interval: core.settings.retry_interval,
        };
        query.ask(core, &query.start.value.members());
        self.query = Some(query);
    }

    pub(super) fn on_state(
        &mut self,
        core: &mut Core,
        proposer: &mut Proposer,
        from: Node,
        request: u64,
        voter: (u64, Floors),
        state: (Ballot, Ballot, Carried),
    ) {
        let Some(query) = self.query.as_mut().filter(|query| query.request == request) else {
            return;
        };
        let (promised, accepted, value) = state;
        match value.into_value() {
            Some(value) if accepted > query.newest.ballot => {
                query.newest = Proposal { ballot: accepted, value };
            }
            None if accepted > query.newest.ballot => return,
            _ => {}
        }
        query.votes.insert(from, voter.0, voter.1, Told { promised, accepted });
        let groups = query.groups();
        query.ask(core, &members(&groups));
        if !query.votes.satisfy(&groups, |_| true) {
            return;
        }
        if query.is_decided(core) {
            self.finish(core, proposer);
        } else if members(&groups).iter().all(|node| query.votes.counts(*node)) {
            self.repair(proposer);
        }
    }

    /// A replica can be reached again: it is asked again unless it has answered.
    pub(super) fn reach(&self, core: &mut Core, node: Node) {
        if let Some(query) = self.query.as_ref().filter(|query| query.awaits(node)) {
            core.send(node, query.message());
        }
    }

    /// Gives up what is late, asks the silent again, repairs what stays undecided.
    pub(super) fn on_tick(&mut self, core: &mut Core, proposer: &mut Proposer) {
        self.expire(core);
        let Some(query) = &mut self.query else {
            return;
        };
        if query.resend_at > core.now {
            return;
        }
        if query.votes.satisfy(&query.groups(), |_| true) {
            return self.repair(proposer);
        }
        query.interval = core.longer(query.interval);
        query.resend_at = core.now + query.interval;
        let silent: Vec<Node> = query.asked.iter().copied().filter(|node| query.awaits(*node)).collect();
        for node in silent {
            core.send(node, query.message());
        }
    }

    fn expire(&mut self, core: &mut Core) {
        let now = core.now;
        let started = self.query.as_mut().map(|query| &mut query.items);
        for items in started.into_iter().chain([&mut self.waiting]) {
            for item in items.iter_mut().filter(|item| item.deadline <= now) {
                core.done(item.request.take(), expired(&item.work, false));
            }
            items.retain(|item| item.deadline > now);
        }
        self.query.take_if(|query| query.items.is_empty());
    }

    /// A decided value learned from elsewhere may settle the query, or show it newer groups.
    pub(super) fn on_learned(&mut self, core: &mut Core, proposer: &mut Proposer) {
        let Some((query, decided)) = self.query.as_mut().zip(core.decided.clone()) else {
            return;
        };
        if decided.ballot < query.newest.ballot {
            return;
        }
        query.start = decided.clone();
        query.newest = decided;
        let groups = query.groups();
        query.ask(core, &members(&groups));
        if query.votes.satisfy(&groups, |_| true) {
            self.finish(core, proposer);
        }
    }

    /// Answers with the newest value.
    fn finish(&mut self, core: &mut Core, proposer: &mut Proposer) {
        let Some(query) = self.query.take() else {
            return;
        };
        let Proposal { ballot, value } = query.newest;
        core.learn(ballot, &value);
        for item in query.items {
            match &item.work {
                Work::Command(command) => match core.machine.apply(&value.state, command) {
                    Applied::Changed { .. } => proposer.push(item),
                    Applied::Unchanged { answer } => {
                        core.done(item.request, Outcome::Unchanged { revision: value.revision, answer });
                    }
                    Applied::Refused { answer } => {
                        core.done(item.request, Outcome::Refused { revision: value.revision, answer });
                    }
                },
                _ => {
                    let (revision, state) = (value.revision, value.state.clone());
                    core.done(item.request, Outcome::Value { revision, state });
                }
            }
        }
    }

    /// Leaves the items to the proposer, which gets the newest value decided.
    fn repair(&mut self, proposer: &mut Proposer) {
        for item in self.query.take().into_iter().flat_map(|query| query.items) {
            proposer.push(item);
        }
    }
}

impl Query {
    fn message(&self) -> Message {
        Message::Query { request: self.request, known: self.start.ballot }
    }

    fn awaits(&self, node: Node) -> bool {
        self.asked.contains(&node) && !self.votes.counts(node)
    }

    fn groups(&self) -> Vec<Group> {
        union(&self.start.value.groups, &self.newest.value.groups)
    }

    fn ask(&mut self, core: &mut Core, nodes: &[Node]) {
        for node in nodes {
            if !self.asked.contains(node) {
                self.asked.push(*node);
                core.send(*node, self.message());
            }
        }
    }

    /// Whether the newest value is decided. A recovered replica may hold a value below its promise that it
    /// never voted for, so only those count whose promise is that same ballot.
    fn is_decided(&self, core: &Core) -> bool {
        let newest = self.newest.ballot;
        let known = core.decided.as_ref().is_some_and(|decided| decided.ballot == newest);
        let accepted = |told: &Told| told.accepted == newest && told.promised == newest;
        known
            || core.settings.has(Fault::ReadUndecided)
            || self.votes.satisfy(&self.newest.value.groups, accepted)
    }
}
