//! How many further failures the replica groups of a shard can tolerate, and when a change of that number is logged.

use std::collections::BTreeMap;
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

/// Number of failures that each of `groups` (two during a membership change) tolerates without losing its majority;
/// `None` if one of them has no majority now, or no group is known.
pub(crate) fn tolerable_failures(
    groups: &[Vec<SocketAddr>],
    state: impl Fn(SocketAddr) -> MemberState,
) -> Option<usize> {
    let spare_votes = |group: &Vec<SocketAddr>| {
        let voting = group.iter().filter(|member| state(**member) == MemberState::Voting).count();
        voting.checked_sub(group.len() / 2 + 1)
    };
    let margins: Option<Vec<usize>> = groups.iter().map(spare_votes).collect();
    margins?.into_iter().min()
}

/// A change of the fault tolerance of a shard that is reported in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ToleranceChange {
    /// One more failure loses the majority, or it is lost already.
    Exhausted,
    /// At least one failure can be tolerated again.
    Restored,
}

/// Whether the fault tolerance of each shard was exhausted when it was last observed.
#[derive(Debug, Default)]
pub(crate) struct ToleranceMonitor {
    exhausted: BTreeMap<u8, bool>,
}

impl ToleranceMonitor {
    /// Records how many failures a shard tolerates. Returns a change only when that number reaches zero or rises above
    /// zero again.
    pub(crate) fn observe(
        &mut self,
        shard: u8,
        tolerable_failures: Option<usize>,
    ) -> Option<ToleranceChange> {
        let exhausted = tolerable_failures.is_none_or(|tolerable_failures| tolerable_failures == 0);
        let before = self.exhausted.insert(shard, exhausted).unwrap_or(false);
        match (before, exhausted) {
            (false, true) => Some(ToleranceChange::Exhausted),
            (true, false) => Some(ToleranceChange::Restored),
            _ => None,
        }
    }
}
