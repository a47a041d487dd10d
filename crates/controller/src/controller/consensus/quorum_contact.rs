//! Quorum contact: whether a majority of a replica group has recently answered this controller's heartbeats.
//!
//! A failure detector is too slow and too weak for this: a peer whose heartbeats arrive may not receive ours, and a
//! process that was frozen reads old messages. Therefore contact is based on answers only. The time before each
//! heartbeat of this incarnation is sent is recorded, a peer that receives the heartbeat echoes it, and the peer counts
//! as reached for [`CONTACT_VALIDITY`] from the recorded time. A peer that counts therefore answered within the last
//! [`CONTACT_VALIDITY`], however long its echo was in transit or waited in a buffer. The validity of a lease rests on
//! the same argument.
//!
//! This module reads no clock. Callers pass readings of one monotonic clock that keeps running while the process is
//! frozen.

use lanegate_coordination::membership::Heartbeat;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an echo counts, measured from just before its heartbeat was sent.
///
/// Five heartbeat intervals: four heartbeats or their echoes may be late or lost before contact ends. Short enough for
/// agents to switch away from a partitioned source well within the time by which machines have to follow the
/// configuration again; `docs/control/contact.md` has the calculation.
pub(crate) const CONTACT_VALIDITY: Duration = Duration::from_millis(1_000);
/// Maximum number of recorded heartbeats: more than are sent within [`CONTACT_VALIDITY`].
const MAX_SENT_HEARTBEATS: usize = 32;

/// Deliberate faults: each must be found by a test.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactFault {
    /// The age of an echo is measured from its receipt.
    AgeFromReceipt,
    /// A majority is one member too small.
    SmallMajority,
    /// A peer whose heartbeats arrive counts as one that answers.
    CountReceivedHeartbeats,
    /// Contact is evaluated at the time of the last message instead of the current time.
    StaleClock,
    /// While the members change, a majority of the new group is enough.
    NewGroupOnly,
    /// Echoes of an earlier incarnation of this process count.
    AnyIncarnation,
}

/// A heartbeat that this process sent.
#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    heartbeat: Heartbeat,
    /// Clock reading before it was sent.
    at: Duration,
}

/// The heartbeats that this process sent, and which of them each peer has echoed.
#[derive(Debug)]
pub(crate) struct QuorumContact {
    own_address: SocketAddr,
    incarnation: u64,
    /// The latest heartbeats, oldest first.
    sent: VecDeque<SentHeartbeat>,
    /// For each peer, when the newest heartbeat that it has echoed was sent.
    answered: BTreeMap<SocketAddr, Duration>,
    last_event_at: Duration,
    fault: Option<ContactFault>,
}

impl QuorumContact {
    /// Starts without contact, for this `incarnation` of the controller at `own_address`.
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

    /// The newest heartbeat of this process. It may be sent again: its echo counts from when it was first sent.
    pub(crate) fn newest(&self) -> Option<&Heartbeat> {
        self.sent.back().map(|last| &last.heartbeat)
    }

    /// A heartbeat of `peer` has arrived. This does not count as contact, as the peer may not receive messages of this
    /// process.
    pub(crate) fn heartbeat_received(&mut self, now: Duration, peer: SocketAddr) {
        self.last_event_at = now;
        if self.has(ContactFault::CountReceivedHeartbeats) {
            self.answered.insert(peer, now);
        }
    }

    /// `peer` has echoed `heartbeat`. A heartbeat that is no longer recorded is too old to count.
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

    /// Whether a majority of each of `groups` (two during a membership change) has answered within
    /// [`CONTACT_VALIDITY`]. The caller must read the clock for `now` immediately before, as the process may have
    /// stalled since an earlier reading.
    pub(crate) fn reaches(&self, now: Duration, groups: &[Vec<SocketAddr>]) -> bool {
        let now = if self.has(ContactFault::StaleClock) { self.last_event_at } else { now };
        self.valid_until(groups).is_some_and(|end| now < end)
    }

    /// Whether `peer` has answered within [`CONTACT_VALIDITY`]; this process always answers itself.
    pub(crate) fn is_answered_by(&self, now: Duration, peer: SocketAddr) -> bool {
        self.answer_valid_until(peer).is_some_and(|end| now < end)
    }

    /// When contact with `groups` ends unless further echoes arrive; `None` if there was no contact.
    pub(crate) fn valid_until(&self, groups: &[Vec<SocketAddr>]) -> Option<Duration> {
        let counted = if self.has(ContactFault::NewGroupOnly) {
            &groups[groups.len().saturating_sub(1)..]
        } else {
            groups
        };
        let ends: Option<Vec<Duration>> = counted.iter().map(|group| self.group_valid_until(group)).collect();
        ends?.into_iter().min()
    }

    /// When contact with one group ends: the earliest end among the members that form its majority with the newest
    /// answers.
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
