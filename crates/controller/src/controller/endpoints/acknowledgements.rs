//! Acknowledgements of drains and deregistrations, which wait until a majority of the controllers has them.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::event::Answer;
use crate::controller::operator::unavailable::Unavailable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for the other replicas before a draining endpoint is sent elsewhere; it waits a second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(850);

/// Deliberate faults: each must be found by a test.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcknowledgementFault {
    /// Confirmations of controllers that are no members count as those of members.
    CountNonMembers,
    /// What a peer confirmed counts after its restart.
    CountRestartedPeers,
    /// Flushes have the same numbers in every incarnation of the process.
    RepeatTokens,
    /// Groups that only a peer knows do not count.
    OwnGroupsOnly,
}

/// An acknowledgement that waits until a majority of every group in force has what it promises.
#[derive(Debug)]
struct PendingAcknowledgement {
    reply: oneshot::Sender<Answer>,
    id: String,
    /// Controllers that have it, each with the groups that it knew when it confirmed.
    confirmed_by: BTreeMap<SocketAddr, KnownGroups>,
    until: Duration,
}

impl PendingAcknowledgement {
    /// Whether the controller `own_address`, which knows the groups `known`, may acknowledge it.
    ///
    /// A controller that confirmed may know of a change of members that `own_address` does not know of. Whoever has
    /// the newer group's majority must have the notice too, so that group counts beside those known here.
    fn is_confirmed(
        &self,
        own_address: SocketAddr,
        known: &KnownGroups,
        fault: Option<AcknowledgementFault>,
    ) -> bool {
        if fault == Some(AcknowledgementFault::CountNonMembers) {
            let majority = known.groups.iter().map(|group| group.len() / 2 + 1).max();
            return majority.is_some_and(|majority| self.confirmed_by.len() + 1 >= majority);
        }
        let counts = |node| node == own_address || self.confirmed_by.contains_key(&node);
        if fault == Some(AcknowledgementFault::OwnGroupsOnly) {
            return known.have_majority(counts);
        }
        let newer =
            self.confirmed_by.values().filter(|known_to_peer| known_to_peer.revision > known.revision);
        known.have_majority(counts)
            && newer.into_iter().all(|known_to_peer| known_to_peer.have_majority(counts))
    }
}

/// The acknowledgements of one controller that wait for a majority, and those that got it.
#[derive(Debug)]
pub(crate) struct Acknowledgements {
    /// This controller, which counts among those that know of a notice.
    own_address: SocketAddr,
    /// Draining incarnations that a majority has.
    confirmed: BTreeSet<String>,
    pending: BTreeMap<u64, PendingAcknowledgement>,
    next_token: u64,
    fault: Option<AcknowledgementFault>,
}

impl Acknowledgements {
    /// No acknowledgement is pending at the controller `own_address`. Flushes are numbered from `incarnation`, drawn anew at
    /// each start: an answer to an earlier incarnation confirms nothing.
    pub(crate) fn new(own_address: SocketAddr, incarnation: u64) -> Self {
        Acknowledgements {
            own_address,
            confirmed: BTreeSet::new(),
            pending: BTreeMap::new(),
            next_token: incarnation,
            fault: None,
        }
    }

    /// The same with a deliberate fault, for tests.
    pub(crate) fn with_fault(self, fault: Option<AcknowledgementFault>) -> Self {
        let repeats = fault == Some(AcknowledgementFault::RepeatTokens);
        let next_token = if repeats { 1 } else { self.next_token };
        Acknowledgements { next_token, fault, ..self }
    }

    /// Whether a majority has the drain of this incarnation.
    pub(crate) fn is_confirmed(&self, id: &str) -> bool {
        self.confirmed.contains(id)
    }

    /// This incarnation is not draining any more.
    pub(crate) fn forget(&mut self, id: &str) {
        self.confirmed.remove(id);
    }

    /// Drops confirmed incarnations that are not live any more.
    pub(crate) fn retain_confirmed(&mut self, is_live: impl Fn(&str) -> bool) {
        self.confirmed.retain(|id| is_live(id));
    }

    /// A peer that knows of the groups `known_to_peer` has everything up to the flush `token`.
    pub(crate) fn flushed(
        &mut self,
        token: u64,
        peer: SocketAddr,
        known_to_peer: KnownGroups,
        known: &KnownGroups,
    ) {
        let Some(pending) = self.pending.get_mut(&token) else { return };
        pending.confirmed_by.insert(peer, known_to_peer);
        self.acknowledge_confirmed(known);
    }

    /// A peer runs as another process than before: what the earlier one confirmed is lost with its memory.
    pub(crate) fn peer_restarted(&mut self, peer: SocketAddr) {
        if self.fault == Some(AcknowledgementFault::CountRestartedPeers) {
            return;
        }
        for pending in self.pending.values_mut() {
            pending.confirmed_by.remove(&peer);
        }
    }

    /// Acknowledges what is confirmed, now that confirmations or the groups `known` have changed.
    pub(crate) fn acknowledge_confirmed(&mut self, known: &KnownGroups) {
        let (own_address, fault) = (self.own_address, self.fault);
        let is_confirmed = |pending: &PendingAcknowledgement| pending.is_confirmed(own_address, known, fault);
        let confirmed = self.pending.iter().filter(|(_, pending)| is_confirmed(pending));
        let confirmed: Vec<u64> = confirmed.map(|(token, _)| *token).collect();
        for token in confirmed {
            let pending = self.pending.remove(&token).expect("it was just there");
            self.confirmed.insert(pending.id);
            let _ = pending.reply.send(acknowledged());
        }
    }

    /// A number for a flush that no acknowledgement waits for.
    pub(crate) fn next_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token = token.wrapping_add(1);
        token
    }

    /// Answers 503 to acknowledgements that no majority confirmed in time.
    pub(crate) fn expire_pending(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            let pending = self.pending.remove(&token).expect("it was just there");
            let _ = pending.reply.send(not_replicated());
        }
    }

    /// Acknowledgements that wait for the other replicas.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// When [`Acknowledgements::expire_pending`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.until).min()
    }

    /// Lets an acknowledgement wait for the other replicas. Returns the token of the flush, if any is needed.
    pub(crate) fn wait(
        &mut self,
        now: Duration,
        id: &str,
        known: &KnownGroups,
        reply: oneshot::Sender<Answer>,
    ) -> Option<u64> {
        let until = now + REPLICATION_TIMEOUT;
        let pending =
            PendingAcknowledgement { reply, id: id.to_owned(), confirmed_by: BTreeMap::new(), until };
        let token = self.next_token();
        self.pending.insert(token, pending);
        self.acknowledge_confirmed(known);
        self.pending.contains_key(&token).then_some(token)
    }
}

/// The answer to what is replicated.
pub(crate) fn acknowledged() -> Answer {
    Answer::new(200, "{}")
}

/// The answer to what too few controllers have.
pub(crate) fn not_replicated() -> Answer {
    Answer::unavailable(Unavailable::HeartbeatNotReplicated)
}
