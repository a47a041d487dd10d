//! Recovery of a replica whose disk is empty: it registers an incarnation and learns before it votes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ballot::Ballot;
use super::core::{Core, Proposal};
use super::message::Message;
use super::node::{Floors, Node};
use super::record::Record;
use super::settings::Fault;
use super::value::{Group, Value};

/// What a replica answered.
#[derive(Clone, Hash)]
pub(super) struct Testimony {
    pub(super) incarnation: u64,
    pub(super) floors: Floors,
    pub(super) promised: Ballot,
    pub(super) accepted: Ballot,
    pub(super) value: Value,
}

#[derive(Clone, Hash)]
pub(super) struct Recovery {
    /// The incarnation being registered; zero while it is still being asked for.
    incarnation: u64,
    contacts: Vec<Node>,
    answers: BTreeMap<Node, Testimony>,
    resend_at: Duration,
    interval: Duration,
}

impl Recovery {
    pub(super) fn start(core: &mut Core) -> Self {
        let mut recovery = Self {
            incarnation: 0,
            contacts: Vec::new(),
            answers: BTreeMap::new(),
            resend_at: core.now + core.settings.retry_interval,
            interval: core.settings.retry_interval,
        };
        for seed in core.settings.seeds.clone() {
            recovery.contact(core, seed);
        }
        recovery
    }

    /// A replica can be reached: it is asked unless it has answered.
    pub(super) fn reach(&mut self, core: &mut Core, node: Node) {
        if !self.contacts.contains(&node) {
            self.contacts.push(node);
        }
        if !self.answers.contains_key(&node) {
            self.ask(core, node);
        }
    }

    /// Asks a replica that was not asked before.
    fn contact(&mut self, core: &mut Core, node: Node) {
        if node != core.node() && !self.contacts.contains(&node) {
            self.contacts.push(node);
            self.ask(core, node);
        }
    }

    fn ask(&self, core: &mut Core, node: Node) {
        core.send(node, Message::Register { nonce: core.nonce, incarnation: self.incarnation });
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.resend_at
    }

    pub(super) fn on_tick(&mut self, core: &mut Core) {
        if self.resend_at > core.now {
            return;
        }
        self.interval = core.longer(self.interval);
        self.resend_at = core.now + self.interval;
        for node in self.contacts.iter().filter(|node| !self.answers.contains_key(*node)) {
            self.ask(core, *node);
        }
    }

    /// Takes an answer; gives the record once enough have answered.
    pub(super) fn on_registered(
        &mut self,
        core: &mut Core,
        from: Node,
        asked: u64,
        answer: Testimony,
    ) -> Option<Record> {
        if asked != self.incarnation {
            return None;
        }
        let floor = answer.floors.of(core.node());
        self.answers.insert(from, answer);
        for node in self.newest()?.value.members() {
            self.contact(core, node);
        }
        if asked != 0 && floor > asked {
            self.ask_all(core, 0);
            return None;
        }
        if self.missing(core).is_some() {
            return None;
        }
        if self.incarnation == 0 {
            let highest = self.answers.values().map(|answer| answer.floors.of(core.node())).max();
            self.ask_all(core, highest.unwrap_or_default() + 1);
            return None;
        }
        self.record(core)
    }

    /// Starts the next stage.
    fn ask_all(&mut self, core: &mut Core, incarnation: u64) {
        self.incarnation = incarnation;
        self.answers.clear();
        self.interval = core.settings.retry_interval;
        self.resend_at = core.now + self.interval;
        for node in self.contacts.clone() {
            self.ask(core, node);
        }
    }

    fn newest(&self) -> Option<Proposal> {
        let newest = self.answers.values().max_by_key(|answer| answer.accepted)?;
        Some(Proposal { ballot: newest.accepted, value: newest.value.clone() })
    }

    /// Answered and needed in the first group that lacks answers.
    pub(super) fn missing(&self, core: &Core) -> Option<(usize, usize)> {
        let Some(newest) = self.newest() else {
            return Some((0, 0));
        };
        newest.value.groups.iter().map(|group| self.count(core, group)).find(|(has, needs)| has < needs)
    }

    fn count(&self, core: &Core, group: &Group) -> (usize, usize) {
        let answered = group.members().iter().filter(|node| self.answers.contains_key(node)).count();
        let needed = if core.settings.has(Fault::RecoverFromOne) { 1 } else { group.recovery_quorum() };
        (answered, needed)
    }

    /// The highest promise, the newest accepted value and all floors.
    fn record(&self, core: &Core) -> Option<Record> {
        let newest = self.newest()?;
        let mut floors = Floors::default();
        for (node, answer) in &self.answers {
            floors.merge(&answer.floors);
            floors.raise(*node, answer.incarnation);
        }
        let promised = self.answers.values().map(|answer| answer.promised).max()?;
        let promised = promised.max(newest.ballot);
        let (accepted, value) = (newest.ballot, core.taken_over(newest.value));
        Some(Record { incarnation: self.incarnation, promised, accepted, value, floors })
    }
}
