//! Demand as smoothed rates: one that follows quickly and one that remembers.

use lanegate_config::demand::{DemandReport, ModelDemand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time constant of the rate that follows changes, s: a few reports of each router.
const FAST_S: f64 = 1.5;

/// Time constant of the rate that remembers, s: long beside the time of a load.
const SLOW_S: f64 = 60.0;

/// After this without a request an item is forgotten.
const FORGET: Duration = Duration::from_secs(180);

/// After this without a request an item is no longer in demand: a few reports of each router.
const IN_DEMAND: Duration = Duration::from_secs(4);

/// Requests a second from which a pause is judged by how unlikely it is.
const STEADY_RATE: f64 = 0.3;

/// A pause in which so many requests were to be expected is no chance.
const TELLING_REQUESTS: f64 = 8.0;

/// Longest pause of a steady item that is still in demand, s.
const LONGEST_PAUSE_S: f64 = 8.0;

/// For this long after a request that found no endpoint, an item is urgent.
const URGENT: Duration = Duration::from_secs(4);

/// Work of a request besides its tokens, tokens; keeps requests of unknown size from counting as nothing.
const REQUEST_WORK: f64 = 500.0;

/// So many requests, spread over the pause since the last one, are the most that are still expected.
const PAUSE_REQUESTS: f64 = 2.0;

/// After this, what was not asked for is taken not to be in demand: two reports of each router.
const WATCHED: Duration = Duration::from_millis(2_500);

/// An interval in which a rate lies.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    pub low: f64,
    pub high: f64,
}

/// Smoothed rates of one item.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    began: Duration,
    updated: Duration,
    fast: f64,
    slow: f64,
    slow_work: f64,
    last_request: Duration,
    last_unplaced: Option<Duration>,
}

impl Rates {
    fn new(began: Duration, now: Duration) -> Rates {
        Rates {
            began,
            updated: now,
            fast: 0.0,
            slow: 0.0,
            slow_work: 0.0,
            last_request: now,
            last_unplaced: None,
        }
    }

    fn add(&mut self, now: Duration, requests: f64, work: f64) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let fade = (-age / SLOW_S).exp();
        self.fast = self.fast * (-age / FAST_S).exp() + requests / FAST_S;
        self.slow = self.slow * fade + requests / SLOW_S;
        self.slow_work = self.slow_work * fade + work / SLOW_S;
        self.updated = now;
    }

    fn faded(&self, now: Duration, value: f64, constant: f64) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let watched = now.saturating_sub(self.began).as_secs_f64().max(1.0);
        value * (-age / constant).exp() / (1.0 - (-watched / constant).exp())
    }

    /// Requests a second of late.
    pub fn fast(&self, now: Duration) -> f64 {
        self.faded(now, self.fast, FAST_S)
    }

    /// Requests a second over a longer time.
    pub fn slow(&self, now: Duration) -> f64 {
        self.faded(now, self.slow, SLOW_S)
    }

    /// Requests a second that are still to be expected, after the pause since the last one.
    pub fn remembered(&self, now: Duration) -> f64 {
        let pause = now.saturating_sub(self.last_request).as_secs_f64();
        self.slow(now).min(PAUSE_REQUESTS / pause.max(0.1))
    }

    /// Work of the mean request, tokens.
    pub fn mean_work(&self) -> f64 {
        if self.slow > 0.0 { self.slow_work / self.slow } else { REQUEST_WORK }
    }

    /// Where the rate lies now: chance moves a count by about its root.
    pub fn estimate(&self, now: Duration) -> Estimate {
        let fast = self.fast(now);
        let slow = self.slow(now);
        // What is remembered does not hold a rate up that has fallen since.
        let low = lower(fast, FAST_S).max(lower(slow, SLOW_S).min(fast));
        Estimate { low, high: upper(fast, FAST_S) }
    }

    /// Whether a request came lately.
    pub fn in_demand(&self, now: Duration) -> bool {
        let pause = now.saturating_sub(self.last_request);
        if pause < IN_DEMAND {
            return true;
        }
        let rate = self.slow(now).min(self.fast);
        rate >= STEADY_RATE && pause.as_secs_f64() < (TELLING_REQUESTS / rate).min(LONGEST_PAUSE_S)
    }

    /// Whether a request lately found no endpoint.
    pub fn urgent(&self, now: Duration) -> bool {
        self.last_unplaced.is_some_and(|last| now.saturating_sub(last) < URGENT)
    }
}

