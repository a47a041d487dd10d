//! The start of attempts.

use super::Dispatcher;
use super::response_timeout::response_timeout;
use crate::candidate::Candidate;
use crate::engine_priority::{engine_priority, route_priority};
use crate::interface::{Decision, RequestId};
use crate::pending_request::PendingRequest;
use crate::units::seconds;
use lanegate_config::mechanism::Mechanism;
use lanegate_invariants::Invariant;
use std::time::Duration;

impl Dispatcher {
    /// Sends a request that is on no timeline.
    pub(super) fn send(&mut self, now: Duration, id: RequestId, candidate: Candidate) {
        let (Some(pending), Some(endpoint)) = (self.requests.get(&id), self.fleet.table.get(candidate.key))
        else {
            return;
        };
        let (instance, address) = (endpoint.id.clone(), endpoint.address);
        let engine_priority = self.engine_priority(pending, &candidate);
        if pending.is_retry() {
            let bounds = self.fleet.budget_bounds;
            let backend = pending.request.backend.clone();
            self.fleet.service_mut(&backend).budget.record_retry(now, &bounds);
        }
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.begin_attempt(now, &candidate);
        let within_limit = pending.attempted_endpoints.len() <= pending.max_attempts();
        self.violations.check(Invariant::AttemptsWithinLimit, within_limit);
        self.decisions.push(Decision::Send {
            request: id,
            attempt: pending.attempts,
            instance,
            address,
            engine_priority,
            resume: pending.resume,
        });
        self.schedule_attempt_timer(id, Some(now + response_timeout(candidate.expected)));
        self.fleet.begin_request(now, candidate.key, candidate.requirement);
    }

    /// The priority that the engine gets with the request.
    fn engine_priority(&self, pending: &PendingRequest, candidate: &Candidate) -> u8 {
        if !self.fleet.is_enabled(Mechanism::EngineUrgency) {
            return route_priority(pending.request.priority);
        }
        let per_token_s = self.fleet.service(&pending.request.backend).first_byte.per_token_s();
        let prefill_time = seconds(per_token_s * candidate.requirement.prefill_tokens as f64);
        engine_priority(pending.request.priority, prefill_time, pending.latency_target())
    }
}
