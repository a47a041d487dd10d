//! Rendezvous hashing: ranks endpoints for an item, stable as other endpoints come and go.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Largest cost that is added to break a tie.
const MAX_TIE_BREAKER: f64 = 0.01;

/// A small cost that breaks ties, the same in every round.
pub(crate) fn tie_breaker(seed: u64, model: &str, endpoint: &str) -> f64 {
    rendezvous(seed, model, "", endpoint) as f64 / u64::MAX as f64 * MAX_TIE_BREAKER
}

/// Rendezvous hash of an endpoint for an item: stable as other endpoints come and go.
pub(crate) fn rendezvous(seed: u64, model: &str, adapter: &str, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, model, adapter, endpoint).hash(&mut hasher);
    hasher.finish()
}
