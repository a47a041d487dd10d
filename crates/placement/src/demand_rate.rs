//! Smoothed request rates: a recent one that follows changes, and a long-term one.
//!
//! Rates are exponentially decayed counts. A report adds its requests; the decay is applied when a rate is read.

use lanegate_config::demand::{DemandReport, ModelDemand};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time constant of the recent rate, s: a few reports of each router.
const RECENT_S: f64 = 1.5;

/// Time constant of the long-term rate, s: long compared with a load.
const LONG_TERM_S: f64 = 60.0;

/// An item without a request for this long is removed from the table.
const EXPIRY: Duration = Duration::from_secs(180);

/// An item without a request for this long is no longer in demand: a few reports of each router.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(4);

/// From this long-term rate on, requests/s, a gap is judged by how unlikely it is.
const STEADY_RATE: f64 = 0.3;

/// A gap in which so many requests were expected is not chance: the demand has ended.
const MAX_MISSED_REQUESTS: f64 = 8.0;

/// Longest gap of a steady item that is still in demand, s.
const MAX_GAP_S: f64 = 8.0;

/// An item is urgent for this long after a request that found no endpoint.
const URGENT_FOR: Duration = Duration::from_secs(4);

/// Work added for each request, tokens, so that requests of unknown size count.
const REQUEST_WORK: f64 = 500.0;

/// At most this many requests are expected in a time as long as the gap since the last one.
const GAP_REQUESTS: f64 = 2.0;

/// Demand that has been observed for this long is complete: two reports of each router.
const ESTABLISHED_AFTER: Duration = Duration::from_millis(2_500);

/// The interval in which a rate lies, requests/s.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct RateInterval {
    pub low: f64,
    pub high: f64,
}

/// Smoothed rates of one item.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemandRates {
    observed_since: Duration,
    updated: Duration,
    recent_rate: f64,
    long_term_rate: f64,
    long_term_work: f64,
    last_request: Duration,
    last_unplaced: Option<Duration>,
}

impl DemandRates {
    fn new(observed_since: Duration, now: Duration) -> DemandRates {
        DemandRates {
            observed_since,
            updated: now,
            recent_rate: 0.0,
            long_term_rate: 0.0,
            long_term_work: 0.0,
            last_request: now,
            last_unplaced: None,
        }
    }

    fn add(&mut self, now: Duration, requests: f64, work: f64) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let decay = (-age / LONG_TERM_S).exp();
        self.recent_rate = self.recent_rate * (-age / RECENT_S).exp() + requests / RECENT_S;
        self.long_term_rate = self.long_term_rate * decay + requests / LONG_TERM_S;
        self.long_term_work = self.long_term_work * decay + work / LONG_TERM_S;
        self.updated = now;
    }

    fn decayed(&self, now: Duration, value: f64, constant: f64) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let is_established = now.saturating_sub(self.observed_since).as_secs_f64().max(1.0);
        value * (-age / constant).exp() / (1.0 - (-is_established / constant).exp())
    }

    /// Recent rate, requests/s.
    pub(crate) fn recent_rate(&self, now: Duration) -> f64 {
        self.decayed(now, self.recent_rate, RECENT_S)
    }

    /// Long-term rate, requests/s.
    pub(crate) fn long_term_rate(&self, now: Duration) -> f64 {
        self.decayed(now, self.long_term_rate, LONG_TERM_S)
    }

    /// Rate that is still expected after the gap since the last request, requests/s.
    pub(crate) fn expected_rate(&self, now: Duration) -> f64 {
        let gap = now.saturating_sub(self.last_request).as_secs_f64();
        self.long_term_rate(now).min(GAP_REQUESTS / gap.max(0.1))
    }

    /// Work of the mean request, tokens.
    pub(crate) fn mean_work(&self) -> f64 {
        if self.long_term_rate > 0.0 { self.long_term_work / self.long_term_rate } else { REQUEST_WORK }
    }

    /// The interval in which the rate lies now, from the standard deviation of a Poisson count.
    pub(crate) fn estimate(&self, now: Duration) -> RateInterval {
        let recent_rate = self.recent_rate(now);
        let long_term_rate = self.long_term_rate(now);
        // The long-term rate does not hold up the lower bound of a rate that has fallen.
        let low = lower(recent_rate, RECENT_S).max(lower(long_term_rate, LONG_TERM_S).min(recent_rate));
        RateInterval { low, high: upper(recent_rate, RECENT_S) }
    }

    /// Whether requests are arriving.
    pub(crate) fn in_demand(&self, now: Duration) -> bool {
        let gap = now.saturating_sub(self.last_request);
        if gap < DEMAND_TIMEOUT {
            return true;
        }
        let rate = self.long_term_rate(now).min(self.recent_rate);
        rate >= STEADY_RATE && gap.as_secs_f64() < (MAX_MISSED_REQUESTS / rate).min(MAX_GAP_S)
    }

    /// Whether a recent request found no endpoint.
    pub(crate) fn urgent(&self, now: Duration) -> bool {
        self.last_unplaced.is_some_and(|last| now.saturating_sub(last) < URGENT_FOR)
    }
}

