//! How many routers are live. Routers divide budgets by this number, so it must never be too low.

use std::collections::BTreeMap;
use std::time::Duration;

/// A router that has reported nothing for so long is removed. Until then its part of the budgets is reserved: it may
/// have used it, and it may be partitioned from this controller only.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(30);
/// A controller reports no number before it has run for so long: every router reports its demand each second.
const WARMUP: Duration = Duration::from_secs(5);

/// Routers by name, and when each reported its demand last.
#[derive(Debug, Default)]
pub(crate) struct LiveRouters {
    last_report: BTreeMap<String, Duration>,
}

impl LiveRouters {
    /// A router reported its demand.
    pub(crate) fn record_report(&mut self, now: Duration, router: String) {
        self.last_report.insert(router, now);
    }

    /// Removes routers that have timed out.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.last_report.retain(|_, last_report| now < *last_report + ROUTER_TIMEOUT);
    }

    /// The number of live routers, `uptime` after the start of this process; 0 while it is not known.
    pub(crate) fn count(&self, uptime: Duration) -> u32 {
        if uptime < WARMUP { 0 } else { self.last_report.len() as u32 }
    }
}
