//! Response time-outs: an endpoint that has sent nothing for much longer than expected.

use super::Dispatcher;
use crate::endpoint_selection::{self, Selection};
use crate::health::Failure;
use crate::interface::RequestId;
use crate::pending_request::Attempt;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// The response time-out is this factor times the expected time plus a margin, and at least the minimum.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Handles a response time-out. If the endpoint sent nothing else either, it counts as failed, and a request that may
    /// run twice is sent to another endpoint.
    pub(super) fn check_response_timeout(&mut self, now: Duration, id: RequestId, attempt: Attempt) {
        if attempt.first_byte.is_some() {
            return self.schedule_attempt_timer(id, None);
        }
        let grace_end = self.stall_grace_end();
        if self.spans_stall(&attempt) && now < grace_end {
            return self.schedule_attempt_timer(id, Some(grace_end));
        }
        let health = &self.fleet.load(attempt.endpoint).health;
        let timed_out = health.last_activity() < attempt.sent;
        if timed_out && (!health.is_ejected() || attempt.is_trial) {
            self.fleet.record_failure(now, attempt.endpoint, Failure::Timeout);
        }
        if timed_out && self.retry_elsewhere(now, id, attempt) {
            return;
        }
        let again = self.requests[&id].is_retryable().then(|| now + response_timeout(attempt.expected));
        self.schedule_attempt_timer(id, again);
    }

    /// Abandons a timed-out attempt for another endpoint, if the attempt limit, the retry budget and the load allow it.
    fn retry_elsewhere(&mut self, now: Duration, id: RequestId, attempt: Attempt) -> bool {
        let pending = &self.requests[&id];
        let may_retry = self.fleet.is_enabled(Mechanism::ResponseTimeoutRetry) && pending.is_retryable();
        if !may_retry || !self.is_within_retry_budget(now, id) {
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

/// Time without a response after which an attempt has timed out.
pub(super) fn response_timeout(expected: Duration) -> Duration {
    (expected * RESPONSE_TIMEOUT_FACTOR + RESPONSE_TIMEOUT_MARGIN).max(MIN_RESPONSE_TIMEOUT)
}