/// Number of requests on which a smoothed rate rests.
fn sample_size(rate: f64, constant: f64) -> f64 {
    rate * 2.0 * constant
}

fn lower(rate: f64, constant: f64) -> f64 {
    let count = sample_size(rate, constant);
    (count - 2.0 * count.sqrt()).max(0.0) / (2.0 * constant)
}

fn upper(rate: f64, constant: f64) -> f64 {
    let count = sample_size(rate, constant);
    (count + 3.0 * count.sqrt() + 3.0) / (2.0 * constant)
}

/// Rates of a model and of its requested adapters.
#[derive(Debug)]
pub(crate) struct ModelDemandRates {
    pub total: DemandRates,
    pub adapters: BTreeMap<Arc<str>, DemandRates>,
}

/// Rates of everything that was requested lately.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    observed_since: Option<Duration>,
    pub models: BTreeMap<Arc<str>, ModelDemandRates>,
}

impl DemandTable {
    /// Adds a report. `name` gives the shared string of a model's name, or `None` for an unknown model or adapter.
    /// Returns whether a request found no endpoint.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        report: &DemandReport,
        backend: &str,
        name: impl Fn(&str, Option<&str>) -> Option<Arc<str>>,
    ) -> bool {
        let observed_since = *self.observed_since.get_or_insert(now);
        let mut unplaced = false;
        let asks = |demand: &&ModelDemand| demand.requests > 0 || demand.unplaced > 0;
        let demands = report.models.iter().filter(|demand| demand.backend == backend);
        for demand in demands.filter(asks) {
            let Some(model) = name(&demand.model, demand.adapter.as_deref()) else { continue };
            let entry = self.models.entry(model).or_insert_with(|| ModelDemandRates {
                total: DemandRates::new(observed_since, now),
                adapters: BTreeMap::new(),
            });
            let requests = f64::from(demand.requests);
            let work = demand.tokens as f64 + requests * REQUEST_WORK;
            record(&mut entry.total, now, requests, work, demand.unplaced > 0);
            if let Some(adapter) = &demand.adapter {
                if !entry.adapters.contains_key(adapter.as_str()) {
                    entry.adapters.insert(Arc::from(adapter.as_str()), DemandRates::new(observed_since, now));
                }
                if let Some(rates) = entry.adapters.get_mut(adapter.as_str()) {
                    record(rates, now, requests, work, demand.unplaced > 0);
                }
            }
            unplaced |= demand.unplaced > 0;
        }
        unplaced
    }

    /// Whether demand was observed long enough to conclude that what was not requested is not in demand.
    pub(crate) fn is_established(&self, now: Duration) -> bool {
        self.observed_since.is_some_and(|observed_since| now >= observed_since + ESTABLISHED_AFTER)
    }

    /// Removes items without a request for a long time.
    pub(crate) fn expire(&mut self, now: Duration) {
        let kept = |rates: &DemandRates| now.saturating_sub(rates.last_request) < EXPIRY;
        self.models.retain(|_, rates| kept(&rates.total));
        for rates in self.models.values_mut() {
            rates.adapters.retain(|_, rates| kept(rates));
        }
    }
}

fn record(rates: &mut DemandRates, now: Duration, requests: f64, work: f64, unplaced: bool) {
    rates.add(now, requests, work);
    rates.last_request = now;
    if unplaced {
        rates.last_unplaced = Some(now);
    }
}
