//! Endpoint health: circuit breakers, hung calls, and slow start after an outage.

use crate::interface::*;
use crate::state::*;
use rand::Rng;
use std::collections::BTreeSet;

/// EWMA weights: of a failure, and of a failure without a recent success (4 s).
const FAILURE_GAIN: f64 = 0.25;
const STALE_GAIN: f64 = 0.6;
/// Half-life of a failure ratio without new calls, s.
pub(super) const RATIO_HALF_LIFE: f64 = 4.0;
/// Failure ratio (updated by each failure) above which a breaker opens.
const TRIP_RATIO: f64 = 0.5;
/// Pause of an open breaker: initial, s; minimum, s; growth per second of failure; and, as a share of it, the
/// spacing of trials at one destination. A trial is a real message, so the first pause outlasts a short
/// glitch, the growth limits trials in a long outage, and a known rate limit shortens the pause.
const OPEN_FIRST: f64 = 1.5;
const MIN_OPEN: f64 = 0.5;
const OPEN_GROWTH: f64 = 6.0;
const TRIAL_SPACING: f64 = 0.5;
/// Outage length, s, from which slow start follows. In a shorter one couriers have not stopped calling.
const MIN_OUTAGE: f64 = 1.0;
/// Age, in latencies, from which a call counts as hung if the endpoint has not answered since it was sent;
/// and the minimum, s, which one slow call among fast ones does not reach.
const HANG_LATENCIES: f64 = 6.0;
const MIN_HANG: f64 = 0.8;

impl Scheduler {
    pub(super) fn failure_ratio(&self, endpoint: &Endpoint) -> f64 {
        endpoint.failure_ratio * 0.5f64.powf(secs(self.now - endpoint.failure_ratio_at) / RATIO_HALF_LIFE)
    }

    pub(super) fn record_success(&mut self, id: EndpointId) {
        let (now, ratio) = (self.now, self.failure_ratio(&self.endpoints[&id]));
        let endpoint = self.endpoints.get_mut(&id).expect("known");
        (endpoint.failure_ratio, endpoint.failure_ratio_at) = (ratio * (1.0 - FAILURE_GAIN), now);
        endpoint.success_at = now;
        // Slow start follows failures, not hung calls: a lost reply must not cut a healthy endpoint's rate.
        if endpoint.breaker != Breaker::Closed {
            endpoint.breaker = Breaker::Closed;
            if endpoint.was_down && secs(now - endpoint.failing_since) > MIN_OUTAGE {
                // Connects failed because it was down, not because connections are scarce.
                self.last_connect_failure[endpoint.kind] = f64::MIN;
                (endpoint.slow_start_from, endpoint.next_call_at) = (Some(now), now);
                self.space_calls(id);
            }
        }
    }

    pub(super) fn record_failure(&mut self, id: EndpointId, call: u64) {
        let (now, ratio) = (self.now, self.failure_ratio(&self.endpoints[&id]));
        let endpoint = self.endpoints.get_mut(&id).expect("known");
        let gain = if secs(now - endpoint.success_at) < 4.0 { FAILURE_GAIN } else { STALE_GAIN };
        (endpoint.failure_ratio, endpoint.failure_ratio_at) = (ratio + gain * (1.0 - ratio), now);
        match endpoint.breaker {
            Breaker::Closed if endpoint.failure_ratio > TRIP_RATIO => self.open_breaker(id, true),
            Breaker::HalfOpen if endpoint.trial == Some(call) => self.open_breaker(id, true),
            _ => {}
        }
    }

    /// Opens a breaker. The pause until the next trial grows with the duration of the failure, as more
    /// couriers have messages to try there, but is no longer than the known rate needs to serve all of them.
    fn open_breaker(&mut self, id: EndpointId, cold: bool) {
        let (now, jitter, rate) = (self.now, self.jitter(), self.rate_share(id).max(1e-3));
        let endpoint = self.endpoints.get_mut(&id).expect("known");
        let closed = endpoint.breaker == Breaker::Closed;
        if closed && endpoint.slow_start_from.is_none() {
            endpoint.failing_since = now;
        }
        let pause =
            (OPEN_FIRST + OPEN_GROWTH * secs(now - endpoint.failing_since)).min(1.0 / rate).max(MIN_OPEN);
        endpoint.was_down = cold || (endpoint.was_down && !closed);
        endpoint.slow_start_from = endpoint.slow_start_from.filter(|_| !endpoint.was_down);
        let (trial_at, apart) = (now + to_ns(pause * jitter), to_ns(TRIAL_SPACING * pause));
        endpoint.breaker = Breaker::Open;
        // Outages mostly affect a whole destination, so one trial stands for all its open endpoints. Trials
        // rotate, the latest failure last; else only that one is tried and recovered ones stay unused.
        let others = self.dests[&endpoint.dest].endpoints.iter().map(|o| (*o, &self.endpoints[o]));
        let open =
            others.filter(|(o, endpoint)| *o != id && endpoint.ready && endpoint.breaker == Breaker::Open);
        let trials: BTreeSet<_> = open.map(|(o, endpoint)| (endpoint.trial_at, o)).collect();
        for (n, (at, other)) in trials.into_iter().chain([(trial_at, id)]).enumerate() {
            self.endpoints.get_mut(&other).expect("known").trial_at = at.max(trial_at + apart * n as Ns);
        }
    }

