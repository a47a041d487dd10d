//! Acknowledgements of drains and deregistrations, which are sent once a majority of the controllers has received the
//! notice and has it on disk.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::event::Answer;
use crate::controller::operator::unavailable::Unavailable;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for confirmation by a majority. After it the call is answered with 503, before the endpoint's own
/// time-out of one second, so that the endpoint calls another controller.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(850);

/// Deliberate faults. Tests show that each is detected.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcknowledgementFault {
    /// Confirmations of controllers that are not members count like those of members.
    CountNonMembers,
    /// A peer's confirmation still counts after the peer has restarted.
    CountRestartedPeers,
    /// Flushes are numbered from 1 in every incarnation of the process.
    RepeatTokens,
    /// Groups that only a peer knows are ignored.
    OwnGroupsOnly,
    /// A controller counts itself, and confirms flushes, before its tombstones are on its disk.
    CountUnwritten,
}

/// An acknowledgement that waits until a majority of each group in force has received the notice.
#[derive(Debug)]
struct PendingAcknowledgement {
    reply: oneshot::Sender<Answer>,
    id: String,
    /// Controllers that confirmed, each with the groups that it knew at that time.
    confirmed_by: BTreeMap<SocketAddr, KnownGroups>,
    /// Version of the tombstone log that has to be on disk before this controller counts itself.
    version: u64,
    until: Duration,
}

impl PendingAcknowledgement {
    /// Whether the controller `own_address`, which knows the groups `known`, may send the acknowledgement.
    ///
    /// A peer that confirmed may know of a newer membership change than `own_address` does. A majority of the newer
    /// group may then act without the known members, so it must have the notice too: newer groups that peers reported
    /// need a majority in addition to the known ones.
    fn is_confirmed(
        &self,
        own_address: SocketAddr,
        durable_version: u64,
        known: &KnownGroups,
        fault: Option<AcknowledgementFault>,
    ) -> bool {
        let has_written =
            self.version <= durable_version || fault == Some(AcknowledgementFault::CountUnwritten);
        if fault == Some(AcknowledgementFault::CountNonMembers) {
            let majority = known.groups.iter().map(|group| group.len() / 2 + 1).max();
            return majority.is_some_and(|majority| self.confirmed_by.len() + 1 >= majority);
        }
        let counts = |node| (node == own_address && has_written) || self.confirmed_by.contains_key(&node);
        if fault == Some(AcknowledgementFault::OwnGroupsOnly) {
            return known.have_majority(counts);
        }
        let newer =
            self.confirmed_by.values().filter(|known_to_peer| known_to_peer.revision > known.revision);
        known.have_majority(counts)
            && newer.into_iter().all(|known_to_peer| known_to_peer.have_majority(counts))
    }
}

/// The acknowledgements of one controller that wait for a majority, and the drains that a majority has confirmed.
#[derive(Debug)]
pub(crate) struct Acknowledgements {
    /// This controller, which counts as one that has received the notice once its tombstone is on its disk.
    own_address: SocketAddr,
    /// The newest version of the tombstone log that is on disk.
    durable_version: u64,
    /// Draining incarnations whose drain a majority has confirmed.
    confirmed: BTreeSet<String>,
    pending: BTreeMap<u64, PendingAcknowledgement>,
    next_token: u64,
    fault: Option<AcknowledgementFault>,
}

impl Acknowledgements {
    /// Starts without pending acknowledgements, for the controller `own_address`. Flushes are numbered from
    /// `incarnation`, which is drawn at random at each start, so that an answer to a flush of an earlier incarnation
    /// confirms nothing.
    pub(crate) fn new(own_address: SocketAddr, incarnation: u64) -> Self {
        Acknowledgements {
            own_address,
            durable_version: 0,
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

    /// Whether a majority has confirmed the drain of this incarnation.
    pub(crate) fn is_confirmed(&self, id: &str) -> bool {
        self.confirmed.contains(id)
    }

    /// This incarnation is no longer draining: its confirmation is dropped.
    pub(crate) fn forget(&mut self, id: &str) {
        self.confirmed.remove(id);
    }

    /// Drops confirmations of incarnations that are no longer live.
    pub(crate) fn retain_confirmed(&mut self, is_live: impl Fn(&str) -> bool) {
        self.confirmed.retain(|id| is_live(id));
    }

    /// A peer, which knows the groups `known_to_peer`, confirms that it received everything before the flush `token`.
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

    /// A peer has restarted: confirmations by its earlier process are dropped, as it may have lost its disk.
    pub(crate) fn peer_restarted(&mut self, peer: SocketAddr) {
        if self.fault == Some(AcknowledgementFault::CountRestartedPeers) {
            return;
        }
        for pending in self.pending.values_mut() {
            pending.confirmed_by.remove(&peer);
        }
    }

    /// Sends the acknowledgements that are confirmed. To be called when confirmations or the groups `known` have changed.
    pub(crate) fn acknowledge_confirmed(&mut self, known: &KnownGroups) {
        let (own_address, durable_version, fault) = (self.own_address, self.durable_version, self.fault);
        let is_confirmed = |pending: &PendingAcknowledgement| {
            pending.is_confirmed(own_address, durable_version, known, fault)
        };
        let confirmed = self.pending.iter().filter(|(_, pending)| is_confirmed(pending));
        let confirmed: Vec<u64> = confirmed.map(|(token, _)| *token).collect();
        for token in confirmed {
            let pending = self.pending.remove(&token).expect("the token was taken from this map");
            self.confirmed.insert(pending.id);
            let _ = pending.reply.send(acknowledged());
        }
    }

    /// The tombstones up to `version` of the log are on disk.
    pub(crate) fn tombstones_written(&mut self, version: u64, known: &KnownGroups) {
        self.durable_version = version;
        self.acknowledge_confirmed(known);
    }

    /// Whether flushes are confirmed before the tombstones are on disk; a deliberate fault.
    pub(crate) fn counts_unwritten(&self) -> bool {
        self.fault == Some(AcknowledgementFault::CountUnwritten)
    }

    /// Allocates a flush number; also used for flushes that no acknowledgement waits for.
    pub(crate) fn next_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token = token.wrapping_add(1);
        token
    }

    /// Answers calls with 503 that no majority has confirmed in time.
    pub(crate) fn expire_pending(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            let pending = self.pending.remove(&token).expect("the token was taken from this map");
            let _ = pending.reply.send(not_replicated());
        }
    }

    /// Number of acknowledgements that wait for a majority.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// When [`Acknowledgements::expire_pending`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.until).min()
    }

    /// Adds an acknowledgement, which waits for a majority. This controller counts once `version` of its tombstone log is
    /// on disk. Returns the token of the flush to send, or `None` if no further confirmation is needed.
    pub(crate) fn wait(
        &mut self,
        now: Duration,
        id: &str,
        version: u64,
        known: &KnownGroups,
        reply: oneshot::Sender<Answer>,
    ) -> Option<u64> {
        let until = now + REPLICATION_TIMEOUT;
        let pending = PendingAcknowledgement {
            reply,
            id: id.to_owned(),
            confirmed_by: BTreeMap::new(),
            version,
            until,
        };
        let token = self.next_token();
        self.pending.insert(token, pending);
        self.acknowledge_confirmed(known);
        self.pending.contains_key(&token).then_some(token)
    }
}

/// The answer to a call whose notice is replicated.
pub(crate) fn acknowledged() -> Answer {
    Answer::new(200, "{}")
}

/// The answer to a call whose notice has reached too few controllers.
pub(crate) fn not_replicated() -> Answer {
    Answer::unavailable(Unavailable::HeartbeatNotReplicated)
}
