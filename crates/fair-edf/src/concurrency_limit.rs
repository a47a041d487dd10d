//! How many calls may be out at an endpoint: a share of its slots, less while it ails.

use std::collections::VecDeque;

/// Share of the slots that one caller takes, and while the endpoint ails: the design's.
const SHARE: f64 = 0.75;
const AILING_SHARE: f64 = 0.5;
/// Calls that tell whether it ails, and the least of them: a few more than chance makes fail together.
const RECENT: usize = 12;
const RECENT_LEAST: usize = RECENT / 3;
/// A call is slow past this multiple of the usual time.
const SLOW_MULTIPLE: f64 = 2.0;

/// How the last calls to an endpoint went: true for one that failed or was slow.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize), serde(transparent))]
pub struct RecentCalls(VecDeque<bool>);

impl RecentCalls {
    /// Counts a call: whether it went well, and its time beside the usual one, s.
    pub fn record(&mut self, well: bool, took: f64, usual: f64) {
        self.0.push_back(!well || took > SLOW_MULTIPLE * usual);
        self.0.drain(..self.0.len().saturating_sub(RECENT));
    }

    /// Whether most calls failed or were slow.
    pub fn is_degraded(&self) -> bool {
        let bad = self.0.iter().filter(|bad| **bad).count();
        self.0.len() >= RECENT_LEAST && bad * 2 > self.0.len()
    }

    /// Calls that may be out at once, of so many slots.
    pub fn cap(&self, slots: usize) -> usize {
        let share = if self.is_degraded() { AILING_SHARE } else { SHARE };
        ((slots as f64 * share) as usize).max(1)
    }
}
