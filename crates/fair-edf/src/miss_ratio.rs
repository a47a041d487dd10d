//! Miss ratios by class, with exponential decay. On overload the class with the lowest ratio loses a request.

use crate::Ns;

/// Time constant of the decay, s: long compared with a fault, short compared with a day.
const DECAY_S: f64 = 30.0;
/// Prior of a class without requests: half a miss in one request.
const PRIOR_MISSES: f64 = 0.5;
const PRIOR_REQUESTS: f64 = 1.0;

/// Decayed counts of one class.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct DecayedCounts {
    misses: f64,
    total: f64,
    at: Ns,
}

impl DecayedCounts {
    fn add(&mut self, now: Ns, misses: f64, total: f64) {
        let elapsed_s = (now - self.at) as f64 / 1e9;
        let remaining = (-elapsed_s / DECAY_S).exp();
        *self = DecayedCounts {
            misses: self.misses * remaining + misses,
            total: self.total * remaining + total,
            at: now,
        };
    }
}

/// Decayed counts of requests and of misses (refusals, failures and late answers) by class. Its
/// methods panic if there is no such class.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct MissRatios(Vec<DecayedCounts>);

impl MissRatios {
    /// Empty counts for the classes 0 to `classes` - 1.
    pub fn new(classes: usize) -> Self {
        MissRatios(vec![DecayedCounts::default(); classes])
    }

    /// Records a request of `class`.
    pub fn request(&mut self, class: usize, now: Ns) {
        self.0[class].add(now, 0.0, 1.0);
    }

    /// Records a miss of `class`, once for each request that was refused, failed or answered late.
    pub fn miss(&mut self, class: usize, now: Ns) {
        self.0[class].add(now, 1.0, 0.0);
    }

    /// The fraction of the requests of `class` that missed.
    pub fn ratio(&self, class: usize) -> f64 {
        let counts = &self.0[class];
        (counts.misses + PRIOR_MISSES) / (counts.total + PRIOR_REQUESTS)
    }
}
