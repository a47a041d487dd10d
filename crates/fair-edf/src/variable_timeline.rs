//! The timeline of an endpoint whose requests have different slot times, as in a batching engine.

use crate::Ns;
use crate::segments::Segments;
use std::collections::BTreeMap;

/// The queued requests by due time, each with its slot time, and their busy segments.
#[derive(Clone, Debug)]
pub struct VariableTimeline<K> {
    /// Slot times by due time and key.
    queued: BTreeMap<(Ns, K), Ns>,
    segments: Segments,
    /// Whether the segments have to be computed again.
    stale: bool,
}

impl<K> Default for VariableTimeline<K> {
    fn default() -> Self {
        VariableTimeline { queued: BTreeMap::new(), segments: Segments::default(), stale: false }
    }
}

impl<K: Copy + Ord> VariableTimeline<K> {
    /// Adds a request that is due at `due` and takes `sigma`. If it is queued with that due time already, its slot time
    /// changes.
    pub fn insert(&mut self, due: Ns, key: K, sigma: Ns) {
        if self.queued.insert((due, key), sigma).is_some() {
            self.stale = true;
        }
        if !self.stale {
            self.segments.insert(due, sigma);
        }
    }

    /// Removes a request; earlier slots shift right into its slot. Returns whether it was queued.
    pub fn remove(&mut self, due: Ns, key: K) -> bool {
        let is_first = self.first() == Some((due, key));
        let Some(sigma) = self.queued.remove(&(due, key)) else { return false };
        if is_first && !self.stale {
            self.segments.remove_first(sigma);
        } else {
            self.stale = true;
        }
        true
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

    /// If the first segment starts before `now`: its requests up to the first that cannot be met, each with its slot time.
    /// Removing one with the longest slot, and repeating that until none is overdue, removes the fewest requests.
    pub fn overdue(&mut self, now: Ns) -> Option<Vec<(K, Ns)>> {
        self.start().filter(|start| *start < now)?;
        let mut end = now;
        let mut candidates = Vec::new();
        for ((due, key), sigma) in &self.queued {
            end += sigma;
            candidates.push((*key, *sigma));
            if end > *due {
                return Some(candidates);
            }
        }
        None
    }

    /// The requests of [`VariableTimeline::overdue`] with the longest slot, whose refusal leaves the most others to be met.
    pub fn longest_overdue(&mut self, now: Ns) -> Option<Vec<K>> {
        let candidates = self.overdue(now)?;
        let longest = candidates.iter().map(|(_, sigma)| *sigma).max()?;
        let of_longest = candidates.into_iter().filter(|(_, sigma)| *sigma == longest);
        Some(of_longest.map(|(key, _)| key).collect())
    }

    /// The queued requests in order of due time, which is the order of release.
    pub fn iter(&self) -> impl Iterator<Item = (Ns, K)> {
        self.queued.keys().copied()
    }

    /// The request with the earliest due time.
    pub fn first(&self) -> Option<(Ns, K)> {
        self.queued.first_key_value().map(|(first, _)| *first)
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
            for ((due, _), sigma) in &self.queued {
                self.segments.insert(*due, *sigma);
            }
        }
    }
}
