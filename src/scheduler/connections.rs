//! Connections to endpoints: which are kept open, and when new ones are attempted.

use super::pace::{REFUSAL_LONGEST, REFUSAL_PAUSE};
use crate::interface::*;
use crate::state::*;
use rand::Rng;

/// Calls per keep-alive time from which a scarce connection is kept; keep-alive times it counts as scarce.
const MIN_REUSE: f64 = 5.0;
const SCARCE_SPANS: f64 = 6.0;

impl Scheduler {
    /// After a failed connect (the endpoint's connection limit, or one on the network path), new connections
    /// are attempted one at a time with exponential backoff; existing connections stay in use.
    pub(super) fn record_connection(&mut self, id: EndpointId, sent: Ns, connects: bool, outcome: Outcome) {
        let kept = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. });
        let (now, endpoint) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        endpoint.idle.extend(kept.then_some(now));
        if kept && connects {
            endpoint.connect_failures = endpoint.connect_failures.saturating_sub(1);
        }
        if outcome == Outcome::ConnectFailed {
            self.last_connect_failure[endpoint.kind] = secs(now);
            // Connections thought to be idle when the call was sent no longer exist.
            endpoint.idle.retain(|t| *t > sent);
            // Calls sent before the first failure was known count as one.
            endpoint.connect_failures += u32::from(sent >= endpoint.connect_failed_at);
            endpoint.connect_failed_at = now;
            endpoint.connect_at =
                now + to_ns(connect_pause(endpoint.connect_failures) * (0.5 + self.rng.random::<f64>()));
        }
    }

    /// Closes idle connections if they are scarce and not needed soon, as idle ones count against the limit.
    pub(super) fn close_spare_connections(&mut self, id: EndpointId, out: &mut Vec<Action>) {
        let endpoint = &self.endpoints[&id];
        let span = self.set.keepalive.as_secs_f64();
        let scarce = secs(self.now) < self.last_connect_failure[endpoint.kind] + SCARCE_SPANS * span;
        let rare = self.pools[&self.pool_id(id)].accept_rate * span < MIN_REUSE;
        if scarce && rare && endpoint.calls.is_empty() && self.dests[&endpoint.dest].timeline.is_empty() {
            self.endpoints.get_mut(&id).expect("known").idle.clear();
            out.push(Action::Close { endpoint: id });
        }
    }
}

/// Pause before the next new connection after this many failed connects, s.
pub(super) fn connect_pause(times: u32) -> f64 {
    if times == 0 { 0.0 } else { (REFUSAL_PAUSE * 2f64.powi(times as i32 - 1)).min(REFUSAL_LONGEST) }
}
