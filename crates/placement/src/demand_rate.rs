//! Smoothed request rates: a recent one that follows changes, and a long-term one.
//!
//! Rates are exponentially decayed counts. A report adds its requests; the decay is applied when a rate is read.

use std::time::Duration;

/// Time constant of the recent rate, s: a few reports of each router.
const RECENT_S: f64 = 1.5;

/// Time constant of the long-term rate, s: long compared with a load.
const LONG_TERM_S: f64 = 60.0;

/// An item without a request for this long is no longer in demand, unless its rate is steady. Spans a few reports of
/// each router.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(4);

/// From this long-term rate on, requests/s, an item is steady: a gap ends its demand only if it is unlikely to be
/// chance.
const STEADY_RATE: f64 = 0.3;

/// Number of requests expected within a gap from which on the gap is not chance: the demand has ended.
const MAX_MISSED_REQUESTS: f64 = 8.0;

/// Longest gap of a steady item that is still in demand, s.
const MAX_GAP_S: f64 = 8.0;

/// An item is urgent for this long after a request for which no endpoint had it loaded.
const URGENT_FOR: Duration = Duration::from_secs(4);

/// Work added for each request, tokens, so that requests of unknown size count.
const REQUEST_WORK: f64 = 500.0;

/// Upper bound of the requests that are expected in a time as long as the gap since the last request.
const GAP_REQUESTS: f64 = 2.0;

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
    /// Rates of an item whose first request arrives now; demand is observed since `observed_since`.
    pub(crate) fn new(observed_since: Duration, now: Duration) -> DemandRates {
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

    /// Adds requests that a router reported: `requests` with `tokens` in all. `unplaced` states whether one found no
    /// endpoint.
    pub(crate) fn record(&mut self, now: Duration, requests: f64, tokens: f64, unplaced: bool) {
        self.add(now, requests, tokens + requests * REQUEST_WORK);
        self.last_request = now;
        if unplaced {
            self.last_unplaced = Some(now);
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
        // Corrects the bias of a decayed count that began recently and has not reached its mean yet.
        let observed = now.saturating_sub(self.observed_since).as_secs_f64().max(1.0);
        value * (-age / constant).exp() / (1.0 - (-observed / constant).exp())
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
        // After the rate has fallen, the long-term rate must not keep the lower bound above the recent rate.
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

    /// Whether there was a request within `span`.
    pub(crate) fn requested_within(&self, span: Duration, now: Duration) -> bool {
        now.saturating_sub(self.last_request) < span
    }

    /// Whether a recent request found no endpoint.
    pub(crate) fn urgent(&self, now: Duration) -> bool {
        self.last_unplaced.is_some_and(|last| now.saturating_sub(last) < URGENT_FOR)
    }
}

/// Number of requests on which a smoothed rate is based.
fn sample_size(rate: f64, constant: f64) -> f64 {
    rate * 2.0 * constant
}

/// Two standard deviations below a smoothed rate.
fn lower(rate: f64, constant: f64) -> f64 {
    let count = sample_size(rate, constant);
    (count - 2.0 * count.sqrt()).max(0.0) / (2.0 * constant)
}

/// Three standard deviations and three requests above a smoothed rate.
fn upper(rate: f64, constant: f64) -> f64 {
    let count = sample_size(rate, constant);
    (count + 3.0 * count.sqrt() + 3.0) / (2.0 * constant)
}
