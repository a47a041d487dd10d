//! Starts calls, cancels stuck ones, and records how they end.

use super::connections::connect_pause;
use super::pace::{REFUSAL_DOUBLINGS, REFUSAL_LONGEST, REFUSAL_PAUSE};
use crate::interface::*;
use crate::state::*;
use fair_edf::Smoothing;
use rand::Rng;
use std::time::Duration;

/// Initial latency estimate of a destination, s (an endpoint starts at 0); EWMA weight of each sample.
pub(super) const INITIAL_LATENCY: f64 = 0.05;
const LATENCY_GAIN: f64 = 0.15;
pub(crate) const DEST_LATENCY: Smoothing = Smoothing { initial: INITIAL_LATENCY, gain: LATENCY_GAIN };
const ENDPOINT_LATENCY: Smoothing = Smoothing { initial: 0.0, gain: LATENCY_GAIN };
/// Time-out as a multiple of the latency, and its minimum, s: a call that is given up too early is work done
/// twice, and the deadline bounds it anyway. `STUCK_FACTOR` time-outs cancel a call that blocks others.
const TIMEOUT_LATENCIES: f64 = 7.0;
const MIN_TIMEOUT: f64 = 1.0;
const STUCK_FACTOR: f64 = 1.5;
/// Requested wait, s, beyond which slow start follows: a rate limit asks for waits of its window, 1 to 2 s;
/// only a destination that is shut asks for more.
const LONG_WAIT: f64 = 2.5;

