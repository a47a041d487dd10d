//! The group whose majority grants a lease, across changes of its members.

use std::net::SocketAddr;
use std::time::Duration;

/// A group, and the one before it for as long as grants of that one may be in use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantorGroup {
    pub generation: u64,
    members: Vec<SocketAddr>,
    /// Earlier groups, each with the time up to which its majority is needed too.
    previous: Vec<PreviousGroup>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PreviousGroup {
    members: Vec<SocketAddr>,
    required_until: Duration,
}

impl GrantorGroup {
    /// Moves to a newer generation; until `required_until` the majority of the present one is needed as well.
    ///
    /// A generation that is not newer changes nothing.
    pub fn change(&mut self, generation: u64, members: &[SocketAddr], required_until: Duration) -> bool {
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

    /// Forgets earlier groups whose grants have run out.
    pub fn on_tick(&mut self, now: Duration) {
        self.previous.retain(|group| now < group.required_until);
    }

    /// Everyone who is to be asked.
    pub fn all_members(&self) -> Vec<SocketAddr> {
        let mut all: Vec<_> = self.groups().flatten().copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether `granted` holds a majority of every group that counts.
    pub fn is_majority(&self, granted: &[SocketAddr]) -> bool {
        !self.members.is_empty() && self.groups().all(|members| count(members, granted) > members.len() / 2)
    }

    /// Whether, with `refused`, no majority can come together.
    pub fn is_majority_refused(&self, refused: &[SocketAddr]) -> bool {
        self.groups().any(|members| members.len() - count(members, refused) <= members.len() / 2)
    }

    fn groups(&self) -> impl Iterator<Item = &[SocketAddr]> {
        let previous = self.previous.iter().map(|group| group.members.as_slice());
        std::iter::once(self.members.as_slice()).chain(previous)
    }
}

/// How many of `members` are among `chosen`.
fn count(members: &[SocketAddr], chosen: &[SocketAddr]) -> usize {
    members.iter().filter(|member| chosen.contains(member)).count()
}
