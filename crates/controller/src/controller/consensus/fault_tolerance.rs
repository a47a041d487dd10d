//! How many further losses the group of a shard can bear, and when to tell the operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a controller knows of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Live, and its replica can vote.
    Voting,
    /// Live, but its replica cannot vote: it has lost its disk and not recovered yet, or its disk refuses writes.
    NotVoting,
    /// Live, but it has not said where it stands.
    Unknown,
    /// Silent.
    Suspected,
}

/// Losses that every one of `groups` (two while members change) can still bear and keep a majority; `None` if
/// one of them has none now, or no group is known.
pub fn tolerable_failures(
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

/// What the log has to say of a shard's margin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToleranceChange {
    /// The next loss takes the majority, or it is gone already.
    Exhausted,
    /// A loss can be borne again.
    Restored,
}

/// The margins that were told last.
#[derive(Debug, Default)]
pub struct ToleranceMonitor {
    exhausted: BTreeMap<u8, bool>,
}

impl ToleranceMonitor {
    /// Takes the margin of a shard. Tells it only when it has come to its end, or is back.
    pub fn observe(&mut self, shard: u8, tolerable_failures: Option<usize>) -> Option<ToleranceChange> {
        let exhausted = tolerable_failures.is_none_or(|tolerable_failures| tolerable_failures == 0);
        let before = self.exhausted.insert(shard, exhausted).unwrap_or(false);
        match (before, exhausted) {
            (false, true) => Some(ToleranceChange::Exhausted),
            (true, false) => Some(ToleranceChange::Restored),
            _ => None,
        }
    }
}
