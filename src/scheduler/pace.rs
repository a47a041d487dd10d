//! Rate limiting (token bucket with AIMD) under the limits shared by all calls to a destination or route.

use crate::interface::*;
use crate::state::*;

/// Pause after a refusal without a requested wait, s: initial, number of doublings, and maximum, which a
/// known lower rate extends. Limits are in calls per second, so a pause below a tenth of one cannot help.
pub(super) const REFUSAL_PAUSE: f64 = 0.1;
pub(super) const REFUSAL_DOUBLINGS: u32 = 7;
pub(super) const REFUSAL_LONGEST: f64 = 1.6;
/// Initial rate over the even share, if that exceeds one call per `RATE_SPAN`; AIMD cut, growth (and over
/// the even share); floor over the even share or the peak; minimum, calls/s; burst and cut interval, s.
const PACE_START: f64 = 1.2;
const PACE_CUT: f64 = 0.7;
const PACE_GROW: f64 = 0.06;
const PACE_GROW_OVER: f64 = 0.02;
const PACE_FLOOR: f64 = 0.3;
const PACE_FLOOR_PEAK: f64 = 0.4;
const MIN_PACE: f64 = 0.03;
const PACE_SPAN: f64 = 0.5;
const MIN_BURST: f64 = 2.0;
/// Window of the measured accept rate, s, a few windows of a per-second limit; and time constant of its
/// decayed average, a few of those windows.
const RATE_SPAN: f64 = 2.0;
const FLOW_SPAN: f64 = 10.0;

impl Scheduler {
    /// This courier's share, calls/s: an even share of the limit, or more if it has been getting more.
    pub(super) fn rate_share(&self, id: EndpointId) -> f64 {
        let pool_id = self.pool_id(id);
        let pool = &self.pools[&pool_id];
        let sharing = match pool_id.1 {
            Some(_) => 1,
            None => self.ready_endpoints(pool_id.0).count(),
        };
        let known = pool.even_share(self.set.couriers).unwrap_or(pool.peak);
        known.max(2.0 * (pool.accept_rate - 1.0 / FLOW_SPAN)) / sharing.max(1) as f64
    }

    /// No call may go there before this time, due to a requested wait or the pause after refusals.
    pub(super) fn open_from(&self, dest: DestinationId) -> Ns {
        let waits = self.ready_endpoints(dest).map(|endpoint| self.pools[&self.pool_id(endpoint)].wait_until);
        waits.min().unwrap_or(0)
    }

    /// Rule: a wait requested by any endpoint holds for the whole pool; a shorter one never replaces it.
    pub(super) fn update_limit(&mut self, id: EndpointId, outcome: Outcome, report: &Option<Report>) {
        let (Some(_), now) = (self.endpoints.get(&id), self.now) else { return };
        let pool_id = self.pool_id(id);
        let pool = self.pools.get_mut(&pool_id).expect("each endpoint has a pool");
        pool.limit = report.map(|r| r.limit).filter(|l| *l > 0.0).or(pool.limit);
        let start = pool.even_share(self.set.couriers).filter(|even| *even * RATE_SPAN > 1.0);
        pool.rate = pool.rate.or(start.map(|even| even * PACE_START));
        if let Outcome::Full { wait: Some(wait) } = outcome {
            pool.wait_until = pool.wait_until.max(now + ns(wait + self.set.tick));
        }
    }
}

impl Pool {
    /// Tokens available now. Without a rate the bucket stays full: earlier calls are not owed later.
    pub(super) fn tokens_at(&self, now: Ns) -> f64 {
        let Some(rate) = self.rate else { return 1.0 };
        (self.tokens + rate * secs(now - self.filled_at)).min(self.depth())
    }

    /// Bucket size: calls that may be saved up or owed.
    pub(super) fn depth(&self) -> f64 {
        self.rate.map_or(0.0, |rate| (rate * PACE_SPAN).max(MIN_BURST))
    }

    pub(super) fn take(&mut self, now: Ns) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.filled_at = now;
    }

    pub(super) fn accepted(&mut self, now: Ns, couriers: usize) {
        self.refusals = 0;
        self.accept_rate =
            self.accept_rate * (-secs(now - self.rated_at) / FLOW_SPAN).exp() + 1.0 / FLOW_SPAN;
        self.rated_at = now;
        self.accepted_at.push_back(now);
        self.accepted_at.retain(|t| *t > now - to_ns(RATE_SPAN));
        let span = secs(now - *self.first_accepted.get_or_insert(now)).clamp(PACE_SPAN, RATE_SPAN);
        self.peak = self.peak.max((self.accepted_at.len() - 1) as f64 / span);
        // AIMD: grows only while the rate limit delays messages.
        if std::mem::take(&mut self.rate_limited) {
            let step = self.even_share(couriers).map_or(self.peak, |even| even.max(MIN_PACE));
            let top = |r: f64| self.limit.unwrap_or(f64::INFINITY).max(r);
            let over = |r: f64| self.even_share(couriers).is_some_and(|even| r >= even);
            let grow = |r: f64| if over(r) { PACE_GROW_OVER } else { PACE_GROW };
            self.rate = self.rate.map(|r| (r + grow(r) * step).min(top(r)));
        }
    }

    /// Cuts the rate after a refusal: to the even share if it was above that, else by the AIMD factor. Under
    /// a known limit one token is also removed, since refused calls use up the limit too.
    pub(super) fn cut(&mut self, now: Ns, couriers: usize) {
        let even = self.even_share(couriers);
        let owed = if even.is_some() { 1.0 } else { 0.0 };
        (self.tokens, self.filled_at) = ((self.tokens_at(now) - owed).max(-self.depth()), now);
        if now - self.cut_at < to_ns(PACE_SPAN) && self.cut_at > 0 {
            return;
        }
        self.cut_at = now;
        let blind = (self.peak * PACE_FLOOR_PEAK).max(1.0 / RATE_SPAN);
        let floor = even.map_or(blind, |even| (even * PACE_FLOOR).max(MIN_PACE));
        // Without a rate so far, the even share is the only known bound.
        let from = self.rate.unwrap_or(if even.is_some() { f64::INFINITY } else { self.peak / PACE_CUT });
        let cut = even.filter(|even| from > *even).unwrap_or(from * PACE_CUT);
        self.rate = Some(cut.max(floor));
    }
}
