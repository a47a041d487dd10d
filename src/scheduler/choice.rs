//! Selects which queued messages are sent now, and to which endpoint.

use super::calls::INITIAL_LATENCY;
use super::health::RATIO_HALF_LIFE;
use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeSet, VecDeque};

/// Endpoint costs in score points: of latency (relative to the target), failure ratio and tie-breaker.
const COST_LATENCY: f64 = 0.05;
const COST_FAILURES: f64 = 0.5;
/// Cost per second of one of the last slots (1 in `LAST_SLOTS`, plus one), which other messages could use.
const COST_LAST_SLOTS: f64 = 0.5;
const LAST_SLOTS: usize = 20;
const COST_TIE: f64 = 0.005;
/// Failure ratio from which an endpoint is avoided for messages that may run only once.
const ONCE_MAX_RATIO: f64 = 0.2;

impl Scheduler {
    /// Sends all messages that may go now, earliest deadline first, over the destinations that changed.
    pub(super) fn release(&mut self, touched: &BTreeSet<DestinationId>, out: &mut Vec<Action>) {
        let held: BTreeSet<_> =
            touched.iter().flat_map(|destination| self.dests[destination].timeline.iter()).collect();
        let mut joined = OpenCalls::new();
        for (_, id) in held {
            let message = &self.messages[&id];
            let (dest, rest) = (message.dest, message.key.as_ref().and_then(|key| self.key_pauses.get(key)));
            if !self.is_next_for_key(id, message) || message.not_before > self.now {
                self.check_by(dest, rest.filter(|r| r.1 > self.now).map_or(NEVER, |r| r.1));
                continue;
            }
            if let Some(endpoint) = self.choose_endpoint(id, &joined) {
                self.send(id, endpoint, &mut joined, out);
            } else if !self.has_room(&self.dests[&dest]) {
                self.need_slot.insert(dest);
            }
        }
        self.cancel_stuck_call(out);
    }

