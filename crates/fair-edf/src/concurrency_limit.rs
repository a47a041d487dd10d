//! The limit of concurrent calls to an endpoint: a fraction of its slots, and less while it is degraded.

use std::collections::VecDeque;

/// Fraction of the slots that one caller takes, and the fraction while the endpoint is degraded.
const FRACTION: f64 = 0.75;
const DEGRADED_FRACTION: f64 = 0.5;
/// Most and fewest recent calls that show a degradation: more than are likely to fail by chance.
const MAX_RECENT_CALLS: usize = 12;
const MIN_RECENT_CALLS: usize = MAX_RECENT_CALLS / 3;
/// A call is slow if it takes more than this factor times the usual time.
const SLOW_FACTOR: f64 = 2.0;

/// The results of the last calls to an endpoint: `true` for a call that failed or was slow.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct RecentCalls(VecDeque<bool>);

impl RecentCalls {
    /// Records a call: whether it succeeded, its duration, and the usual duration, both in s.
    pub fn record(&mut self, success: bool, duration_s: f64, usual_s: f64) {
        self.0.push_back(!success || duration_s > SLOW_FACTOR * usual_s);
        self.0.drain(..self.0.len().saturating_sub(MAX_RECENT_CALLS));
    }

    /// Whether most calls failed or were slow.
    pub fn is_degraded(&self) -> bool {
        let bad = self.0.iter().filter(|bad| **bad).count();
        self.0.len() >= MIN_RECENT_CALLS && bad * 2 > self.0.len()
    }

    /// Limit of concurrent calls to an endpoint with `slots` slots; at least 1.
    pub fn cap(&self, slots: usize) -> usize {
        let fraction = if self.is_degraded() { DEGRADED_FRACTION } else { FRACTION };
        ((slots as f64 * fraction) as usize).max(1)
    }
}