impl Scheduler {
    /// Sends a queued message, in a call begun by the same `handle` if that has room for more messages.
    pub(super) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        joined: &mut OpenCalls,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let open = joined.get_mut(&endpoint).filter(|(_, room)| *room > 0);
        let (call, connects) = match open {
            Some((call, room)) => {
                *room -= 1;
                self.endpoints.get_mut(&endpoint).expect("chosen").join_call(*call);
                (*call, false)
            }
            None => self.begin_call(endpoint, joined),
        };
        let patience = to_ns(self.attempt_timeout(&self.endpoints[&endpoint]));
        let message = self.messages.get_mut(&id).expect("held");
        let left = message.deadline - now - ns(self.set.tick) * 2;
        // A message that may run only once gets all its time: an earlier time-out could only fail it.
        let once = self.set.classes[message.class].effect == Effect::Once;
        let timeout = if once { left } else { left.min(patience) };
        let (dest, due) = (message.dest, message.due);
        message.attempts += 1;
        message.previous = Some(endpoint);
        message.in_flight = Some(InFlight { endpoint, call, cancelled: false, sent: now, connects });
        self.recovered -= usize::from(std::mem::take(&mut message.recovered));
        self.destination(dest).timeline.remove(due, id);
        out.push(Action::Send { message: id, endpoint, timeout: to_duration(timeout.max(1)) });
        self.space_calls(endpoint);
    }

    /// Takes a slot for a new call; true if the call has to open a connection.
    fn begin_call(&mut self, id: EndpointId, joined: &mut OpenCalls) -> (u64, bool) {
        let (now, call, pool) = (self.now, self.next_call, self.pool_id(id));
        self.next_call += 1;
        self.in_flight += 1;
        let endpoint = self.endpoints.get_mut(&id).expect("chosen");
        joined.insert(id, (call, self.set.kinds[endpoint.kind].max_batch.max(1) - 1));
        endpoint.calls.insert(call, (now, 1));
        endpoint.trial = Some(call);
        endpoint.idle.retain(|used| *used > now - ns(self.set.keepalive));
        let connects = endpoint.idle.pop().is_none();
        if connects {
            endpoint.connect_at = now + to_ns(connect_pause(endpoint.connect_failures));
        }
        self.pools.get_mut(&pool).expect("known").take(now);
        self.destination(pool.0).calls += 1;
        (call, connects)
    }

    /// Time-out of an attempt that may be repeated, s.
    fn attempt_timeout(&self, endpoint: &Endpoint) -> f64 {
        (TIMEOUT_LATENCIES * endpoint.latency.seconds()).max(MIN_TIMEOUT)
    }

    /// Cancels the oldest stuck call if messages wait for its slot. A message that may run only once is lost.
    pub(super) fn cancel_stuck_call(&mut self, out: &mut Vec<Action>) {
        self.stuck_check_at = NEVER;
        let wanted = self.set.may_cancel && !self.need_slot.is_empty();
        let full = self.in_flight >= self.set.slots;
        let stuck = |message: &Message| {
            let call = message
                .in_flight
                .as_ref()
                .filter(|call| !call.cancelled && (full || self.need_slot.contains(&message.dest)))?;
            Some(call.sent + to_ns(self.attempt_timeout(&self.endpoints[&call.endpoint]) * STUCK_FACTOR))
        };
        let first = self
            .messages
            .iter()
            .filter_map(|(id, message)| Some((stuck(message)?, *id)))
            .filter(|_| wanted)
            .min();
        let Some((at, id)) = first else { return };
        self.stuck_check_at = at.max(self.now + ns(self.set.tick));
        if at <= self.now {
            let message = self.messages.get_mut(&id).expect("known");
            message.in_flight.as_mut().expect("in flight").cancelled = true;
            out.push(Action::Cancel { message: id, attempt: message.attempts - 1 });
        }
    }

    /// Records the end of a call: slots, latency, rate and health. A batch of messages is recorded once.
    pub(super) fn call_ended(&mut self, flight: InFlight, ended: &Ended, out: &mut Vec<Action>) {
        let (id, outcome, took) = (ended.endpoint, ended.outcome, ended.took.as_secs_f64());
        let InFlight { call, sent, connects, .. } = flight;
        let endpoint = self.endpoints.get_mut(&id).expect("a sent endpoint is known");
        let (dest, was_open) = (endpoint.dest, endpoint.calls.len());
        let first = endpoint.leave_call(call);
        let closed = was_open - endpoint.calls.len();
        self.in_flight -= closed;
        self.destination(dest).calls -= closed;
        if !first || outcome == Outcome::NotSent {
            return;
        }
        self.record_connection(id, sent, connects, outcome);
        let endpoint = self.endpoints.get_mut(&id).expect("a sent endpoint is known");
        let destination = self.dests.get_mut(&endpoint.dest).expect("known");
        if !matches!(outcome, Outcome::Full { .. }) {
            let well = matches!(outcome, Outcome::Delivered | Outcome::Cancelled);
            destination.recent_calls.record(well, took, destination.latency.seconds());
        }
        match outcome {
            Outcome::Delivered => {
                endpoint.latency.sample(&ENDPOINT_LATENCY, took);
                destination.latency.sample(&DEST_LATENCY, took);
                let pool = self.pool_id(id);
                let pool = self.pools.get_mut(&pool).expect("each endpoint has a pool");
                pool.accepted(self.now, self.set.couriers);
                self.record_success(id);
                self.space_calls(id);
            }
            Outcome::Full { wait } => self.record_refusal(id, sent, wait),
            // Running out of connections looks like a dead endpoint, except that other connections answer.
            Outcome::ConnectFailed
                if endpoint.success_at > sent || (!endpoint.calls.is_empty() && endpoint.success_at > 0) =>
            {
                return self.close_spare_connections(id, out);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => {
                // After a time-out the latency is at least that long; else slow calls would always time out.
                let least = if outcome == Outcome::TimedOut { took } else { 0.0 };
                endpoint.latency.sample_at_least(&ENDPOINT_LATENCY, least);
                self.record_failure(id, call);
            }
        }
        self.record_zone_outcome(id, outcome);
        self.close_spare_connections(id, out);
    }

    /// Records a refusal: the pool waits as requested, or with exponential backoff, and its rate is cut.
    fn record_refusal(&mut self, id: EndpointId, sent: Ns, wait: Option<Duration>) {
        let (now, pool) = (self.now, self.pool_id(id));
        let (gap, slow) = (self.warm_up_gap(id, 1.0), 1.0 / (self.rate_share(id)).max(1e-3));
        let random: f64 = self.rng.random();
        let pool = self.pools.get_mut(&pool).expect("each endpoint has a pool");
        // Calls sent before the first refusal was known count as one.
        pool.refusals = (pool.refusals + u32::from(sent >= pool.refused_at)).max(1);
        pool.refused_at = now;
        pool.cut(now, self.set.couriers);
        let endpoint = self.endpoints.get_mut(&id).expect("a sent endpoint is known");
        endpoint.trial = None;
        if wait.is_none() {
            let doubled = REFUSAL_PAUSE * f64::from(1u32 << (pool.refusals - 1).min(REFUSAL_DOUBLINGS));
            let pause = doubled.min(slow.max(REFUSAL_LONGEST)) * (0.5 + random);
            pool.wait_until = pool.wait_until.max(now + to_ns(pause));
        } else if let Some(wait) = wait.filter(|wait| wait.as_secs_f64() > LONG_WAIT) {
            // Shut until then: all couriers return at once and it has reduced capacity, so start slowly.
            endpoint.slow_start_from = Some(now + ns(wait));
            let spread = self.set.warm_up.as_secs_f64() * random.sqrt();
            endpoint.next_call_at = now + ns(wait) + to_ns(spread.min(2.0 * random * gap));
        }
    }
}
