//! Connections to endpoints: which are kept, and when new ones are tried.

use super::pace::{REFUSAL_LONGEST, REFUSAL_PAUSE};
use crate::interface::*;
use crate::state::*;
use rand::Rng;

/// Calls a keep-alive that make a connection worth keeping where few can be had, and memory of that.
const MIN_REUSE: f64 = 5.0;
const SCARCE_SPANS: f64 = 6.0;

impl Scheduler {
    /// Where no connection was to be had (the endpoint's limit, or that of what lies between), new ones are
    /// tried one at a time and ever more seldom; the kept ones serve on.
    pub(super) fn record_connection(&mut self, id: EndpointId, sent: Ns, connects: bool, outcome: Outcome) {
        let kept = matches!(outcome, Outcome::Delivered | Outcome::Error | Outcome::Full { .. });
        let (now, endpoint) = (self.now, self.endpoints.get_mut(&id).expect("known"));
        endpoint.idle.extend(kept.then_some(now));
        if kept && connects {
            endpoint.connect_failures = endpoint.connect_failures.saturating_sub(1);
        }
        if outcome == Outcome::ConnectFailed {
            self.last_connect_failure[endpoint.kind] = secs(now);
            // Those that were thought idle when it left are not there.
            endpoint.idle.retain(|t| *t > sent);
            // A rush that left before the first failure was known counts once.
            endpoint.connect_failures += u32::from(sent >= endpoint.connect_failed_at);
            endpoint.connect_failed_at = now;
            endpoint.connect_at =
                now + to_ns(connect_pause(endpoint.connect_failures) * (0.5 + self.rng.random::<f64>()));
        }
    }

    /// Frees an idle connection where they are few and this courier has no early use for it: idle ones count.
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

/// Pause between new connections after so many that were not to be had, s.
pub(super) fn connect_pause(times: u32) -> f64 {
    if times == 0 { 0.0 } else { (REFUSAL_PAUSE * 2f64.powi(times as i32 - 1)).min(REFUSAL_LONGEST) }
}
