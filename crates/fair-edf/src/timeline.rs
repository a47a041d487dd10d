//! The timeline of an endpoint whose requests all have one slot time.

use crate::Ns;
use crate::segments::Segments;
use std::collections::BTreeSet;

/// The queued requests by due time, and their busy segments. Each request has a slot of length `sigma`.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
#[cfg_attr(feature = "serde", serde(bound(deserialize = "K: Ord + serde::Deserialize<'de>")))]
pub struct Timeline<K> {
    #[cfg_attr(feature = "serde", serde(rename = "held"))]
    queued: BTreeSet<(Ns, K)>,
    segments: Segments,
    sigma: Ns,
    /// Whether the segments have to be computed again.
    stale: bool,
}

impl<K> Default for Timeline<K> {
    fn default() -> Self {
        Timeline { queued: BTreeSet::new(), segments: Segments::default(), sigma: 0, stale: false }
    }
}

impl<K: Copy + Ord> Timeline<K> {
    /// An empty timeline with slots of length `sigma`.
    pub fn new(sigma: Ns) -> Self {
        Timeline { sigma, ..Timeline::default() }
    }

    /// Adds a request that is due at `due`.
    pub fn insert(&mut self, due: Ns, key: K) {
        let new = self.queued.insert((due, key));
        if new && !self.stale {
            self.segments.insert(due, self.sigma);
        }
    }

    /// Removes a request; earlier slots shift right into its slot. Returns whether it was queued.
    pub fn remove(&mut self, due: Ns, key: K) -> bool {
        let is_first = self.first() == Some((due, key));
        let queued = self.queued.remove(&(due, key));
        if is_first && !self.stale {
            self.segments.remove_first(self.sigma);
        } else {
            self.stale |= queued;
        }
        queued
    }

    /// Sets the slot time of all requests.
    pub fn set_sigma(&mut self, sigma: Ns) {
        self.stale |= std::mem::replace(&mut self.sigma, sigma) != sigma;
    }

    /// The slot time of each request.
    pub fn sigma(&self) -> Ns {
        self.sigma
    }

    /// The latest time at which work has to begin to meet all due times.
    pub fn start(&mut self) -> Option<Ns> {
        self.refresh();
        self.segments.start()
    }

    /// The busy segments [L, R], in order of time.
    pub fn segments(&mut self) -> &[(Ns, Ns)] {
        self.refresh();
        self.segments.as_slice()
    }

    /// If the first segment starts before `now`: its requests up to the first that cannot be met. Removing
    /// any one of them, and repeating that until none is overdue, removes the fewest requests.
    pub fn overdue(&mut self, now: Ns) -> Option<Vec<K>> {
        self.start().filter(|start| *start < now)?;
        let is_unmet = |(n, queued): (usize, &(Ns, K))| now + self.sigma * (n as Ns + 1) > queued.0;
        let first_unmet = self.queued.iter().enumerate().position(is_unmet)?;
        Some(self.queued.iter().take(first_unmet + 1).map(|queued| queued.1).collect())
    }

    /// The queued requests in order of due time, which is the order of release.
    pub fn iter(&self) -> impl Iterator<Item = (Ns, K)> {
        self.queued.iter().copied()
    }

    /// The request with the earliest due time.
    pub fn first(&self) -> Option<(Ns, K)> {
        self.queued.first().copied()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Computes the segments again if they are stale.
    fn refresh(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.segments.clear();
            for (due, _) in &self.queued {
                self.segments.insert(*due, self.sigma);
            }
        }
    }
}
