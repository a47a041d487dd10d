//! What the weight store permits: loads in a sliding window, and loads at once.

use crate::interface::OrderId;
use std::time::Duration;

/// Loads that the ceiling leaves beyond the permitted rate and its overshoot.
const CEILING_SLACK: f64 = 3.0;

/// Takeovers within one window that keep the ceiling together.
const TAKEOVERS: f64 = 2.0;

/// Fewest loads at once, whatever the measured speed.
const LEAST_AT_ONCE: f64 = 2.0;

/// A load that takes longer than this times what it should take tells of a crowded store.
const SLOW_LOAD: f64 = 1.6;

/// One load from the store; until its fate is known it may yet begin.
#[derive(Debug)]
struct StoreLoad {
    order: OrderId,
    settled: Option<Duration>,
}

/// A load that is probably still fetching.
#[derive(Debug)]
struct LoadUnderWay {
    order: OrderId,
    until: Duration,
}

/// Counts the loads from the weight store.
#[derive(Debug)]
pub struct StoreBudget {
    window: Duration,
    overshoot: f64,
    loads_per_s: f64,
    loads: Vec<StoreLoad>,
    under_way: Vec<LoadUnderWay>,
    at_once: f64,
    sustained: f64,
    /// Until when a predecessor's loads are assumed to fill the window.
    assumed_until: Duration,
}

impl StoreBudget {
    /// A budget that holds nothing until `permit` tells what the store permits.
    pub fn new(window: Duration, overshoot: f64, assumed_until: Duration) -> StoreBudget {
        StoreBudget {
            window,
            overshoot,
            loads_per_s: 0.0,
            loads: Vec::new(),
            under_way: Vec::new(),
            at_once: LEAST_AT_ONCE,
            sustained: LEAST_AT_ONCE,
            assumed_until,
        }
    }

    /// Until when the loads of a predecessor are assumed to use the ceiling up.
    pub fn assumed_until(&self) -> Duration {
        self.assumed_until
    }

    /// Sets until when that is assumed.
    pub fn assume_until(&mut self, until: Duration) {
        self.assumed_until = until;
    }

    /// Sets the permitted rate and the loads at once that sustain it.
    pub fn permit(&mut self, loads_per_s: f64, sustained: f64) {
        self.loads_per_s = loads_per_s;
        self.sustained = sustained.ceil().max(LEAST_AT_ONCE);
        self.at_once = self.sustained;
    }

    /// Loads that may still begin now, with `reserve` of the window's left for something more urgent, and
    /// `beyond` more at once than the store serves at full speed.
    pub fn available(&mut self, now: Duration, reserve: usize, beyond: usize) -> usize {
        self.forget(now);
        let window = self.limit(now).saturating_sub(self.loads.len() + reserve);
        let at_once = (self.at_once as usize + beyond).saturating_sub(self.under_way.len());
        window.min(at_once)
    }

    /// Share of the window's loads that is used.
    pub fn used(&mut self, now: Duration) -> f64 {
        self.forget(now);
        if now < self.assumed_until {
            return 1.0;
        }
        self.loads.len() as f64 / self.limit(now).max(1) as f64
    }

    /// When the window next frees a load, if only time is wanted for that.
    pub fn next_free(&self, now: Duration) -> Option<Duration> {
        let oldest = self.loads.iter().filter_map(|load| load.settled).min();
        let assumed = (now < self.assumed_until).then_some(self.assumed_until);
        let freed = oldest.map(|settled| settled + self.window);
        let over = self.under_way.iter().map(|load| load.until).min();
        [assumed, freed, over].into_iter().flatten().filter(|at| *at > now).min()
    }

    /// A load from the store was ordered that should be over by then.
    pub fn ordered(&mut self, order: OrderId, until: Duration) {
        self.loads.push(StoreLoad { order, settled: None });
        self.under_way.push(LoadUnderWay { order, until });
    }

    /// The load was taken no later than now.
    pub fn taken(&mut self, order: OrderId, now: Duration) {
        if let Some(load) = self.loads.iter_mut().find(|load| load.order == order && load.settled.is_none()) {
            load.settled = Some(now);
        }
    }

    /// The load was not taken and never will be.
    pub fn refused(&mut self, order: OrderId) {
        self.loads.retain(|load| load.order != order);
        self.under_way.retain(|load| load.order != order);
    }

    /// The load is over, or its endpoint is gone.
    pub fn ended(&mut self, order: OrderId, now: Duration) {
        self.taken(order, now);
        self.under_way.retain(|load| load.order != order);
    }

    /// A load lasted at least `least`, where `expected` was to be expected of it.
    pub fn measured(&mut self, least: Duration, expected: Duration) {
        if least.as_secs_f64() > expected.as_secs_f64() * SLOW_LOAD {
            self.at_once = (self.at_once - 1.0).max(LEAST_AT_ONCE);
        } else {
            self.at_once = (self.at_once + 0.5).min(self.sustained);
        }
    }

    fn limit(&self, now: Duration) -> usize {
        let permitted = (self.loads_per_s * self.window.as_secs_f64()).floor();
        if now >= self.assumed_until {
            return permitted.max(1.0) as usize;
        }
        let hard = self.loads_per_s * self.window.as_secs_f64() * self.overshoot.max(1.0);
        ((hard + CEILING_SLACK - permitted) / TAKEOVERS).floor().min(permitted.max(1.0)) as usize
    }

    fn forget(&mut self, now: Duration) {
        let window = self.window;
        self.loads.retain(|load| load.settled.is_none_or(|settled| settled + window > now));
        self.under_way.retain(|load| load.until > now);
    }
}
