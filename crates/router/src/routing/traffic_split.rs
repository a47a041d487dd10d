//! Traffic splits: to which service of its route's split a request is sent.
//!
//! Each route with a split has its own low-discrepancy sequence at each router: an additive recurrence with the golden ratio (a
//! Kronecker sequence). Among any few hundred consecutive requests, the number of requests to a service differs from its
//! weight by one or two; with independent random draws, the standard deviation for 300 requests and equal weights is nine. A
//! sequence begins at a random point, so that routers with few requests do not all begin with the same service, and their
//! deviations cancel out. The sequence does not
//! depend on the weights, so it continues when the configuration changes.

use crate::fault::RouterFault;
use lanegate_config::configuration::Configuration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, HashSet};

/// The step of the sequences: the golden ratio minus one, whose multiples modulo 1 are distributed most evenly.
const STEP: f64 = 0.618_033_988_749_894_8;

/// The sequences of one router, by the names of the split routes.
#[derive(Debug)]
pub struct SplitSequences {
    random: SmallRng,
    positions: HashMap<Box<str>, f64>,
    fault: Option<RouterFault>,
}

impl SplitSequences {
    /// No sequences yet; `seed` determines where they begin.
    pub fn new(seed: u64, fault: Option<RouterFault>) -> Self {
        SplitSequences { random: SmallRng::seed_from_u64(seed), positions: HashMap::new(), fault }
    }

    /// The position, in [0, 1), of the next request of `route` within the cumulated weights of its split.
    pub fn next(&mut self, route: &str) -> f64 {
        if self.fault == Some(RouterFault::DrawSplitsIndependently) {
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

    /// Removes the sequences of routes that have no split in `configuration`.
    pub fn retain(&mut self, configuration: &Configuration) {
        let split_routes = configuration.routes.iter().filter(|route| !route.traffic_split.is_empty());
        let names: HashSet<&str> = split_routes.map(|route| route.name.as_str()).collect();
        self.positions.retain(|name, _| names.contains(&**name));
    }
}