/// Requests that stand behind a smoothed rate.
fn behind(rate: f64, constant: f64) -> f64 {
    rate * 2.0 * constant
}

fn lower(rate: f64, constant: f64) -> f64 {
    let count = behind(rate, constant);
    (count - 2.0 * count.sqrt()).max(0.0) / (2.0 * constant)
}

fn upper(rate: f64, constant: f64) -> f64 {
    let count = behind(rate, constant);
    (count + 3.0 * count.sqrt() + 3.0) / (2.0 * constant)
}

/// Demand for one model and for those of its adapters that are asked for.
#[derive(Debug)]
pub struct ModelRates {
    pub total: Rates,
    pub adapters: BTreeMap<Arc<str>, Rates>,
}

/// Demand for everything that was asked for lately; idle items have no entry.
#[derive(Debug, Default)]
pub struct DemandTable {
    began: Option<Duration>,
    pub models: BTreeMap<Arc<str>, ModelRates>,
}

impl DemandTable {
    /// Takes a report in; `name` gives the shared form of a model's name, or nothing for unknown items.
    /// Tells whether a request found no endpoint.
    pub fn add(
        &mut self,
        now: Duration,
        report: &DemandReport,
        backend: &str,
        name: impl Fn(&str, Option<&str>) -> Option<Arc<str>>,
    ) -> bool {
        let began = *self.began.get_or_insert(now);
        let mut unplaced = false;
        let asks = |demand: &&ModelDemand| demand.requests > 0 || demand.unplaced > 0;
        let demands = report.models.iter().filter(|demand| demand.backend == backend);
        for demand in demands.filter(asks) {
            let Some(model) = name(&demand.model, demand.adapter.as_deref()) else { continue };
            let entry = self
                .models
                .entry(model)
                .or_insert_with(|| ModelRates { total: Rates::new(began, now), adapters: BTreeMap::new() });
            let requests = f64::from(demand.requests);
            let work = demand.tokens as f64 + requests * REQUEST_WORK;
            note(&mut entry.total, now, requests, work, demand.unplaced > 0);
            if let Some(adapter) = &demand.adapter {
                if !entry.adapters.contains_key(adapter.as_str()) {
                    entry.adapters.insert(Arc::from(adapter.as_str()), Rates::new(began, now));
                }
                if let Some(rates) = entry.adapters.get_mut(adapter.as_str()) {
                    note(rates, now, requests, work, demand.unplaced > 0);
                }
            }
            unplaced |= demand.unplaced > 0;
        }
        unplaced
    }

    /// Whether demand has been watched for so long that what was not asked for is not in demand.
    pub fn watched(&self, now: Duration) -> bool {
        self.began.is_some_and(|began| now >= began + WATCHED)
    }

    /// Forgets what has not been asked for in a long time.
    pub fn forget(&mut self, now: Duration) {
        let kept = |rates: &Rates| now.saturating_sub(rates.last_request) < FORGET;
        self.models.retain(|_, rates| kept(&rates.total));
        for rates in self.models.values_mut() {
            rates.adapters.retain(|_, rates| kept(rates));
        }
    }
}

fn note(rates: &mut Rates, now: Duration, requests: f64, work: f64, unplaced: bool) {
    rates.add(now, requests, work);
    rates.last_request = now;
    if unplaced {
        rates.last_unplaced = Some(now);
    }
}
