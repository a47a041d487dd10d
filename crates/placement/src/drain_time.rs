//! Estimates how long an endpoint takes to evict a model.
//!
//! An idle model is evicted immediately. For a busy one, the endpoint refuses new requests as soon as it has accepted
//! the order, and the memory is freed when the last running request has ended. A load that needs this memory has to
//! wait for that.

use std::time::Duration;

/// Initial estimate for a busy model, s.
const INITIAL_S: f64 = 1.5;

/// Weight of a new observation in the moving average.
const GAIN: f64 = 0.2;

/// From this request rate at one endpoint on, requests/s, an eviction is an observation of a busy model.
const BUSY_RATE: f64 = 1.0;

/// Observations are capped at this, s: an endpoint that takes longer is faulty.
const MAX_S: f64 = 20.0;

/// Moving average of the eviction times of busy models.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainTimeEstimate {
    busy_s: f64,
}

impl Default for DrainTimeEstimate {
    fn default() -> Self {
        DrainTimeEstimate { busy_s: INITIAL_S }
    }
}

impl DrainTimeEstimate {
    /// Records that the eviction of a model with `rate` requests/s at the endpoint took `duration`.
    pub(crate) fn observe(&mut self, rate: f64, duration: Duration) {
        if rate >= BUSY_RATE {
            self.busy_s += GAIN * (duration.as_secs_f64().min(MAX_S) - self.busy_s);
        }
    }

    /// Expected time, s, until a model with `rate` requests/s at the endpoint is evicted: that of a busy model, times
    /// the probability that a request arrived within that time.
    pub(crate) fn expected_s(&self, rate: f64) -> f64 {
        self.busy_s * (1.0 - (-rate.max(0.0) * self.busy_s).exp())
    }
}
