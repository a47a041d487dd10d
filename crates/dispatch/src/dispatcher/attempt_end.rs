//! The end of attempts and requests.

use super::Dispatcher;
use crate::health::Failure;
use crate::interface::{AttemptEnd, FailReason, InstanceLoad, RequestId};
use crate::pending_request::{Attempt, Phase, QueueEntry};
use std::time::Duration;

/// Bounds of the backoff after an endpoint was full, which is the expected time until a slot becomes free.
const MIN_FULL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(250);

/// Backoff after a connection failed.
const CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff for one model at an endpoint that rejects it although it has free slots: a load or an eviction is in progress.
const REJECTED_ARTIFACT_BACKOFF: Duration = Duration::from_millis(300);

/// Status of an answer by another instance, or by an engine that has not loaded the model.
const MISDIRECTED: u16 = 421;

impl Dispatcher {
    /// The attempt in flight, if it has the number of a report.
    pub(super) fn current_attempt(&self, request: RequestId, attempt: u32) -> Option<Attempt> {
        let pending = self.requests.get(&request).filter(|pending| pending.attempts == attempt)?;
        pending.attempt().copied()
    }

    /// Handles the end of an attempt: the request ends too, or is assigned anew.
    pub(super) fn conclude_attempt(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: Attempt,
        end: AttemptEnd,
    ) {
        self.record_end(now, id, attempt, end);
        match end {
            AttemptEnd::Answered { success, .. } => self.on_answered(now, id, success),
            AttemptEnd::Cancelled => self.remove_request(id),
            AttemptEnd::NotExecuted { status, load, wrong_instance } => {
                self.detach_from_endpoint(id, attempt);
                self.on_not_executed(now, id, attempt, Rejection { status, load, wrong_instance });
                self.assign(now, id);
            }
            AttemptEnd::NotSent => {
                self.detach_from_endpoint(id, attempt);
                self.on_not_sent(now, id, attempt);
                self.assign(now, id);
            }
            AttemptEnd::Broken | AttemptEnd::InvalidResponse => {
                self.detach_from_endpoint(id, attempt);
                self.on_broken(now, id, attempt, false);
            }
            AttemptEnd::BrokenMidway => {
                self.detach_from_endpoint(id, attempt);
                self.on_broken(now, id, attempt, true);
            }
        }
    }

    /// The request has no attempt in flight any more.
    fn detach_from_endpoint(&mut self, id: RequestId, attempt: Attempt) {
        self.fleet.end_request(attempt.endpoint, attempt.requirement);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.phase = Phase::Queued(QueueEntry::default());
        }
    }

    fn on_answered(&mut self, now: Duration, id: RequestId, success: bool) {
        let pending = &self.requests[&id];
        let first_byte = pending.attempt().and_then(|attempt| attempt.first_byte).unwrap_or(now);
        if !success || first_byte > pending.request.target {
            self.count_miss(now, id);
        }
        self.remove_request(id);
    }

    fn on_not_executed(&mut self, now: Duration, id: RequestId, attempt: Attempt, rejection: Rejection) {
        let key = attempt.endpoint;
        let artifact = self.requests[&id].artifact();
        if rejection.wrong_instance || rejection.status == MISDIRECTED {
            return match artifact.filter(|_| !rejection.wrong_instance) {
                Some(artifact) => self.fleet.remove_artifact(key, &artifact),
                None => self.fleet.table.mark_replaced(key),
            };
        }
        let full_backoff = self.full_backoff(id, attempt);
        let Some(load) = self.fleet.load_mut(key) else {
            return;
        };
        match artifact.filter(|_| rejection.has_free_slots()) {
            Some(artifact) => load.rejected_artifact = Some((artifact, now + REJECTED_ARTIFACT_BACKOFF)),
            None => load.backoff_until = load.backoff_until.max(now + full_backoff),
        }
    }

    fn full_backoff(&self, id: RequestId, attempt: Attempt) -> Duration {
        let service = self.fleet.service(&self.requests[&id].request.backend);
        let capacity = self.fleet.table.get(attempt.endpoint).map_or(1, |endpoint| endpoint.capacity);
        let slot_time_s = service.service_time.seconds() / f64::from(capacity);
        crate::units::seconds(slot_time_s).clamp(MIN_FULL_BACKOFF, MAX_FULL_BACKOFF)
    }

    /// Nothing was sent: the attempt counts neither against the retry budget nor against the attempt limit.
    fn on_not_sent(&mut self, now: Duration, id: RequestId, attempt: Attempt) {
        self.fleet.record_failure(now, attempt.endpoint, Failure::Connection);
        if let Some(load) = self.fleet.load_mut(attempt.endpoint) {
            load.backoff_until = load.backoff_until.max(now + CONNECT_BACKOFF);
        }
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.deliveries -= 1;
            if attempt.is_first_on_endpoint {
                pending.attempted_endpoints.retain(|&key| key != attempt.endpoint);
            }
        }
    }

    /// The attempt may have run: the request is retried only if it may run twice.
    fn on_broken(&mut self, now: Duration, id: RequestId, attempt: Attempt, midway: bool) {
        self.fleet.record_failure(now, attempt.endpoint, Failure::Connection);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.may_have_run = true;
        pending.excluded_endpoints.push(attempt.endpoint);
        let may_retry = pending.is_retryable() && (!midway || pending.request.resumable);
        pending.resume |= midway;
        if may_retry {
            self.assign(now, id)
        } else {
            self.refuse_or_fail(now, id, FailReason::MayHaveRun, Duration::ZERO)
        }
    }
}

/// The answer of an endpoint that it did not run a request.
struct Rejection {
    status: u16,
    load: Option<InstanceLoad>,
    wrong_instance: bool,
}

impl Rejection {
    /// Whether the endpoint reported free slots although it rejected the request.
    fn has_free_slots(&self) -> bool {
        self.load.is_some_and(|load| load.running < load.slots && load.waiting == 0)
    }
}
