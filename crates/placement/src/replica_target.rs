//! Number of replicas that an item should have, from its share of the work.

use crate::demand_rate::{DemandRates, RateInterval};
use std::time::Duration;

/// Another replica is ordered when the number of endpoints needed exceeds the number of replicas by this.
const SCALE_UP_MARGIN: f64 = 0.25;

/// From this rate on, requests/s, an item gets a second replica, so that the loss of one endpoint does not remove it.
const RESILIENT_RATE: f64 = 1.0;

/// Rate that each additional replica should serve to be worth its load, requests/s.
const MIN_RATE_PER_REPLICA: f64 = 2.0;

/// Range of the number of replicas of an item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplicaTarget {
    /// Below this, replicas are ordered.
    pub minimum: usize,
    /// Above this, replicas may be evicted for other items.
    pub maximum: usize,
}

/// The work of a service, and the endpoints over which it can be spread.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetLoad {
    pub endpoints: usize,
    /// Work of all demand, tokens/s.
    pub work: f64,
}

impl FleetLoad {
    /// Target of an item that can be on at most `endpoints` endpoints.
    pub(crate) fn target(&self, rates: &DemandRates, endpoints: usize, now: Duration) -> ReplicaTarget {
        if !rates.in_demand(now) || endpoints == 0 {
            return ReplicaTarget::default();
        }
        let estimate = rates.estimate(now);
        let work = rates.mean_work();
        let minimum = self.min_replicas(estimate, work).clamp(1, endpoints);
        let maximum = self.max_replicas(estimate, work).clamp(minimum, endpoints);
        ReplicaTarget { minimum, maximum }
    }

    /// Endpoints that `rate` requests/s of `work` tokens each would fill if all work were spread evenly.
    pub(crate) fn endpoints_for(&self, rate: f64, work: f64) -> f64 {
        if self.work > 0.0 { rate * work * self.endpoints as f64 / self.work } else { 0.0 }
    }

    fn min_replicas(&self, estimate: RateInterval, work: f64) -> usize {
        let by_share = (self.endpoints_for(estimate.low, work) - SCALE_UP_MARGIN).ceil().max(1.0);
        let worthwhile = 1.0 + (estimate.low / MIN_RATE_PER_REPLICA).floor();
        let floor = if estimate.low >= RESILIENT_RATE { 2.0 } else { 1.0 };
        by_share.min(worthwhile).max(floor) as usize
    }

    fn max_replicas(&self, estimate: RateInterval, work: f64) -> usize {
        let by_share = self.endpoints_for(estimate.high, work).ceil().max(1.0);
        let floor = if estimate.high >= RESILIENT_RATE { 2.0 } else { 1.0 };
        by_share.max(floor) as usize
    }
}
