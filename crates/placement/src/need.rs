//! How many copies an item wants, from its share of the demand.

use crate::rate::{Estimate, Rates};
use std::time::Duration;

/// A further copy is ordered once the need exceeds the copies there are by this.
const UP_MARGIN: f64 = 0.25;

/// Requests a second from which one lost endpoint should not take an item away.
const RESILIENT_RATE: f64 = 1.0;

/// Requests a second that each further copy should serve to be worth its load within a few seconds.
const PAYING_RATE: f64 = 2.0;

/// How many copies of an item there should be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Target {
    /// Below this, copies are ordered.
    pub order: usize,
    /// Above this, copies may be given up for something else.
    pub keep: usize,
}

/// The work of a service, and over how many endpoints it may be spread.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub endpoints: usize,
    /// Work of all demand, tokens a second.
    pub work: f64,
}

impl Fleet {
    /// What an item wants that may be on at most `places` endpoints.
    pub fn target(&self, rates: &Rates, places: usize, now: Duration) -> Target {
        if !rates.in_demand(now) || places == 0 {
            return Target::default();
        }
        let estimate = rates.estimate(now);
        let work = rates.mean_work();
        let order = self.order(estimate, work).clamp(1, places);
        let keep = self.keep(estimate, work).clamp(order, places);
        Target { order, keep }
    }

    /// Endpoints that this rate of work would fill if all work were spread evenly.
    pub fn endpoints_for(&self, rate: f64, work: f64) -> f64 {
        if self.work > 0.0 { rate * work * self.endpoints as f64 / self.work } else { 0.0 }
    }

    fn order(&self, estimate: Estimate, work: f64) -> usize {
        let by_share = (self.endpoints_for(estimate.low, work) - UP_MARGIN).ceil().max(1.0);
        let paying = 1.0 + (estimate.low / PAYING_RATE).floor();
        let least = if estimate.low >= RESILIENT_RATE { 2.0 } else { 1.0 };
        by_share.min(paying).max(least) as usize
    }

    fn keep(&self, estimate: Estimate, work: f64) -> usize {
        let by_share = self.endpoints_for(estimate.high, work).ceil().max(1.0);
        let least = if estimate.high >= RESILIENT_RATE { 2.0 } else { 1.0 };
        by_share.max(least) as usize
    }
}
