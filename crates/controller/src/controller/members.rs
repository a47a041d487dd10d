//! Who belongs to the replica group: it grows to what carries the fault tolerance, and a member that is
//! gone gives its place to a spare.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a member has to be silent, after it was first suspected, before a spare takes its place. A
/// spare has to count within the time that a new machine is given to catch up, which is some seconds.
const REPLACEMENT_PATIENCE: Duration = Duration::from_millis(1_200);

/// One change of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    pub remove: Option<SocketAddr>,
    pub add: SocketAddr,
}

/// Members that make a majority of a group of `members`. While the group is not known (a new or emptied disk)
/// it counts as one that carries the loss of `machines`.
pub fn majority(members: usize, machines: usize) -> usize {
    if members == 0 { machines + 1 } else { members / 2 + 1 }
}

/// Watches members and spares.
#[derive(Debug, Default)]
pub struct Members {
    silent_since: BTreeMap<SocketAddr, Duration>,
}

impl Members {
    /// Notes who is live among all controllers known.
    pub fn observe(&mut self, now: Duration, group: &[SocketAddr], live: &[SocketAddr]) {
        self.silent_since.retain(|member, _| group.contains(member) && !live.contains(member));
        for member in group.iter().filter(|member| !live.contains(member)) {
            self.silent_since.entry(*member).or_insert(now);
        }
    }

    /// The next change that the group needs, if any: `size` members are wanted.
    pub fn plan(
        &self,
        now: Duration,
        group: &[SocketAddr],
        live: &[SocketAddr],
        size: usize,
    ) -> Option<MemberChange> {
        let add = *live.iter().filter(|node| !group.contains(node)).min()?;
        if group.len() < size {
            return Some(MemberChange { remove: None, add });
        }
        let gone = self.silent_since.iter().filter(|(_, since)| now >= **since + REPLACEMENT_PATIENCE);
        let longest = gone.min_by_key(|(_, since)| **since)?;
        Some(MemberChange { remove: Some(*longest.0), add })
    }
}
