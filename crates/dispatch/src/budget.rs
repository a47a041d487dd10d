//! The retry budget. All routers share it without communicating: each one uses only its own share.
//!
//! The bound over all routers is a ratio of the requests of a window plus a slack. A router retries no more than the
//! ratio of its own requests, plus an equal share of half of the slack. The other half covers routers that were
//! restarted, and routers that learn late of each other.

use lanegate_config::settings::Bounds;
use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the ratio that a router uses. The rest is a margin, as the windows of routers and of an observer are not
/// aligned.
const RATIO_SAFETY_FACTOR: f64 = 0.75;

/// Fraction of the slack that is divided among the routers.
const SLACK_FRACTION: f64 = 0.5;

/// The configured bounds of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetBounds {
    /// Retries of all routers as a fraction of the requests of a window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries that all routers together may make beyond the ratio.
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

/// The retry budget of one service in one router.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
    /// Retries since the start of the process.
    total_retries: u64,
}

impl RetryBudget {
    /// Records a request of a client.
    pub fn record_request(&mut self, now: Duration, bounds: &BudgetBounds) {
        expire_before(&mut self.requests, now, bounds.window);
        self.requests.push_back(now);
    }

    /// Whether one more retry fits into the window that ends now. While the number of live routers is unknown, none of
    /// the slack is used.
    pub fn allows(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> bool {
        (count_within(&self.retries, now, bounds.window) + 1) as f64 <= self.allowance(now, bounds, live)
    }

    /// Retries that still fit into the window that ends now.
    pub fn remaining(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> u64 {
        let retries = count_within(&self.retries, now, bounds.window) as u64;
        (self.allowance(now, bounds, live) as u64).saturating_sub(retries)
    }

    /// Retries that the window that ends now may contain.
    fn allowance(&self, now: Duration, bounds: &BudgetBounds, live: Option<u32>) -> f64 {
        let requests = count_within(&self.requests, now, bounds.window);
        let ratio_allowance = bounds.ratio * RATIO_SAFETY_FACTOR * requests as f64;
        let slack_allowance = live.map_or(0.0, |live| bounds.slack * SLACK_FRACTION / f64::from(live.max(1)));
        ratio_allowance + slack_allowance
    }

    /// Retries since the start of the process.
    pub fn total_retries(&self) -> u64 {
        self.total_retries
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: Duration, bounds: &BudgetBounds) {
        expire_before(&mut self.retries, now, bounds.window);
        self.retries.push_back(now);
        self.total_retries += 1;
    }

    /// When the oldest retry leaves the window; `None` if the window contains no retry.
    pub fn next_expiry(&self, now: Duration, bounds: &BudgetBounds) -> Option<Duration> {
        let counted = self.retries.iter().map(|&at| at + bounds.window);
        counted.into_iter().find(|&expiry| expiry > now)
    }
}

fn count_within(times: &VecDeque<Duration>, now: Duration, window: Duration) -> usize {
    times.len() - times.partition_point(|&at| at + window <= now)
}

fn expire_before(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    let expired = times.partition_point(|&at| at + window <= now);
    times.drain(..expired);
}
