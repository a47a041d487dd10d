//! Which part of a route's traffic split each request goes to.

use lanegate_model::configuration::Configuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Where the requests of split routes fall within the weights.
#[derive(Debug)]
pub struct SplitSequences {
    random: SmallRng,
}

impl SplitSequences {
    /// No route is split yet.
    pub fn new(seed: u64) -> Self {
        SplitSequences { random: SmallRng::seed_from_u64(seed) }
    }

    /// The position, from 0 up to 1, of the next request of a route within the route's weights.
    pub fn next(&mut self, _route: &str) -> f64 {
        self.random.random()
    }

    /// Forgets the routes that a configuration does not split.
    pub fn retain(&mut self, _configuration: &Configuration) {}
}
