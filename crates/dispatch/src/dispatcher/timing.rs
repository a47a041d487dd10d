//! Timers: the end of the queueing time, the last attempt in time, the response time-out and the deadline.

use super::Dispatcher;
use super::assignment::{EARLY_REFUSAL_DIVISOR, response_timeout};
use crate::endpoint_selection::{self, Candidate, Selection};
use crate::health::{Failure, HealthStatus};
use crate::interface::{FailReason, RequestId};
use crate::pending_request::{Attempt, PendingRequest, Phase};
use crate::units::seconds;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// A timer that fires later than this shows that the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// After a stall, time to process the input that arrived during the stall before anything counts as timed out.
const STALL_GRACE: Duration = Duration::from_millis(200);

/// Shortest margin before the deadline at which a request that cannot be served is answered.
const MIN_ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// The margin is at most this part of the time that the request has.
const ANSWER_MARGIN_DIVISOR: u32 = 4;

/// The load by other routers changes unnoticed unless a request of this router is in flight there: interval of the
/// checks in that case.
const IDLE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The last attempt in time leaves at least this part of the latency target for the answer.
const ANSWER_RESERVE_DIVISOR: u32 = 10;

/// During shutdown an answer is assumed to take this factor times its expected duration, plus a margin.
const SHUTDOWN_SAFETY_FACTOR: u32 = 2;
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Detects a stall of the process by a timer that is overdue.
    pub(super) fn detect_stall(&mut self, now: Duration) {
        let overdue_by = self.timers.next().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if overdue_by > STALL_THRESHOLD {
            self.last_stall = now;
        }
    }

    /// Whether the process was stalled during an attempt, so that its times mean nothing.
    pub(super) fn spans_stall(&self, attempt: &Attempt) -> bool {
        attempt.sent < self.last_stall
    }

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

    /// When a queued request is answered at the latest: while there is time for a first byte and, during shutdown, for a
    /// complete answer.
    pub(super) fn answer_by(&self, pending: &PendingRequest, candidates: &[Candidate]) -> Duration {
        let ends = match self.fleet.uses(Mechanism::ClientTimeout) {
            true => self.client_timeouts.expires_at(pending),
            false => pending.request.deadline,
        };
        let usual = candidates.iter().map(|candidate| candidate.expected).min().unwrap_or_default();
        let whole = ends.saturating_sub(pending.request.arrived);
        let answer_by = ends.saturating_sub(usual.min(whole / ANSWER_MARGIN_DIVISOR).max(MIN_ANSWER_MARGIN));
        self.latest_start(pending, usual).map_or(answer_by, |last| last.min(answer_by))
    }

    /// The latest time at which a request can be sent and still be answered completely before the shutdown. `None` without a
    /// shutdown, and for a request that may have run, which cannot be refused. Zero if its duration is unbounded.
    fn latest_start(&self, pending: &PendingRequest, first_byte: Duration) -> Option<Duration> {
        let end = self.end.filter(|_| !pending.may_have_run)?;
        if pending.has_unbounded_duration() {
            return Some(Duration::ZERO);
        }
        let service_time = seconds(self.fleet.service(&pending.request.backend).service_time.seconds());
        Some(end.saturating_sub((first_byte + service_time) * SHUTDOWN_SAFETY_FACTOR + SHUTDOWN_MARGIN))
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
            None => consider(pending.request.arrived + pending.latency_target() / EARLY_REFUSAL_DIVISOR),
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
        let last_moment = last_attempt_time(pending, candidate.expected);
        let offers = self.fleet.uses(Mechanism::LastOffer);
        offers && pending.attempts == 0 && now >= last_moment && now < pending.request.target
    }

    /// Handles a response time-out. If the endpoint sent nothing else either, it counts as failed, and a request that may
    /// run twice is sent to another endpoint.
    fn check_response_timeout(&mut self, now: Duration, id: RequestId, attempt: Attempt) {
        if attempt.first_byte.is_some() {
            return self.schedule_attempt_timer(id, None);
        }
        let heard_by = self.last_stall + STALL_GRACE;
        if self.spans_stall(&attempt) && now < heard_by {
            return self.schedule_attempt_timer(id, Some(heard_by));
        }
        let health = &self.fleet.load(attempt.endpoint).health;
        let silent = health.last_activity() < attempt.sent;
        if silent && (!health.is_ejected() || attempt.is_trial) {
            self.fleet.record_failure(now, attempt.endpoint, Failure::Timeout);
        }
        if silent && self.retry_elsewhere(now, id, attempt) {
            return;
        }
        let again = self.requests[&id].is_retryable().then(|| now + response_timeout(attempt.expected));
        self.schedule_attempt_timer(id, again);
    }

    /// Abandons a timed-out attempt for another endpoint, if the attempt limit, the retry budget and the load allow it.
    fn retry_elsewhere(&mut self, now: Duration, id: RequestId, attempt: Attempt) -> bool {
        let pending = &self.requests[&id];
        let may_leave = self.fleet.uses(Mechanism::ResponseTimeoutRetry) && pending.is_retryable();
        if !may_leave || !self.is_within_retry_budget(now, id) {
            return false;
        }
        let mut candidates = endpoint_selection::candidates(&self.fleet, now, pending);
        candidates.retain(|candidate| candidate.key != attempt.endpoint && candidate.is_in_rotation());
        let Selection::Dispatch(candidate) = endpoint_selection::select(now, pending, &candidates) else {
            return false;
        };
        self.fleet.end_request(attempt.endpoint, attempt.requirement);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.may_have_run = true;
            pending.excluded_endpoints.push(attempt.endpoint);
        }
        self.send(now, id, candidate);
        true
    }

    /// Sets the timer of a request in flight: a response time-out, or its deadline.
    pub(super) fn schedule_attempt_timer(&mut self, id: RequestId, check: Option<Duration>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let deadline = pending.request.deadline;
        let next = check.map_or(deadline, |check| check.min(deadline));
        self.timers.schedule(id, &mut pending.scheduled_at, Some(next));
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
    let kept = expected.max(latency_target / ANSWER_RESERVE_DIVISOR).min(latency_target / 2);
    pending.request.target.saturating_sub(kept)
}
