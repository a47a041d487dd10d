//! The end of requests.

use super::Dispatcher;
use crate::interface::{Decision, FailReason, RequestId};
use crate::pending_request::Phase;
use crate::units::nanoseconds;
use std::time::Duration;

/// `Retry-After` is at most the time until the deadline, divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Shortest `Retry-After`.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` while it is unknown when the service will have an endpoint.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

impl Dispatcher {
    /// Ends a request that is on no timeline: refused if it certainly has not run, failed otherwise.
    pub(super) fn refuse_or_fail(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: FailReason,
        wait: Duration,
    ) {
        self.count_miss(now, id);
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let decision = if pending.may_have_run || pending.attempt().is_some() {
            Decision::Fail { request: id, reason }
        } else {
            let longest = pending.request.deadline.saturating_sub(now) / RETRY_AFTER_DIVISOR;
            Decision::Refuse { request: id, retry_after: wait.max(MIN_RETRY_AFTER).min(longest) }
        };
        self.remove_request(id);
        self.decisions.push(decision);
    }

    /// Counts a request as a miss of its class, once.
    pub(super) fn count_miss(&mut self, now: Duration, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut pending.counted_as_miss, true) {
            self.admission.count_miss(&pending.request.route, nanoseconds(now));
        }
    }

    /// Removes a request with its timer, its queue entry and its attempt.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(mut pending) = self.requests.remove(&id) else {
            return;
        };
        self.timers.schedule(id, &mut pending.scheduled_at, None);
        match pending.phase {
            Phase::Queued(entry) => self.admission.remove(&pending.request.backend, id, entry),
            Phase::InFlight(attempt) => {
                self.cancel_trial(attempt);
                self.fleet.end_request(attempt.endpoint, attempt.requirement);
            }
        }
    }
}
