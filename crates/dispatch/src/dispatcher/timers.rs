//! Timers: the end of the queueing time, the latest attempt that can meet the latency target, the response time-out and
//! the deadline.

use super::Dispatcher;
use crate::candidate::Candidate;
use crate::health::HealthStatus;
use crate::interface::{FailReason, RequestId};
use crate::pending_request::{PendingRequest, Phase};
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// Interval at which a queued request is examined while this router has no request in flight at its endpoint. Only
/// answers report the load by other routers, so a change of that load would go unnoticed.
const IDLE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The latest attempt leaves at least the latency target, divided by this, for the answer.
const ANSWER_RESERVE_DIVISOR: u32 = 10;

impl Dispatcher {
    /// Handles the expiry of the timer of a request.
    pub(super) fn on_timer(&mut self, now: Duration, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        match pending.phase {
            Phase::InFlight(attempt) if pending.request.deadline <= now => {
                let backend = pending.request.backend.clone();
                self.refuse_or_fail(now, id, FailReason::Deadline, Duration::ZERO);
                self.on_capacity_freed(now, &backend, attempt.endpoint);
            }
            Phase::InFlight(attempt) => self.check_response_timeout(now, id, attempt),
            Phase::Queued(_) => self.reassign(now, id),
        }
    }

    /// When to examine a queued request next.
    pub(super) fn next_timer(
        &self,
        now: Duration,
        id: RequestId,
        endpoint: Option<&Candidate>,
        candidates: &[Candidate],
    ) -> Duration {
        let pending = &self.requests[&id];
        let mut next = self.answer_by(pending, candidates);
        let mut consider = |at: Duration| {
            if at > now {
                next = next.min(at);
            }
        };
        match endpoint {
            Some(candidate) if pending.attempts == 0 => {
                consider(last_attempt_time(pending, candidate.expected))
            }
            Some(_) => {}
            None => consider(pending.early_refusal_end()),
        }
        candidates.iter().for_each(|candidate| consider(available_at(candidate)));
        if endpoint.is_some_and(|candidate| self.fleet.load(candidate.key).in_flight == 0) {
            consider(now + IDLE_RECHECK_INTERVAL);
        }
        if pending.is_retry() {
            let budget = &self.fleet.service(&pending.request.backend).budget;
            budget.next_expiry(now, &self.fleet.budget_bounds).into_iter().for_each(consider);
        }
        next
    }

    /// Whether a request without an attempt has to be sent to this endpoint now, whatever its load, to meet its latency
    /// target.
    pub(super) fn must_attempt_now(&self, now: Duration, id: RequestId, candidate: &Candidate) -> bool {
        let pending = &self.requests[&id];
        let latest = last_attempt_time(pending, candidate.expected);
        let is_enabled = self.fleet.is_enabled(Mechanism::LastOffer);
        is_enabled && pending.attempts == 0 && now >= latest && now < pending.request.target
    }
}

/// When an endpoint in backoff or ejection may get requests again.
fn available_at(candidate: &Candidate) -> Duration {
    match candidate.health {
        HealthStatus::Ejected { until } => candidate.backoff_until.max(until),
        _ => candidate.backoff_until,
    }
}

/// The latest time at which an attempt can be answered within the latency target.
fn last_attempt_time(pending: &PendingRequest, expected: Duration) -> Duration {
    let latency_target = pending.latency_target();
    let reserve = expected.max(latency_target / ANSWER_RESERVE_DIVISOR).min(latency_target / 2);
    pending.request.target.saturating_sub(reserve)
}
