//! Contact of a controller with the majority of a group: answers, and how old they are.
//!
//! A failure detector is too slow and too weak for this: a peer whose heartbeats arrive may not receive ours, and a
//! process that was frozen reads messages that are old. So contact rests on answers alone. Every heartbeat of this
//! incarnation is recorded with the time before it was sent; a peer that receives it sends it back; and the peer
//! counts for [`CONTACT_VALIDITY`] from that recorded time. What a majority
//! answered at most so long ago, it answered at a time that lies in that span, however long the answer was on
//! its way or waited in a buffer: the same argument as for the validity of a lease.
//!
//! No clock is read here; times are readings of one monotonic clock that goes on while the process is frozen.

use lanegate_coordination::membership::Heartbeat;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer counts, from before its question was sent.
///
/// Five heartbeats: four may be late or lost with their answers before contact ends. Short enough for agents
/// to have left a source that is partitioned well within the time after which machines have to follow the
/// configuration again; the sum is in `docs/control/contact.md`.
pub(crate) const CONTACT_VALIDITY: Duration = Duration::from_millis(1_000);
/// Heartbeats that are remembered: more than are sent within [`CONTACT_VALIDITY`].
const MAX_SENT_HEARTBEATS: usize = 32;

/// Deliberate faults: each must be found by a test.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactFault {
    /// The age of an answer counts from its receipt.
    AgeFromReceipt,
    /// A majority is one less.
    SmallMajority,
    /// A peer whose heartbeats arrive counts as one that answers.
    CountReceivedHeartbeats,
    /// Contact is judged by the time of the last message, not by the present one.
    StaleClock,
    /// While the members change, a majority of the new group is enough.
    NewGroupOnly,
    /// Echoes of an earlier incarnation of this process count.
    AnyIncarnation,
}

/// A heartbeat of this process.
#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    heartbeat: Heartbeat,
    /// Reading of the clock before it left.
    at: Duration,
}

/// What peers have answered.
#[derive(Debug)]
pub(crate) struct QuorumContact {
    own_address: SocketAddr,
    incarnation: u64,
    /// The latest heartbeats, oldest first.
    sent: VecDeque<SentHeartbeat>,
    /// For each peer, when the newest heartbeat that it has answered was sent.
    answered: BTreeMap<SocketAddr, Duration>,
    last_event_at: Duration,
    fault: Option<ContactFault>,
}

impl QuorumContact {
    /// Nobody has answered this `incarnation` of the process at `own_address` yet.
    pub(crate) fn new(own_address: SocketAddr, incarnation: u64) -> Self {
        QuorumContact {
            own_address,
            incarnation,
            sent: VecDeque::new(),
            answered: BTreeMap::new(),
            last_event_at: Duration::ZERO,
            fault: None,
        }
    }

    /// The same with a deliberate fault.
    pub(crate) fn with_fault(own_address: SocketAddr, incarnation: u64, fault: Option<ContactFault>) -> Self {
        QuorumContact { fault, ..QuorumContact::new(own_address, incarnation) }
    }

    /// Records a heartbeat of this process; `now` was read before it was sent.
    pub(crate) fn heartbeat_sent(&mut self, now: Duration, heartbeat: &Heartbeat) {
        self.last_event_at = now;
        if self.sent.back().is_some_and(|last| last.heartbeat.sequence >= heartbeat.sequence) {
            return;
        }
        if self.sent.len() == MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentHeartbeat { heartbeat: *heartbeat, at: now });
    }

    /// The newest heartbeat of this process. It may be sent again: its answer counts from when it left first.
    pub(crate) fn newest(&self) -> Option<&Heartbeat> {
        self.sent.back().map(|last| &last.heartbeat)
    }

    /// A heartbeat of `peer` has arrived. It is no contact: the peer may not receive messages of this process.
    pub(crate) fn heartbeat_received(&mut self, now: Duration, peer: SocketAddr) {
        self.last_event_at = now;
        if self.has(ContactFault::CountReceivedHeartbeats) {
            self.answered.insert(peer, now);
        }
    }

    /// `peer` has sent back `heartbeat`, one of this process. One that is not remembered is too old to count.
    pub(crate) fn echo_received(&mut self, now: Duration, peer: SocketAddr, heartbeat: &Heartbeat) {
        self.last_event_at = now;
        let own = heartbeat.sender.address() == self.own_address
            && heartbeat.sender.incarnation == self.incarnation;
        if !own && !self.has(ContactFault::AnyIncarnation) {
            return;
        }
        let Some(sent) = self.sent.iter().find(|sent| sent.heartbeat.sequence == heartbeat.sequence) else {
            return;
        };
        let at = if self.has(ContactFault::AgeFromReceipt) { now } else { sent.at };
        let newest = self.answered.entry(peer).or_insert(at);
        *newest = at.max(*newest);
    }

    /// Whether a majority of every one of `groups` (two while the members change) has answered within
    /// [`CONTACT_VALIDITY`]. `now` has to be read for this question: the process may have stood still.
    pub(crate) fn reaches(&self, now: Duration, groups: &[Vec<SocketAddr>]) -> bool {
        let now = if self.has(ContactFault::StaleClock) { self.last_event_at } else { now };
        self.valid_until(groups).is_some_and(|end| now < end)
    }

    /// Whether `peer` has answered within [`CONTACT_VALIDITY`]; this process always answers itself.
    pub(crate) fn is_answered_by(&self, now: Duration, peer: SocketAddr) -> bool {
        self.answer_valid_until(peer).is_some_and(|end| now < end)
    }

    /// When contact with `groups` ends if nobody answers any more; `None` if there was none.
    pub(crate) fn valid_until(&self, groups: &[Vec<SocketAddr>]) -> Option<Duration> {
        let counted = if self.has(ContactFault::NewGroupOnly) {
            &groups[groups.len().saturating_sub(1)..]
        } else {
            groups
        };
        let ends: Option<Vec<Duration>> = counted.iter().map(|group| self.group_valid_until(group)).collect();
        ends?.into_iter().min()
    }

    /// The time up to which a majority of one group counts: that of its weakest necessary member.
    fn group_valid_until(&self, group: &[SocketAddr]) -> Option<Duration> {
        let majority = group.len() / 2 + 1 - usize::from(self.has(ContactFault::SmallMajority));
        let mut ends: Vec<Duration> =
            group.iter().filter_map(|member| self.answer_valid_until(*member)).collect();
        if group.is_empty() || ends.len() < majority.max(1) {
            return None;
        }
        ends.sort_unstable();
        Some(ends[ends.len() - majority.max(1)])
    }

    fn answer_valid_until(&self, member: SocketAddr) -> Option<Duration> {
        if member == self.own_address {
            return Some(Duration::MAX);
        }
        self.answered.get(&member).map(|sent| *sent + CONTACT_VALIDITY)
    }

    fn has(&self, fault: ContactFault) -> bool {
        self.fault == Some(fault)
    }
}
