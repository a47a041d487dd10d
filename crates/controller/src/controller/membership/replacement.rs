//! Plans the membership of the replica group of each shard.
//!
//! Invariant: with as many machines as the configured fault tolerance needs, each group comes to have the size and the
//! spread over zones and regions with which it survives the losses that the tolerance names. So a group grows to that
//! size; a member that is unreachable or draining is replaced by a spare; and a member is exchanged for a spare of
//! another zone or region while the group would not survive the loss of the failure domains that it has to. A founding
//! group consists of the seeds, wherever these are, and a replacement may leave two members in one zone, so the last
//! rule applies at any time.
//!
//! Each shard has its own group and is planned independently: the owner of one shard may have replaced a member that
//! the owner of another shard has not replaced yet.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::membership::failure_domains::{FailureDomains, Imbalance};
use crate::controller::membership::member_status::MemberStatuses;
use lanegate_config::settings::FaultTolerance;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a member has to be suspected before a spare replaces it. The spare has to be a voting member within the
/// time that a new machine is given to catch up, which is some seconds.
pub(crate) const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The shard whose suspicions a deliberate fault applies to all shards.
const FIRST_SHARD: u8 = 0;

/// Number of members with which a group can survive each of the losses that `tolerance` names: more than half of them
/// remain when as many are lost as machines, or as zones or regions with one member each.
pub(crate) fn group_size(tolerance: &FaultTolerance) -> usize {
    let lost = tolerance.machines.max(tolerance.zones).max(tolerance.regions);
    2 * lost as usize + 1
}

/// One membership change of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberChange {
    pub remove: Option<SocketAddr>,
    pub add: SocketAddr,
}

/// The group of a shard and the state of the other controllers, as one controller sees them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupView<'a> {
    pub shard: u8,
    /// Members of the newest group known; empty while none is known.
    pub group: &'a [SocketAddr],
    /// Controllers that are reachable: not suspected, and answering.
    pub live: &'a [SocketAddr],
    /// The status that each controller reported.
    pub member_statuses: &'a MemberStatuses,
    /// Where the controllers are, and the losses of zones and regions that the group has to survive.
    pub failure_domains: &'a FailureDomains,
}

impl GroupView<'_> {
    /// The imbalance of the group after a change.
    fn imbalance_after(&self, remove: Option<SocketAddr>, add: SocketAddr) -> Imbalance {
        let remaining = self.group.iter().copied().filter(|member| Some(*member) != remove);
        let members: Vec<SocketAddr> = remaining.chain([add]).collect();
        self.failure_domains.imbalance(&members)
    }

    /// Whether every member is reachable and can vote, so that an exchange of one costs no fault tolerance.
    fn is_healthy(&self) -> bool {
        let can_vote = |member: &SocketAddr| self.member_statuses.can_vote(*member, self.shard);
        self.group.iter().all(|member| self.live.contains(member) && can_vote(member))
    }
}

