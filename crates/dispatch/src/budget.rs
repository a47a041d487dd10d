//! The retry budget that all routers share without talking: each keeps to its part.
//!
//! The bound over all routers is a ratio of the requests of a window plus a slack. A router repeats no more
//! than the ratio of its own requests, and its even part of half the slack: the other half covers routers
//! that were restarted, and those that see each other late.

use lanegate_config::settings::Bounds;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the ratio that a router uses: windows of several routers and of the judge never align.
const RATIO_MARGIN: f64 = 0.75;

/// Part of the slack that all routers share out.
const SLACK_PART: f64 = 0.5;

/// Figures of the budget, as the settings name them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    pub ratio: f64,
    pub window: Duration,
    pub slack: f64,
}

impl From<&Bounds> for BudgetBounds {
    fn from(bounds: &Bounds) -> Self {
        BudgetBounds {
            ratio: bounds.retry_ratio.max(0.0),
            window: crate::units::seconds(bounds.retry_window_s),
            slack: bounds.retry_slack.max(0.0),
        }
    }
}

/// The budget of one service in one router.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
    /// Repeats since the start.
    total_repeats: u64,
}

impl RetryBudget {
    /// Counts a request of a client.
    pub fn request(&mut self, now: Duration, bounds: &BudgetBounds) {
        forget_before(&mut self.requests, now, bounds.window);
        self.requests.push_back(now);
    }

    /// Whether one more repeat fits in the window that ends now. Without a count of the live routers none of
    /// the slack is used.
    pub fn allows(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> bool {
        (within(&self.repeats, now, bounds.window) + 1) as f64 <= self.allowance(now, bounds, live)
    }

    /// Repeats that still fit in the window that ends now.
    pub fn left(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> u64 {
        let repeats = within(&self.repeats, now, bounds.window) as u64;
        (self.allowance(now, bounds, live) as u64).saturating_sub(repeats)
    }

    /// Repeats that a window ending now may hold.
    fn allowance(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> f64 {
        let requests = within(&self.requests, now, bounds.window);
        let of_ratio = bounds.ratio * RATIO_MARGIN * requests as f64;
        let of_slack = live.map_or(0.0, |live| bounds.slack * SLACK_PART / f64::from(live.max(1)));
        of_ratio + of_slack
    }

    /// Repeats since the start.
    pub fn total_repeats(&self) -> u64 {
        self.total_repeats
    }

    /// Counts a repeat.
    pub fn repeat(&mut self, now: Duration, bounds: &BudgetBounds) {
        forget_before(&mut self.repeats, now, bounds.window);
        self.repeats.push_back(now);
        self.total_repeats += 1;
    }

    /// When the oldest repeat leaves the window; absent where no repeat stands in the way.
    pub fn eases_at(&self, now: Duration, bounds: &BudgetBounds) -> Option<Duration> {
        let counted = self.repeats.iter().map(|&at| at + bounds.window);
        counted.into_iter().find(|&leaves| leaves > now)
    }
}

fn within(times: &VecDeque<Duration>, now: Duration, window: Duration) -> usize {
    times.len() - times.partition_point(|&at| at + window <= now)
}

fn forget_before(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    let old = times.partition_point(|&at| at + window <= now);
    times.drain(..old);
}
