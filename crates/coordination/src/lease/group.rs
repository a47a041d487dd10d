//! The group whose majority grants a lease, across membership changes.

use std::net::SocketAddr;
use std::time::Duration;

/// A group, and the previous ones for as long as their grants may be valid.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantorGroup {
    pub generation: u64,
    members: Vec<SocketAddr>,
    previous: Vec<PreviousGroup>,
}

/// An earlier group, whose majority is required as well until a given time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PreviousGroup {
    members: Vec<SocketAddr>,
    required_until: Duration,
}

impl GrantorGroup {
    /// Changes to a newer generation; until `required_until` a majority of the present group is required as well.
    /// Returns whether the generation is newer; otherwise nothing changes.
    pub(super) fn change(
        &mut self,
        generation: u64,
        members: &[SocketAddr],
        required_until: Duration,
    ) -> bool {
        if generation <= self.generation && !self.members.is_empty() {
            return false;
        }
        let members = std::mem::replace(&mut self.members, members.to_vec());
        self.generation = generation;
        if !members.is_empty() {
            self.previous.push(PreviousGroup { members, required_until });
        }
        true
    }

    /// Drops previous groups whose grants have expired.
    pub(super) fn on_tick(&mut self, now: Duration) {
        self.previous.retain(|group| now < group.required_until);
    }

    /// The members of all groups, each once, in ascending order.
    pub(super) fn all_members(&self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.groups().flatten().copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether `granted` contains a majority of every group.
    pub(super) fn is_majority(&self, granted: &[SocketAddr]) -> bool {
        !self.members.is_empty() && self.groups().all(|members| count(members, granted) > members.len() / 2)
    }

    /// Whether so many have refused that no majority is possible in some group.
    pub(super) fn is_majority_refused(&self, refused: &[SocketAddr]) -> bool {
        self.groups().any(|members| members.len() - count(members, refused) <= members.len() / 2)
    }

    fn groups(&self) -> impl Iterator<Item = &[SocketAddr]> {
        let previous = self.previous.iter().map(|group| group.members.as_slice());
        std::iter::once(self.members.as_slice()).chain(previous)
    }
}

/// How many of `members` are in `set`.
fn count(members: &[SocketAddr], set: &[SocketAddr]) -> usize {
    members.iter().filter(|member| set.contains(member)).count()
}