/// Deliberate faults. Tests show that each is detected.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplacementFault {
    /// Suspicions of the members of the first shard count for all shards.
    ShareSuspicions,
    /// A membership change of one shard blocks those of all other shards.
    OneChangeAtATime,
    /// A spare replaces a member before its replica can vote.
    JoinBeforeVoting,
    /// Time during which this process itself was stalled counts towards time-outs.
    CountOwnStall,
    /// Groups are not spread over zones and regions.
    IgnoreFailureDomains,
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
    /// A planner without any suspected members. `fault` is a deliberate fault, for tests.
    pub(crate) fn new(fault: Option<ReplacementFault>) -> Self {
        ReplacementPlanner { fault, ..ReplacementPlanner::default() }
    }

    /// Updates the suspected members of a shard: those of `group` that are not in `live`.
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

    /// Records the groups of a newly committed value of a shard. Returns whether they differ from the previous ones.
    pub(crate) fn groups_committed(&mut self, shard: u8, groups: &KnownGroups) -> bool {
        let before = self.committed_groups.insert(shard, groups.groups.clone());
        before.is_none_or(|before| before != groups.groups)
    }

    /// This process could not receive messages for a while: drops all present suspicions.
    pub(crate) fn reset_timeouts(&mut self) {
        if !self.has(ReplacementFault::CountOwnStall) {
            self.suspected_since.clear();
        }
    }

    /// When the next suspected member times out. Time-outs before the last observation need no wake-up: their
    /// replacements have been proposed already, or wait for a spare.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        let suspected = self.suspected_since.values().flat_map(BTreeMap::values);
        suspected.map(|since| *since + REPLACEMENT_TIMEOUT).filter(|end| *end > self.observed_at).min()
    }

    /// A change of the members of `shard` has been proposed.
    pub(crate) fn begin(&mut self, shard: u8) {
        self.changing.insert(shard);
    }

    /// The proposed change has completed, with any outcome.
    pub(crate) fn end(&mut self, shard: u8) {
        self.changing.remove(&shard);
    }

    /// The next change that the group of a shard needs to reach `size` members without suspected or draining ones, spread
    /// over the failure domains, if any.
    pub(crate) fn plan(&self, now: Duration, view: GroupView<'_>, size: usize) -> Option<MemberChange> {
        if view.group.is_empty() || self.is_changing(view.shard) {
            return None;
        }
        let ignored = FailureDomains::default();
        let view = if self.has(ReplacementFault::IgnoreFailureDomains) {
            GroupView { failure_domains: &ignored, ..view }
        } else {
            view
        };
        let spares = self.spares(view);
        if view.group.len() < size {
            return best_spare(view, &spares, None);
        }
        match self.longest_suspected(now, view).or_else(|| draining_member(view)) {
            Some(member) => best_spare(view, &spares, Some(member)),
            None => exchange_for_spread(view, &spares),
        }
    }

    fn is_changing(&self, shard: u8) -> bool {
        let one_at_a_time = self.has(ReplacementFault::OneChangeAtATime);
        self.changing.contains(&shard) || (one_at_a_time && !self.changing.is_empty())
    }

    /// The controllers that may join the group, in the order of their addresses.
    fn spares(&self, view: GroupView<'_>) -> BTreeSet<SocketAddr> {
        let outside = view.live.iter().copied().filter(|node| !view.group.contains(node));
        let before_voting = self.has(ReplacementFault::JoinBeforeVoting);
        outside.filter(|node| before_voting || view.member_statuses.can_join(*node, view.shard)).collect()
    }

    /// The member that has been suspected longest, if for at least [`REPLACEMENT_TIMEOUT`].
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

/// The spare that joins next, in place of `remove` if that is given: the one with which the group is spread best, and of
/// several the one with the lowest address. The choice is deterministic, so that the owners of all shards choose the
/// same spare and the shards keep the same members.
fn best_spare(
    view: GroupView<'_>,
    spares: &BTreeSet<SocketAddr>,
    remove: Option<SocketAddr>,
) -> Option<MemberChange> {
    let add = spares.iter().copied().min_by_key(|spare| view.imbalance_after(remove, *spare))?;
    Some(MemberChange { remove, add })
}

/// The exchange of a member for a spare that brings a group nearest to surviving the required loss of zones or regions;
/// `None` if the group survives it, or no exchange brings it nearer. Each exchange lowers the imbalance, so that a
/// series of them ends.
fn exchange_for_spread(view: GroupView<'_>, spares: &BTreeSet<SocketAddr>) -> Option<MemberChange> {
    let present = view.failure_domains.imbalance(view.group);
    if present.is_tolerated() || !view.failure_domains.are_known(view.group) || !view.is_healthy() {
        return None;
    }
    let exchanges = spares.iter().flat_map(|add| view.group.iter().map(move |remove| (*remove, *add)));
    let known = exchanges.filter(|(_, add)| view.failure_domains.are_known(&[*add]));
    let rated = known.map(|(remove, add)| (view.imbalance_after(Some(remove), add), add, Reverse(remove)));
    let (_, add, Reverse(remove)) = rated.filter(|(imbalance, ..)| *imbalance < present).min()?;
    Some(MemberChange { remove: Some(remove), add })
}
