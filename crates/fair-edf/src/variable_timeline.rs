//! The occupancy chart of an endpoint whose requests take different slot times, as in a batching engine.

use crate::Ns;
use crate::segments::Segments;
use std::collections::BTreeMap;

/// What is held, by deadline, with a slot time for each, and the busy segments that this makes.
#[derive(Clone, Debug)]
pub struct VariableTimeline<K> {
    /// Slot times by deadline and key.
    held: BTreeMap<(Ns, K), Ns>,
    segments: Segments,
    /// The segments no longer fit what is held and are made anew when next asked for.
    stale: bool,
}

impl<K> Default for VariableTimeline<K> {
    fn default() -> Self {
        VariableTimeline { held: BTreeMap::new(), segments: Segments::default(), stale: false }
    }
}

impl<K: Copy + Ord> VariableTimeline<K> {
    /// Holds a request that takes `sigma` and is due to be answered at `due`. One that is held already at
    /// that place gets the new slot time.
    pub fn insert(&mut self, due: Ns, key: K, sigma: Ns) {
        if self.held.insert((due, key), sigma).is_some() {
            self.stale = true;
        }
        if !self.stale {
            self.segments.place(due, sigma);
        }
    }

    /// Takes a request off; those left of it shift right into its slot. True if it was held.
    pub fn remove(&mut self, due: Ns, key: K) -> bool {
        let is_first = self.first() == Some((due, key));
        let Some(sigma) = self.held.remove(&(due, key)) else { return false };
        if is_first && !self.stale {
            self.segments.release_first(sigma);
        } else {
            self.stale = true;
        }
        true
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

    /// If the first segment starts before `now`: its requests up to the first that cannot be met, each with
    /// its slot time. Taking off one with the longest, and asking again, refuses the fewest.
    pub fn overdue(&mut self, now: Ns) -> Option<Vec<(K, Ns)>> {
        self.start().filter(|start| *start < now)?;
        let mut end = now;
        let mut candidates = Vec::new();
        for ((due, key), sigma) in &self.held {
            end += sigma;
            candidates.push((*key, *sigma));
            if end > *due {
                return Some(candidates);
            }
        }
        None
    }

    /// Those of [`VariableTimeline::overdue`] whose refusal leaves the most others to be met.
    pub fn longest_overdue(&mut self, now: Ns) -> Option<Vec<K>> {
        let candidates = self.overdue(now)?;
        let longest = candidates.iter().map(|(_, sigma)| *sigma).max()?;
        let of_longest = candidates.into_iter().filter(|(_, sigma)| *sigma == longest);
        Some(of_longest.map(|(key, _)| key).collect())
    }

    /// What is held, by earliest deadline: the order of release.
    pub fn iter(&self) -> impl Iterator<Item = (Ns, K)> {
        self.held.keys().copied()
    }

    /// The request with the earliest deadline.
    pub fn first(&self) -> Option<(Ns, K)> {
        self.held.first_key_value().map(|(first, _)| *first)
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
            for ((due, _), sigma) in &self.held {
                self.segments.place(*due, *sigma);
            }
        }
    }
}
