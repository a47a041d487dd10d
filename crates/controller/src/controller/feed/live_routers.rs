//! How many routers are live. Routers divide budgets by this number, so it must never be too low.

use std::collections::BTreeMap;
use std::time::Duration;

/// A router that has told nothing for so long is gone. Until then its part of the budgets is kept: it may
/// have used it, and it may be cut off from here alone.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(30);
/// Before a controller has listened for so long it tells no number: every router tells its demand each second.
const WARMUP: Duration = Duration::from_secs(5);

/// Routers by name, and when each told its demand last.
#[derive(Debug, Default)]
pub struct LiveRouters {
    last_report: BTreeMap<String, Duration>,
}

impl LiveRouters {
    /// A router told its demand.
    pub fn record_report(&mut self, now: Duration, router: String) {
        self.last_report.insert(router, now);
    }

    /// Forgets those that are gone.
    pub fn expire(&mut self, now: Duration) {
        self.last_report.retain(|_, last_report| now < *last_report + ROUTER_TIMEOUT);
    }

    /// The number of live routers, `uptime` after the start of this process; 0 while it is not known.
    pub fn count(&self, uptime: Duration) -> u32 {
        if uptime < WARMUP { 0 } else { self.last_report.len() as u32 }
    }
}
