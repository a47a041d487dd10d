//! Recovery of a replica whose disk is empty: it registers an incarnation and learns before it votes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ballot::Ballot;
use super::context::{Context, Proposal};
use super::message::Message;
use super::node::{MinimumIncarnations, Node};
use super::record::Record;
use super::settings::Fault;
use super::value::{Group, Value};

/// What a replica answered.
#[derive(Clone, Hash)]
pub(super) struct RecoveryResponse {
    pub(super) incarnation: u64,
    pub(super) minimum_incarnations: MinimumIncarnations,
    pub(super) promised: Ballot,
    pub(super) accepted: Ballot,
    pub(super) value: Value,
}

#[derive(Clone, Hash)]
pub(super) struct Recovery {
    /// The incarnation being registered; zero while it is still being asked for.
    incarnation: u64,
    known_peers: Vec<Node>,
    responses: BTreeMap<Node, RecoveryResponse>,
    resend_at: Duration,
    interval: Duration,
}

impl Recovery {
    pub(super) fn start(context: &mut Context) -> Self {
        let mut recovery = Self {
            incarnation: 0,
            known_peers: Vec::new(),
            responses: BTreeMap::new(),
            resend_at: context.now + context.settings.retry_interval,
            interval: context.settings.retry_interval,
        };
        for seed in context.settings.seeds.clone() {
            recovery.add_peer(context, seed);
        }
        recovery
    }

    /// A replica can be reached: it is asked unless it has answered.
    pub(super) fn on_reachable(&mut self, context: &mut Context, node: Node) {
        if !self.known_peers.contains(&node) {
            self.known_peers.push(node);
        }
        if !self.responses.contains_key(&node) {
            self.send_registration(context, node);
        }
    }

    /// Asks a replica that was not asked before.
    fn add_peer(&mut self, context: &mut Context, node: Node) {
        if node != context.node() && !self.known_peers.contains(&node) {
            self.known_peers.push(node);
            self.send_registration(context, node);
        }
    }

    fn send_registration(&self, context: &mut Context, node: Node) {
        context
            .send(node, Message::RegisterIncarnation { nonce: context.nonce, incarnation: self.incarnation });
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.resend_at
    }

    pub(super) fn on_tick(&mut self, context: &mut Context) {
        if self.resend_at > context.now {
            return;
        }
        self.interval = context.next_retry_interval(self.interval);
        self.resend_at = context.now + self.interval;
        for node in self.known_peers.iter().filter(|node| !self.responses.contains_key(*node)) {
            self.send_registration(context, *node);
        }
    }

    /// Takes an answer; gives the record once enough have answered.
    pub(super) fn on_incarnation_registered(
        &mut self,
        context: &mut Context,
        from: Node,
        requested: u64,
        response: RecoveryResponse,
    ) -> Option<Record> {
        if requested != self.incarnation {
            return None;
        }
        let minimum = response.minimum_incarnations.of(context.node());
        self.responses.insert(from, response);
        for node in self.newest_accepted()?.value.members() {
            self.add_peer(context, node);
        }
        if requested != 0 && minimum > requested {
            self.start_stage(context, 0);
            return None;
        }
        if self.missing_responses(context).is_some() {
            return None;
        }
        if self.incarnation == 0 {
            let highest = self
                .responses
                .values()
                .map(|response| response.minimum_incarnations.of(context.node()))
                .max();
            self.start_stage(context, highest.unwrap_or_default() + 1);
            return None;
        }
        self.recovered_record(context)
    }

    /// Starts the next stage.
    fn start_stage(&mut self, context: &mut Context, incarnation: u64) {
        self.incarnation = incarnation;
        self.responses.clear();
        self.interval = context.settings.retry_interval;
        self.resend_at = context.now + self.interval;
        for node in self.known_peers.clone() {
            self.send_registration(context, node);
        }
    }

    fn newest_accepted(&self) -> Option<Proposal> {
        let newest = self.responses.values().max_by_key(|response| response.accepted)?;
        Some(Proposal { ballot: newest.accepted, value: newest.value.clone() })
    }

    /// Answered and needed in the first group that lacks answers.
    pub(super) fn missing_responses(&self, context: &Context) -> Option<(usize, usize)> {
        let Some(newest) = self.newest_accepted() else {
            return Some((0, 0));
        };
        newest
            .value
            .groups
            .iter()
            .map(|group| self.count_responses(context, group))
            .find(|(has, needs)| has < needs)
    }

    fn count_responses(&self, context: &Context, group: &Group) -> (usize, usize) {
        let answered = group.members().iter().filter(|node| self.responses.contains_key(node)).count();
        let needed = if context.settings.has(Fault::RecoverFromOne) { 1 } else { group.recovery_quorum() };
        (answered, needed)
    }

    /// The highest promise, the newest accepted value and all floors.
    fn recovered_record(&self, context: &Context) -> Option<Record> {
        let newest = self.newest_accepted()?;
        let mut minimum_incarnations = MinimumIncarnations::default();
        for (node, response) in &self.responses {
            minimum_incarnations.merge(&response.minimum_incarnations);
            minimum_incarnations.raise(*node, response.incarnation);
        }
        let promised = self.responses.values().map(|response| response.promised).max()?;
        let promised = promised.max(newest.ballot);
        let (accepted, value) = (newest.ballot, context.adopt(newest.value));
        Some(Record { incarnation: self.incarnation, promised, accepted, value, minimum_incarnations })
    }
}
