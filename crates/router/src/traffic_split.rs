//! Which part of a route's traffic split each request goes to.
//!
//! Every split route of a router has an additive recurrence with the golden ratio (a Kronecker sequence). Among any
//! few hundred requests in a row, the number that falls into a part differs from its share by one or two requests;
//! with independent draws the standard deviation of 300 requests at even weights is nine. A sequence begins at a
//! point drawn by chance, so that routers that see only a few requests each do not all begin with the same part, and
//! their errors cancel out. It does not depend on the weights, so it goes on over a change of the configuration.

use crate::fault::RouterFault;
use lanegate_config::configuration::Configuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};

/// The step of the sequences: the golden ratio less one, the step whose multiples lie most evenly.
const STEP: f64 = 0.618_033_988_749_894_8;

/// The sequences of one router, by the names of the split routes.
#[derive(Debug)]
pub struct SplitSequences {
    random: SmallRng,
    positions: HashMap<Box<str>, f64>,
    fault: Option<RouterFault>,
}

impl SplitSequences {
    /// No route is split yet; `seed` sets where sequences begin.
    pub fn new(seed: u64, fault: Option<RouterFault>) -> Self {
        SplitSequences { random: SmallRng::seed_from_u64(seed), positions: HashMap::new(), fault }
    }

    /// The position, from 0 up to 1, of the next request of `route` within the route's weights.
    pub fn next(&mut self, route: &str) -> f64 {
        if self.fault == Some(RouterFault::DrawSplits) {
            return self.random.random();
        }
        match self.positions.get_mut(route) {
            Some(position) => {
                *position = (*position + STEP).fract();
                *position
            }
            None => {
                let first = self.random.random();
                self.positions.insert(route.into(), first);
                first
            }
        }
    }

    /// Forgets the routes that `configuration` does not split.
    pub fn retain(&mut self, configuration: &Configuration) {
        let split_routes = configuration.routes.iter().filter(|route| !route.traffic_split.is_empty());
        let names: HashSet<&str> = split_routes.map(|route| route.name.as_str()).collect();
        self.positions.retain(|name, _| names.contains(&**name));
    }
}