    /// Detects hung calls and advances open breakers at the endpoints of one destination.
    pub(super) fn check_health(&mut self, dest: DestinationId) {
        let now = self.now;
        let destination = &self.dests[&dest];
        let (held, usual) = (!destination.timeline.is_empty(), destination.latency.seconds());
        for id in destination.endpoints.iter().copied().collect::<Vec<_>>() {
            let pool_waits = self.pools[&self.pool_id(id)].wait_until;
            let endpoint = self.endpoints.get_mut(&id).expect("known");
            let hang = to_ns((HANG_LATENCIES * endpoint.latency.seconds().max(usual)).max(MIN_HANG));
            endpoint.slow_start_from = endpoint.slow_start_from.filter(|t| now - t <= ns(self.set.warm_up));
            // Hung: much older than usual, no answer since it was sent. One slow call may open the breaker,
            // for the cost of a trial. A courier that stalled applies pending events first, so sees no hang.
            let hung = |c: &(Ns, usize)| c.0 != Ns::MIN && now - c.0 > hang && endpoint.success_at < c.0;
            let waits =
                endpoint.calls.values().filter(|c| c.0 != Ns::MIN && !hung(c)).map(|c| c.0 + hang + 1).min();
            let trial_lost = |t| endpoint.calls.get(&t).is_none_or(hung);
            match endpoint.breaker {
                Breaker::Closed if endpoint.calls.values().any(hung) => {
                    self.open_breaker(id, false);
                    self.record_zone_outcome(id, Outcome::TimedOut);
                }
                Breaker::Open if held && endpoint.trial_at.max(pool_waits) <= now => {
                    (endpoint.breaker, endpoint.trial) = (Breaker::HalfOpen, None);
                }
                Breaker::HalfOpen if endpoint.trial.is_some_and(trial_lost) => self.open_breaker(id, true),
                _ => {}
            }
            let endpoint = &self.endpoints[&id];
            let trial_at =
                (endpoint.breaker == Breaker::Open && held).then_some(endpoint.trial_at.max(pool_waits));
            self.check_by(dest, waits.unwrap_or(NEVER).min(trial_at.unwrap_or(NEVER)));
        }
    }

    /// Time, s, until this courier's growing share of the slow-start budget allows this many calls.
    pub(super) fn warm_up_gap(&self, id: EndpointId, calls: f64) -> f64 {
        let (from, cold) = (self.endpoints[&id].slow_start_from.unwrap_or(self.now), self.set.cold_capacity);
        let span = self.set.warm_up.as_secs_f64().max(1e-3);
        let present = cold + (1.0 - cold) * (secs(self.now - from) / span).clamp(0.0, 1.0);
        let budget = calls / (self.set.overload_factor * self.rate_share(id)).max(1e-3);
        // Capacity share now, and its growth per second; the integral over the gap equals the budget.
        let growth = ((1.0 - cold) / span).max(1e-9);
        ((present * present + 2.0 * growth * budget).sqrt() - present) / growth
    }

    /// Rule: do not overload an endpoint after an outage. Each courier keeps to its share of the budget or,
    /// if that is less than a call, calls once at a random time of the slow start, rather late than early.
    pub(crate) fn space_calls(&mut self, id: EndpointId) {
        let random = self.rng.random::<f64>();
        let gap = self.warm_up_gap(id, 0.5 + random);
        let (now, cold) = (self.now, ns(self.set.warm_up));
        let endpoint = self.endpoints.get_mut(&id).expect("known");
        endpoint.slow_start_from = endpoint.slow_start_from.filter(|t| now - t <= cold);
        if let Some(from) = endpoint.slow_start_from {
            let left = secs(from + cold - now);
            endpoint.next_call_at = endpoint.next_call_at.max(now + to_ns((left * random.sqrt()).min(gap)));
        }
    }
}
