//! Recovery of a replica that lost its disk: it registers a new incarnation and learns the state of the others
//! before it votes.
//!
//! Recovery has two stages. In the first the replica queries the highest incarnation that the others know of it;
//! in the second it registers a higher one. The documentation of [the module](super) explains why this is safe.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ballot::Ballot;
use super::context::{Context, Proposal};
use super::fault::Fault;
use super::group::Group;
use super::incarnation::{MinimumIncarnations, Voter};
use super::message::Message;
use super::node::Node;
use super::record::Record;
use super::retry::RetryTimer;
use super::value::Value;

/// Sent in place of an incarnation in the first stage, which registers none.
const QUERY_ONLY: u64 = 0;

/// The answer of a voting replica to one that lost its disk.
#[derive(Clone, Hash)]
pub(super) struct RecoveryResponse {
    pub(super) voter: Voter,
    pub(super) promised: Ballot,
    pub(super) accepted: Ballot,
    pub(super) value: Value,
}

/// How many members of a group have responded, and how many have to respond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ResponseCount {
    pub(super) answered: usize,
    pub(super) needed: usize,
}

#[derive(Clone, Hash)]
pub(super) struct Recovery {
    /// The incarnation being registered, or [`QUERY_ONLY`].
    incarnation: u64,
    known_peers: Vec<Node>,
    responses: BTreeMap<Node, RecoveryResponse>,
    retry: RetryTimer,
}

impl Recovery {
    pub(super) fn start(context: &mut Context) -> Self {
        let mut recovery = Self {
            incarnation: QUERY_ONLY,
            known_peers: Vec::new(),
            responses: BTreeMap::new(),
            retry: RetryTimer::start(context),
        };
        for seed in context.settings.seeds.clone() {
            recovery.add_peer(context, seed);
        }
        recovery
    }

    /// A peer is reachable: it gets the request unless it has responded.
    pub(super) fn on_reachable(&mut self, context: &mut Context, node: Node) {
        if !self.known_peers.contains(&node) {
            self.known_peers.push(node);
        }
        if !self.responses.contains_key(&node) {
            self.send_registration(context, node);
        }
    }

    /// Sends the request to a peer that was not known before.
    fn add_peer(&mut self, context: &mut Context, node: Node) {
        if node != context.node() && !self.known_peers.contains(&node) {
            self.known_peers.push(node);
            self.send_registration(context, node);
        }
    }

    fn send_registration(&self, context: &mut Context, node: Node) {
        let message = Message::RegisterIncarnation { nonce: context.nonce, incarnation: self.incarnation };
        context.send(node, message);
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.retry.due_at()
    }

    /// Sends the request again to those that have not responded in time.
    pub(super) fn on_tick(&mut self, context: &mut Context) {
        if !self.retry.is_due(context) {
            return;
        }
        self.retry.back_off(context);
        for node in self.known_peers.iter().filter(|node| !self.responses.contains_key(*node)) {
            self.send_registration(context, *node);
        }
    }

    /// Adds a response to the request for the incarnation `requested`. Returns the recovered record once enough
    /// replicas have responded in the second stage.
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
        let minimum = response.voter.minimum_incarnations.of(context.node());
        self.responses.insert(from, response);
        for node in self.newest_accepted()?.value.members() {
            self.add_peer(context, node);
        }
        if requested != QUERY_ONLY && minimum > requested {
            // A later incarnation of this node has registered meanwhile.
            self.start_stage(context, QUERY_ONLY);
            return None;
        }
        if self.missing_responses(context).is_some() {
            return None;
        }
        if self.incarnation == QUERY_ONLY {
            let highest = self.highest_own_incarnation(context);
            self.start_stage(context, highest + 1);
            return None;
        }
        self.recovered_record(context)
    }

    fn highest_own_incarnation(&self, context: &Context) -> u64 {
        let responses = self.responses.values();
        let incarnations = responses.map(|response| response.voter.minimum_incarnations.of(context.node()));
        incarnations.max().unwrap_or_default()
    }

    /// Starts a stage: the request is sent to all known peers.
    fn start_stage(&mut self, context: &mut Context, incarnation: u64) {
        self.incarnation = incarnation;
        self.responses.clear();
        self.retry = RetryTimer::start(context);
        for node in self.known_peers.clone() {
            self.send_registration(context, node);
        }
    }

    fn newest_accepted(&self) -> Option<Proposal> {
        let newest = self.responses.values().max_by_key(|response| response.accepted)?;
        Some(Proposal { ballot: newest.accepted, value: newest.value.clone() })
    }

    /// The counts of the first group in force that lacks responses; both are zero while no group is known.
    pub(super) fn missing_responses(&self, context: &Context) -> Option<ResponseCount> {
        let Some(newest) = self.newest_accepted() else {
            return Some(ResponseCount::default());
        };
        let mut counts = newest.value.groups.iter().map(|group| self.count_responses(context, group));
        counts.find(|count| count.answered < count.needed)
    }

    fn count_responses(&self, context: &Context, group: &Group) -> ResponseCount {
        let answered = group.members().iter().filter(|node| self.responses.contains_key(node)).count();
        let needed = if context.settings.has(Fault::RecoverFromOne) { 1 } else { group.recovery_quorum() };
        ResponseCount { answered, needed }
    }

    /// The record with the highest promise, the newest accepted value and all minimum incarnations.
    fn recovered_record(&self, context: &Context) -> Option<Record> {
        let newest = self.newest_accepted()?;
        let mut minimum_incarnations = MinimumIncarnations::default();
        for (node, response) in &self.responses {
            minimum_incarnations.merge(&response.voter.minimum_incarnations);
            minimum_incarnations.raise(*node, response.voter.incarnation);
        }
        let promised = self.responses.values().map(|response| response.promised).max()?;
        let promised = promised.max(newest.ballot);
        let (accepted, value) = (newest.ballot, context.adopt(newest.value));
        Some(Record { incarnation: self.incarnation, promised, accepted, value, minimum_incarnations })
    }
}
