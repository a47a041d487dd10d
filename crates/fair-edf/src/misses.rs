//! The miss ratio of each class, which ages: the class that has missed least gives way.

use crate::Ns;

/// Time in which a miss counts for 1/e of a new one, s: long against a trouble, short against a day.
const MEMORY_S: f64 = 30.0;
/// What a class of which nothing is known counts as having: half a miss in one request.
const PRIOR_MISSES: f64 = 0.5;
const PRIOR_REQUESTS: f64 = 1.0;

/// Aged counts of one class.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Tally {
    misses: f64,
    total: f64,
    at: Ns,
}

impl Tally {
    fn count(&mut self, now: Ns, misses: f64, total: f64) {
        let elapsed_s = (now - self.at) as f64 / 1e9;
        let keep = (-elapsed_s / MEMORY_S).exp();
        *self = Tally { misses: self.misses * keep + misses, total: self.total * keep + total, at: now };
    }
}

/// Aged counts of requests and misses (refusals, failures and late answers) by class.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct MissRatios(Vec<Tally>);

impl MissRatios {
    /// Counts for classes 0 to `classes` - 1.
    pub fn new(classes: usize) -> Self {
        MissRatios(vec![Tally::default(); classes])
    }

    /// Counts a request of `class`.
    pub fn request(&mut self, class: usize, now: Ns) {
        self.0[class].count(now, 0.0, 1.0);
    }

    /// Counts a miss of `class`: once for each request that was refused, failed or answered late.
    pub fn miss(&mut self, class: usize, now: Ns) {
        self.0[class].count(now, 1.0, 0.0);
    }

    /// The share of the requests of `class` that missed.
    pub fn ratio(&self, class: usize) -> f64 {
        let tally = &self.0[class];
        (tally.misses + PRIOR_MISSES) / (tally.total + PRIOR_REQUESTS)
    }
}
