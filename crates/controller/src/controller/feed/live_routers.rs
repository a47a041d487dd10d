//! Counts the live routers. Routers divide budgets by this number, so it must never be too low.

use std::collections::BTreeMap;
use std::time::Duration;

/// A router is removed after this time without a report. Until then its share of the budgets stays reserved, because it
/// may still use the share: it may be partitioned from this controller only.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(30);
/// Uptime before a controller reports the number. Every router reports its demand each second, so all live ones are
/// known by then.
const WARMUP: Duration = Duration::from_secs(5);

/// Time of the last demand report of each router, by router name.
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
