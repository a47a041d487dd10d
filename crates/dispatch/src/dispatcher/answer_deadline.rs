//! When queued requests have to be answered at the latest.

use super::Dispatcher;
use crate::candidate::Candidate;
use crate::pending_request::PendingRequest;
use crate::units::seconds;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// Shortest margin before the deadline at which a request that cannot be served is answered.
const MIN_ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// The margin is at most the time from the arrival of the request to its end, divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 4;

/// During shutdown an answer is assumed to take this factor times its expected duration, plus a margin.
const SHUTDOWN_SAFETY_FACTOR: u32 = 2;
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// When a queued request is answered at the latest: while there is time for a first byte and, during shutdown, for a
    /// complete answer.
    pub(super) fn answer_by(&self, pending: &PendingRequest, candidates: &[Candidate]) -> Duration {
        let expires_at = if self.fleet.is_enabled(Mechanism::ClientTimeout) {
            self.client_timeouts.expires_at(pending)
        } else {
            pending.request.deadline
        };
        let first_byte_wait = candidates.iter().map(|candidate| candidate.expected).min().unwrap_or_default();
        let total_time = expires_at.saturating_sub(pending.request.arrived);
        let answer_by = expires_at
            .saturating_sub(first_byte_wait.min(total_time / ANSWER_MARGIN_DIVISOR).max(MIN_ANSWER_MARGIN));
        self.latest_start(pending, first_byte_wait).map_or(answer_by, |latest| latest.min(answer_by))
    }

    /// The latest time at which a request can be sent and still be answered completely before the shutdown. `None` without a
    /// shutdown, and for a request that may have run, which cannot be refused. Zero if its duration is unbounded.
    fn latest_start(&self, pending: &PendingRequest, first_byte: Duration) -> Option<Duration> {
        let end = self.shutdown_end.filter(|_| !pending.may_have_run)?;
        if pending.has_unbounded_duration() {
            return Some(Duration::ZERO);
        }
        let service_time = seconds(self.fleet.service(&pending.request.backend).service_time.seconds());
        Some(end.saturating_sub((first_byte + service_time) * SHUTDOWN_SAFETY_FACTOR + SHUTDOWN_MARGIN))
    }
}
