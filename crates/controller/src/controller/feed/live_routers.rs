//! How many routers are live. Routers divide budgets by this number, so it must never be too low.

use std::collections::BTreeMap;
use std::time::Duration;

/// A router that has told nothing for so long is gone. Until then its part of the budgets is kept: it may
/// have used it, and it may be cut off from here alone.
const SILENCE: Duration = Duration::from_secs(30);
/// Before a controller has listened for so long it tells no number: every router tells its demand each second.
const LISTENING: Duration = Duration::from_secs(5);

/// Routers by name, and when each told its demand last.
#[derive(Debug, Default)]
pub struct LiveRouters {
    told: BTreeMap<String, Duration>,
}

impl LiveRouters {
    /// A router told its demand.
    pub fn heard(&mut self, now: Duration, router: String) {
        self.told.insert(router, now);
    }

    /// Forgets those that are gone.
    pub fn forget(&mut self, now: Duration) {
        self.told.retain(|_, told| now < *told + SILENCE);
    }

    /// The number of live routers, `uptime` after the start of this process; 0 while it is not known.
    pub fn count(&self, uptime: Duration) -> u32 {
        if uptime < LISTENING { 0 } else { self.told.len() as u32 }
    }
}
