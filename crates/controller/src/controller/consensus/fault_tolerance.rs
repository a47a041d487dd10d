//! How many further failures the replica group of a shard can tolerate, and when to report that to the operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a controller knows of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberState {
    /// Live, and its replica can vote.
    Voting,
    /// Live, but its replica cannot vote: it has lost its disk and not recovered yet, or its disk refuses writes.
    NotVoting,
    /// Live, but its status is not known yet.
    Unknown,
    /// Suspected by the failure detector.
    Suspected,
}

/// Failures that every one of `groups` (two while members change) tolerates without losing its majority; `None` if
/// one of them has none now, or no group is known.
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

/// A change of the fault tolerance of a shard that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ToleranceChange {
    /// The next failure loses the majority, or it is lost already.
    Exhausted,
    /// A failure can be tolerated again.
    Restored,
}

/// Whether the fault tolerance of each shard was exhausted when it was last observed.
#[derive(Debug, Default)]
pub(crate) struct ToleranceMonitor {
    exhausted: BTreeMap<u8, bool>,
}

impl ToleranceMonitor {
    /// Records how many failures a shard tolerates. Returns a change only when that number reaches zero or rises above it.
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
