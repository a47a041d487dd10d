//! How long an endpoint takes to drop a model: until the last run with it has ended.
//!
//! An idle model is gone at once. One that is asked for all the time is refused at its endpoint from the order on,
//! and its room stays taken until the longest of its runs has ended; whatever is to be loaded there waits for that.

use std::time::Duration;

/// Time that a busy model takes, s, until one was measured.
const FIRST_S: f64 = 1.5;

/// Weight of a further measurement.
const GAIN: f64 = 0.2;

/// Requests a second at one endpoint from which an eviction tells how long a busy model takes.
const BUSY_RATE: f64 = 1.0;

/// Longest time that is believed, s: an endpoint that takes longer is in trouble.
const LONGEST_S: f64 = 20.0;

/// What evictions so far told of how long a busy model takes to go.
#[derive(Debug, Clone, Copy)]
pub struct DrainTime {
    busy_s: f64,
}

impl Default for DrainTime {
    fn default() -> Self {
        DrainTime { busy_s: FIRST_S }
    }
}

impl DrainTime {
    /// An eviction of a model that got `rate` requests a second at the endpoint took `lasted`.
    pub fn measured(&mut self, rate: f64, lasted: Duration) {
        if rate >= BUSY_RATE {
            self.busy_s += GAIN * (lasted.as_secs_f64().min(LONGEST_S) - self.busy_s);
        }
    }

    /// How long a model will take to go that gets `rate` requests a second at the endpoint, s: the time of a busy
    /// one, as likely as it is that a request came within that time.
    pub fn expected_s(&self, rate: f64) -> f64 {
        self.busy_s * (1.0 - (-rate.max(0.0) * self.busy_s).exp())
    }
}
