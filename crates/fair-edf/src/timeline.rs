//! The occupancy chart of one endpoint whose requests all take one slot time.

use crate::Ns;
use crate::segments::Segments;
use std::collections::BTreeSet;

/// What is held, by deadline, and the busy segments that this makes; every request occupies `sigma`.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "serde", serde(bound(deserialize = "K: Ord + serde::Deserialize<'de>")))]
pub struct Timeline<K> {
    held: BTreeSet<(Ns, K)>,
    segments: Segments,
    sigma: Ns,
    /// The segments no longer fit what is held and are made anew when next asked for.
    stale: bool,
}

impl<K> Default for Timeline<K> {
    fn default() -> Self {
        Timeline { held: BTreeSet::new(), segments: Segments::default(), sigma: 0, stale: false }
    }
}

impl<K: Copy + Ord> Timeline<K> {
    /// An empty chart of requests that take `sigma` each.
    pub fn new(sigma: Ns) -> Self {
        Timeline { sigma, ..Timeline::default() }
    }

    /// Holds a request that is due to be answered at `due`.
    pub fn insert(&mut self, due: Ns, key: K) {
        let new = self.held.insert((due, key));
        if new && !self.stale {
            self.segments.place(due, self.sigma);
        }
    }

    /// Takes a request off; those left of it shift right into its slot. True if it was held.
    pub fn remove(&mut self, due: Ns, key: K) -> bool {
        let is_first = self.first() == Some((due, key));
        let held = self.held.remove(&(due, key));
        if is_first && !self.stale {
            self.segments.release_first(self.sigma);
        } else {
            self.stale |= held;
        }
        held
    }

    /// Sets the slot time of all requests.
    pub fn resize(&mut self, sigma: Ns) {
        self.stale |= std::mem::replace(&mut self.sigma, sigma) != sigma;
    }

    /// The slot time of each request.
    pub fn sigma(&self) -> Ns {
        self.sigma
    }

    /// The latest moment at which work must begin for all to be met.
    pub fn start(&mut self) -> Option<Ns> {
        self.refresh();
        self.segments.start()
    }

    /// The busy segments [L, R], in order of time.
    pub fn segments(&mut self) -> &[(Ns, Ns)] {
        self.refresh();
        self.segments.as_slice()
    }

    /// If the first segment starts before `now`: its requests up to the first that cannot be met. Taking off
    /// any one of them, and asking again, refuses the fewest.
    pub fn overdue(&mut self, now: Ns) -> Option<Vec<K>> {
        self.start().filter(|start| *start < now)?;
        let unmet = |(n, held): (usize, &(Ns, K))| now + self.sigma * (n as Ns + 1) > held.0;
        let first_unmet = self.held.iter().enumerate().position(unmet)?;
        Some(self.held.iter().take(first_unmet + 1).map(|held| held.1).collect())
    }

    /// What is held, by earliest deadline: the order of release.
    pub fn iter(&self) -> impl Iterator<Item = (Ns, K)> {
        self.held.iter().copied()
    }

    /// The request with the earliest deadline.
    pub fn first(&self) -> Option<(Ns, K)> {
        self.held.first().copied()
    }

    /// How many requests are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Makes segments that no longer fit anew, once.
    fn refresh(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.segments.clear();
            for (due, _) in &self.held {
                self.segments.place(*due, self.sigma);
            }
        }
    }
}
