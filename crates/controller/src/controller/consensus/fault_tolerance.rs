//! How many further losses of machines, zones or regions the replica groups of a shard can tolerate, and when a change of
//! that number is logged.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// State of a group member as one controller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberState {
    /// Live, and its replica of the shard can vote.
    Voting,
    /// Live, but its replica cannot vote: it lost its disk and has not recovered yet, or its disk has stalled.
    NotVoting,
    /// Live, but its status is not known yet.
    Unknown,
    /// Suspected by the failure detector.
    Suspected,
}

/// What is lost together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FailureUnit {
    /// One machine.
    Machine,
    /// All machines of a zone.
    Zone,
    /// All machines of a region.
    Region,
}

impl FailureUnit {
    /// All units.
    pub(crate) const ALL: [FailureUnit; 3] = [FailureUnit::Machine, FailureUnit::Zone, FailureUnit::Region];
}

impl fmt::Display for FailureUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FailureUnit::Machine => "machine",
            FailureUnit::Zone => "zone",
            FailureUnit::Region => "region",
        })
    }
}

/// Number of failures that each of `groups` (two during a membership change) tolerates without losing its majority, where
/// the members in one `domain` fail together; `None` if one of the groups has no majority now, or no group is known.
pub(crate) fn tolerable_failures<D: Ord>(
    groups: &[Vec<SocketAddr>],
    state: impl Fn(SocketAddr) -> MemberState,
    domain: impl Fn(SocketAddr) -> D,
) -> Option<usize> {
    let tolerable = |group: &Vec<SocketAddr>| {
        let voting = group.iter().copied().filter(|member| state(*member) == MemberState::Voting);
        let spare_votes = voting.clone().count().checked_sub(group.len() / 2 + 1)?;
        Some(domains_within(spare_votes, voting.map(&domain)))
    };
    let margins: Option<Vec<usize>> = groups.iter().map(tolerable).collect();
    margins?.into_iter().min()
}

/// How many of the domains of some members can be lost, whichever these are, without more than `spare_votes` members.
fn domains_within<D: Ord>(spare_votes: usize, domains: impl Iterator<Item = D>) -> usize {
    let mut counts = BTreeMap::<D, usize>::new();
    for domain in domains {
        *counts.entry(domain).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    let lost_with_fullest = counts.iter().scan(0, |lost, count| {
        *lost += count;
        Some(*lost)
    });
    lost_with_fullest.take_while(|lost| *lost <= spare_votes).count()
}

/// A change of the fault tolerance of a shard that is reported in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ToleranceChange {
    /// One more failure loses the majority, or it is lost already.
    Exhausted,
    /// At least one failure can be tolerated again.
    Restored,
}

/// Whether the fault tolerance of each shard was exhausted when it was last observed, for each unit of failure.
#[derive(Debug, Default)]
pub(crate) struct ToleranceMonitor {
    exhausted: BTreeMap<(u8, FailureUnit), bool>,
}

impl ToleranceMonitor {
    /// Records how many failures a shard tolerates. Returns a change only when that number reaches zero or rises above
    /// zero again.
    pub(crate) fn observe(
        &mut self,
        shard: u8,
        unit: FailureUnit,
        tolerable_failures: Option<usize>,
    ) -> Option<ToleranceChange> {
        let exhausted = tolerable_failures.is_none_or(|tolerable_failures| tolerable_failures == 0);
        let before = self.exhausted.insert((shard, unit), exhausted).unwrap_or(false);
        match (before, exhausted) {
            (false, true) => Some(ToleranceChange::Exhausted),
            (true, false) => Some(ToleranceChange::Restored),
            _ => None,
        }
    }
}
