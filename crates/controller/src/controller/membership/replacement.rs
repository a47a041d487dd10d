//! Who belongs to the replica group of each shard: it grows to what carries the fault tolerance, and a member
//! that is unreachable or draining is replaced by a spare.
//!
//! Every shard has a group of its own and is judged by itself: the owner of one may have replaced a member that
//! the owner of another has not replaced yet.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::membership::member_status::MemberStatuses;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a member has to be suspected before a spare replaces it. A
/// spare has to count within the time that a new machine is given to catch up, which is some seconds.
pub(crate) const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The shard whose suspicions a deliberate fault applies to all shards.
const FIRST_SHARD: u8 = 0;

/// One change of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberChange {
    pub remove: Option<SocketAddr>,
    pub add: SocketAddr,
}

/// The group of a shard and the controllers around it, as one controller sees them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupView<'a> {
    pub shard: u8,
    /// Members of the newest group known; empty while none is known.
    pub group: &'a [SocketAddr],
    /// Controllers that the failure detector does not suspect.
    pub live: &'a [SocketAddr],
    /// Status that each controller reported.
    pub member_statuses: &'a MemberStatuses,
}

/// Deliberate faults: each must be found by a test.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplacementFault {
    /// Suspicions of the members of the first shard count for all shards.
    ShareSuspicions,
    /// A change of the members of one shard holds up those of all others.
    OneChangeAtATime,
    /// A spare takes the place of a member before its replica can vote.
    JoinBeforeVoting,
    /// Time in which this process itself stood still counts as a time-out.
    CountOwnStall,
}

/// Tracks suspected members, and plans their replacement by spares.
#[derive(Debug, Default)]
pub(crate) struct ReplacementPlanner {
    /// For each shard, since when each suspected member has been suspected.
    suspected_since: BTreeMap<u8, BTreeMap<SocketAddr, Duration>>,
    /// When the members were last observed.
    observed_at: Duration,
    /// Shards with a change of members in flight.
    changing: BTreeSet<u8>,
    /// The newest committed groups of each shard.
    committed_groups: BTreeMap<u8, Vec<Vec<SocketAddr>>>,
    fault: Option<ReplacementFault>,
}

impl ReplacementPlanner {
    /// Suspects nobody yet. `fault` is a deliberate fault, for tests.
    pub(crate) fn new(fault: Option<ReplacementFault>) -> Self {
        ReplacementPlanner { fault, ..ReplacementPlanner::default() }
    }

    /// Records which members of a shard are live.
    pub(crate) fn observe(&mut self, now: Duration, shard: u8, group: &[SocketAddr], live: &[SocketAddr]) {
        self.observed_at = now;
        if self.has(ReplacementFault::ShareSuspicions) && shard != FIRST_SHARD {
            return;
        }
        let suspected = self.suspected_since.entry(shard).or_default();
        suspected.retain(|member, _| group.contains(member) && !live.contains(member));
        for member in group.iter().filter(|member| !live.contains(member)) {
            suspected.entry(*member).or_insert(now);
        }
    }

    /// Records the groups that a committed value of a shard names. Returns whether they differ from those before.
    pub(crate) fn groups_committed(&mut self, shard: u8, groups: &KnownGroups) -> bool {
        let before = self.committed_groups.insert(shard, groups.groups.clone());
        before.is_none_or(|before| before != groups.groups)
    }

    /// This process could not receive for a while: suspicions up to now are dropped.
    pub(crate) fn reset_timeouts(&mut self) {
        if !self.has(ReplacementFault::CountOwnStall) {
            self.suspected_since.clear();
        }
    }

    /// When the next member times out. A time-out before the last observation needs no wake-up: its replacement
    /// has been proposed, or waits for a spare.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        let suspected = self.suspected_since.values().flat_map(BTreeMap::values);
        suspected.map(|since| *since + REPLACEMENT_TIMEOUT).filter(|end| *end > self.observed_at).min()
    }

    /// A change of the members of `shard` has been proposed.
    pub(crate) fn begin(&mut self, shard: u8) {
        self.changing.insert(shard);
    }

    /// The proposal is answered, whatever the answer.
    pub(crate) fn end(&mut self, shard: u8) {
        self.changing.remove(&shard);
    }

    /// The next change that the group of a shard needs, if any: `size` members are wanted.
    pub(crate) fn plan(&self, now: Duration, view: GroupView<'_>, size: usize) -> Option<MemberChange> {
        if view.group.is_empty() || self.is_changing(view.shard) {
            return None;
        }
        let add = self.next_spare(view)?;
        if view.group.len() < size {
            return Some(MemberChange { remove: None, add });
        }
        let remove = self.longest_suspected(now, view).or_else(|| draining_member(view))?;
        Some(MemberChange { remove: Some(remove), add })
    }

    fn is_changing(&self, shard: u8) -> bool {
        let one_at_a_time = self.has(ReplacementFault::OneChangeAtATime);
        self.changing.contains(&shard) || (one_at_a_time && !self.changing.is_empty())
    }

    /// The spare that joins next. All owners choose alike, so that the shards keep the same members.
    fn next_spare(&self, view: GroupView<'_>) -> Option<SocketAddr> {
        let outside = view.live.iter().copied().filter(|node| !view.group.contains(node));
        let before_voting = self.has(ReplacementFault::JoinBeforeVoting);
        outside.filter(|node| before_voting || view.member_statuses.can_join(*node, view.shard)).min()
    }

    /// The member that has been suspected longest, if that is beyond [`REPLACEMENT_TIMEOUT`].
    fn longest_suspected(&self, now: Duration, view: GroupView<'_>) -> Option<SocketAddr> {
        let shared_record = self.has(ReplacementFault::ShareSuspicions);
        let record = if shared_record { FIRST_SHARD } else { view.shard };
        let suspected = self.suspected_since.get(&record)?.iter();
        let longest_suspected = suspected.filter(|(_, since)| now >= **since + REPLACEMENT_TIMEOUT);
        longest_suspected.min_by_key(|(_, since)| **since).map(|(member, _)| *member)
    }

    fn has(&self, fault: ReplacementFault) -> bool {
        self.fault == Some(fault)
    }
}

/// A member that reported that it is draining; it is replaced without a time-out.
fn draining_member(view: GroupView<'_>) -> Option<SocketAddr> {
    view.group.iter().copied().filter(|member| view.member_statuses.is_draining(*member)).min()
}