    /// Returns the cheapest endpoint that may take this message now. All rules on sending are enforced here.
    fn choose_endpoint(&mut self, id: MessageId, joined: &OpenCalls) -> Option<EndpointId> {
        let message = &self.messages[&id];
        let dest = message.dest;
        let has_room = self.has_room(&self.dests[&dest]);
        let (mut best, mut limited, mut later) = (None, Vec::new(), NEVER);
        for id in &self.dests[&dest].endpoints {
            let endpoint = &self.endpoints[id];
            // Rules: no sends to draining or removed endpoints; keyed repeats only where deduplicated.
            if !endpoint.ready || !self.in_scope(message, *id, endpoint) {
                continue;
            }
            if let Some(at) = self.avoided_until(message, endpoint) {
                later = later.min(at);
                continue;
            }
            let joins = joined.get(id).is_some_and(|(_, room)| *room > 0);
            if !joins && !has_room {
                continue;
            }
            let pool_id = self.pool_id(*id);
            let pool = &self.pools[&pool_id];
            // Rules: requested waits are respected; after an outage calls to an endpoint are spaced.
            let spaced = !joins && endpoint.slow_start_from.is_some();
            let mut free = if spaced { pool.wait_until.max(endpoint.next_call_at) } else { pool.wait_until };
            if let Some(paced) = self.paced_until(pool, endpoint).filter(|_| !joins) {
                free = free.max(paced);
                limited.push(pool_id);
            }
            let connects = !joins && !self.has_idle_connection(endpoint);
            if connects {
                free = free.max(endpoint.connect_at);
            }
            if free > self.now {
                later = later.min(free);
                continue;
            }
            let cost = self.cost(message, *id, endpoint, connects);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *id));
            }
        }
        limited.into_iter().for_each(|pool| self.pools.get_mut(&pool).expect("known").rate_limited = true);
        self.check_by(dest, later);
        best.map(|(_, id)| id)
    }

    /// When the rate limiter permits the next call, if not now. Trial calls are exempt.
    fn paced_until(&self, pool: &Pool, endpoint: &Endpoint) -> Option<Ns> {
        let lack = 1.0 - pool.tokens_at(self.now);
        let rate = pool.rate.filter(|_| lack > 0.0 && endpoint.breaker == Breaker::Closed)?;
        Some(self.now + to_ns(lack / rate) + 1)
    }

    fn has_idle_connection(&self, endpoint: &Endpoint) -> bool {
        endpoint.idle.iter().any(|used| *used > self.now - ns(self.set.keepalive))
    }

    /// Cost of sending the message to this endpoint, in score points.
    fn cost(&self, message: &Message, id: EndpointId, endpoint: &Endpoint, connects: bool) -> f64 {
        let separate = self.set.kinds[endpoint.kind].separate_routes;
        let fee = self.set.zone_costs.get(endpoint.zone).filter(|_| separate).copied().unwrap_or(0.0);
        let cold = if connects { self.set.handshake_cost } else { 0.0 };
        let target = self.set.classes[message.class].latency_target.as_secs_f64().max(INITIAL_LATENCY);
        let again = if message.previous == Some(id) && message.attempts > 0 { COST_LATENCY } else { 0.0 };
        let load = 1.0 + endpoint.calls.len() as f64 / 4.0;
        let few = self.in_flight + 1 + self.set.slots / LAST_SLOTS >= self.set.slots;
        let short = if few { COST_LAST_SLOTS } else { 0.0 };
        let (latency, failures) = (endpoint.latency.seconds(), COST_FAILURES * self.failure_ratio(endpoint));
        let slow = COST_LATENCY / target * latency + short * latency.max(INITIAL_LATENCY);
        fee + cold + again + slow * load + COST_TIE * endpoint.tie_breaker + failures
    }

    /// Rule: ordered messages go one at a time per key, with a pause after one that may still be running.
    fn is_next_for_key(&self, id: MessageId, message: &Message) -> bool {
        let Some(key) = &message.key else { return true };
        let rested = self.key_pauses.get(key).is_none_or(|(of, until)| *of == id || *until <= self.now);
        rested && self.key_queues.get(key).and_then(VecDeque::front) == Some(&id)
    }

    /// Rule: a message that may have run is repeated only where its effect class makes that harmless.
    fn in_scope(&self, message: &Message, id: EndpointId, endpoint: &Endpoint) -> bool {
        let Some((first, zone, _)) = message.may_have_run else { return true };
        match self.set.classes[message.class].effect {
            Effect::Repeatable | Effect::Keyed { scope: KeyScope::All, .. } => true,
            Effect::Keyed { scope: KeyScope::Zone, .. } => endpoint.zone == zone,
            Effect::Keyed { .. } => id == first,
            Effect::Once => false,
        }
    }

    pub(super) fn may_try(&self, message: &Message, start: Ns) -> bool {
        let in_window = match (message.may_have_run, self.set.classes[message.class].effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::Once) => false,
            (Some((_, _, at)), Effect::Keyed { window, .. }) => start < at + ns(window),
        };
        in_window && message.attempts < self.set.max_attempts
    }

    /// None if the endpoint may be used, else when to check again. A half-open breaker admits one trial call.
    /// Messages that may run only once avoid failing endpoints until half of their time has passed.
    fn avoided_until(&self, message: &Message, endpoint: &Endpoint) -> Option<Ns> {
        let half_gone = message.deadline - ns(self.set.classes[message.class].deadline) / 2;
        let ratio = self.failure_ratio(endpoint);
        let failing = self.set.classes[message.class].effect == Effect::Once && ratio >= ONCE_MAX_RATIO;
        match endpoint.breaker {
            Breaker::Closed | Breaker::HalfOpen if failing && half_gone > self.now => {
                Some(half_gone.min(self.now + to_ns(RATIO_HALF_LIFE * (ratio / ONCE_MAX_RATIO).log2()) + 1))
            }
            Breaker::Closed => None,
            Breaker::HalfOpen if endpoint.trial.is_none() => None,
            _ => Some(NEVER),
        }
    }
}
