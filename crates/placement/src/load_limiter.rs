//! Limits the loads from the weight store: their rate in a sliding window, and their concurrency.

use crate::interface::OrderId;
use std::time::Duration;

/// Loads that the rate limit allows beyond the permitted rate with its overshoot.
const BURST_ALLOWANCE: f64 = 3.0;

/// Number of takeovers within one window whose loads together stay below the rate limit.
const TAKEOVERS: f64 = 2.0;

/// Lowest concurrency limit.
const MIN_CONCURRENCY: f64 = 2.0;

/// A load that takes more than this times the expected time shows that the store is congested.
const SLOW_LOAD: f64 = 1.6;

/// A load that counts in the window.
#[derive(Debug)]
struct WindowedLoad {
    order: OrderId,
    accepted_at: Option<Duration>,
}

/// A load that is probably still reading from the weight store.
#[derive(Debug)]
struct ActiveLoad {
    order: OrderId,
    until: Duration,
}

/// Rate and concurrency limiter of loads from the weight store.
#[derive(Debug)]
pub(crate) struct LoadLimiter {
    window: Duration,
    overshoot: f64,
    loads_per_s: f64,
    loads: Vec<WindowedLoad>,
    active: Vec<ActiveLoad>,
    concurrency: f64,
    max_concurrency: f64,
    /// Until then the loads of a predecessor are assumed to fill the window.
    assumed_until: Duration,
}

impl LoadLimiter {
    /// A limiter that allows nothing until `set_limits`.
    pub(crate) fn new(window: Duration, overshoot: f64, assumed_until: Duration) -> LoadLimiter {
        LoadLimiter {
            window,
            overshoot,
            loads_per_s: 0.0,
            loads: Vec::new(),
            active: Vec::new(),
            concurrency: MIN_CONCURRENCY,
            max_concurrency: MIN_CONCURRENCY,
            assumed_until,
        }
    }

    /// Until when the loads of a predecessor are assumed to fill the window.
    pub(crate) fn assumed_until(&self) -> Duration {
        self.assumed_until
    }

    /// Sets until when the loads of a predecessor are assumed to fill the window.
    pub(crate) fn assume_until(&mut self, until: Duration) {
        self.assumed_until = until;
    }

    /// Sets the permitted rate, loads/s, and the concurrency that sustains it.
    pub(crate) fn set_limits(&mut self, loads_per_s: f64, max_concurrency: f64) {
        self.loads_per_s = loads_per_s;
        self.max_concurrency = max_concurrency.ceil().max(MIN_CONCURRENCY);
        self.concurrency = self.max_concurrency;
    }

    /// Number of loads that may start now. `reserve` loads of the window are kept for more urgent ones, and `extra`
    /// loads may exceed the concurrency limit.
    pub(crate) fn available(&mut self, now: Duration, reserve: usize, extra: usize) -> usize {
        self.expire(now);
        let window = self.limit(now).saturating_sub(self.loads.len() + reserve);
        let concurrency = (self.concurrency as usize + extra).saturating_sub(self.active.len());
        window.min(concurrency)
    }

    /// Used fraction of the window.
    pub(crate) fn utilization(&mut self, now: Duration) -> f64 {
        self.expire(now);
        if now < self.assumed_until {
            return 1.0;
        }
        self.loads.len() as f64 / self.limit(now).max(1) as f64
    }

    /// When a load may next become possible without any other input.
    pub(crate) fn next_free(&self, now: Duration) -> Option<Duration> {
        let oldest = self.loads.iter().filter_map(|load| load.accepted_at).min();
        let assumed = (now < self.assumed_until).then_some(self.assumed_until);
        let window_free_at = oldest.map(|accepted_at| accepted_at + self.window);
        let load_ends_at = self.active.iter().map(|load| load.until).min();
        [assumed, window_free_at, load_ends_at].into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Records an ordered load that is expected to be done at `until`.
    pub(crate) fn start(&mut self, order: OrderId, until: Duration) {
        self.loads.push(WindowedLoad { order, accepted_at: None });
        self.active.push(ActiveLoad { order, until });
    }

    /// Records that the load was accepted, at `now` at the latest.
    pub(crate) fn accepted(&mut self, order: OrderId, now: Duration) {
        if let Some(load) =
            self.loads.iter_mut().find(|load| load.order == order && load.accepted_at.is_none())
        {
            load.accepted_at = Some(now);
        }
    }

    /// Removes a load that was not accepted and never will be.
    pub(crate) fn cancel(&mut self, order: OrderId) {
        self.loads.retain(|load| load.order != order);
        self.active.retain(|load| load.order != order);
    }

    /// Records that the load is done, or that its endpoint was removed.
    pub(crate) fn finish(&mut self, order: OrderId, now: Duration) {
        self.accepted(order, now);
        self.active.retain(|load| load.order != order);
    }

    /// Adapts the concurrency limit to a load that took at least `least` and usually takes `expected`.
    pub(crate) fn observe(&mut self, min_duration: Duration, usual: Duration) {
        if min_duration.as_secs_f64() > usual.as_secs_f64() * SLOW_LOAD {
            self.concurrency = (self.concurrency - 1.0).max(MIN_CONCURRENCY);
        } else {
            self.concurrency = (self.concurrency + 0.5).min(self.max_concurrency);
        }
    }

    fn limit(&self, now: Duration) -> usize {
        let permitted = (self.loads_per_s * self.window.as_secs_f64()).floor();
        if now >= self.assumed_until {
            return permitted.max(1.0) as usize;
        }
        let hard_limit = self.loads_per_s * self.window.as_secs_f64() * self.overshoot.max(1.0);
        ((hard_limit + BURST_ALLOWANCE - permitted) / TAKEOVERS).floor().min(permitted.max(1.0)) as usize
    }

    fn expire(&mut self, now: Duration) {
        let window = self.window;
        self.loads.retain(|load| load.accepted_at.is_none_or(|accepted_at| accepted_at + window > now));
        self.active.retain(|load| load.until > now);
    }
}
