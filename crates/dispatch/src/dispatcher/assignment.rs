//! Assignment of requests: each is sent, queued for an endpoint or a model, or refused.

use super::Dispatcher;
use super::request_end::{MIN_RETRY_AFTER, NO_ENDPOINT_RETRY_AFTER};
use crate::candidate::Candidate;
use crate::endpoint_selection::{self, Selection};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::interface::{FailReason, RequestId};
use crate::service::Artifact;
use lanegate_config::mechanism::Mechanism;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of queued requests that are examined when a slot becomes free.
const MAX_SCANNED: usize = 64;

/// The examination ends after this many requests that stay queued: one slot takes one request.
const MAX_STILL_QUEUED: usize = 4;

impl Dispatcher {
    /// Assigns all queued requests of a service anew.
    pub(super) fn reassign_queued(&mut self, now: Duration, backend: &Arc<str>) {
        for id in self.admission.by_deadline(backend, usize::MAX) {
            self.reassign(now, id);
        }
    }

    /// A slot may have become free at an endpoint: assigns the queued requests that it can serve, in order of due time.
    pub(super) fn on_capacity_freed(&mut self, now: Duration, backend: &Arc<str>, freed: EndpointKey) {
        if self.admission.is_empty(backend) {
            return;
        }
        let mut still_queued = 0;
        for id in self.admission.by_deadline(backend, MAX_SCANNED) {
            if still_queued == MAX_STILL_QUEUED {
                return;
            }
            if self.may_be_served_by(id, freed) {
                self.reassign(now, id);
                still_queued += usize::from(
                    self.requests.get(&id).is_some_and(|pending| pending.queue_entry().is_some()),
                );
            }
        }
    }

    /// Whether an endpoint can serve a request, and its attempt limit allows that.
    fn may_be_served_by(&self, id: RequestId, key: EndpointKey) -> bool {
        let (Some(pending), Some(endpoint)) = (self.requests.get(&id), self.fleet.table.get(key)) else {
            return false;
        };
        pending.can_be_served_by(endpoint) && endpoint.takes_requests() && pending.may_attempt_on(key)
    }

    /// Removes a queued request from its timeline and assigns it anew.
    pub(super) fn reassign(&mut self, now: Duration, id: RequestId) {
        let is_queued = self.requests.get(&id).is_some_and(|pending| pending.queue_entry().is_some());
        if is_queued {
            self.dequeue(id);
            self.assign(now, id);
        }
    }

    /// Assigns a request that is neither in flight nor on a timeline.
    pub(super) fn assign(&mut self, now: Duration, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let candidates = endpoint_selection::candidates(&self.fleet, now, pending);
        if now >= self.answer_by(pending, &candidates) {
            let reason = FailReason::Deadline;
            return self.refuse_or_fail(now, id, reason, MIN_RETRY_AFTER);
        }
        match endpoint_selection::select(now, pending, &candidates) {
            Selection::Dispatch(candidate) if self.is_within_retry_budget(now, id) => {
                self.send(now, id, candidate)
            }
            Selection::Dispatch(candidate) => self.enqueue_for_retry_budget(now, id, candidate, &candidates),
            Selection::Enqueue(candidate) if self.must_attempt_now(now, id, &candidate) => {
                self.send(now, id, candidate)
            }
            Selection::Enqueue(candidate) => self.enqueue(now, id, Some(candidate), &candidates),
            Selection::Unroutable => self.handle_unroutable(now, id),
        }
    }

    /// Whether the retry budget allows the next attempt.
    pub(super) fn is_within_retry_budget(&self, now: Duration, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let budget = &self.fleet.service(&pending.request.backend).budget;
        !pending.is_retry() || budget.allows(now, &self.fleet.budget_bounds, self.fleet.live_routers)
    }

    fn enqueue_for_retry_budget(
        &mut self,
        now: Duration,
        id: RequestId,
        candidate: Candidate,
        candidates: &[Candidate],
    ) {
        let pending = &self.requests[&id];
        let budget = &self.fleet.service(&pending.request.backend).budget;
        let next_expiry = budget.next_expiry(now, &self.fleet.budget_bounds);
        match next_expiry.filter(|&at| at < self.answer_by(pending, candidates)) {
            Some(_) => self.enqueue(now, id, Some(candidate), candidates),
            None => self.refuse_or_fail(now, id, FailReason::Attempts, MIN_RETRY_AFTER),
        }
    }

    /// No endpoint can serve the request: queues it if that may change in time, or ends it.
    fn handle_unroutable(&mut self, now: Duration, id: RequestId) {
        let pending = &self.requests[&id];
        let backend = pending.request.backend.clone();
        if self.has_exhausted_attempts(id) {
            let wait = self.client_retry_delay(now, id);
            return self.refuse_or_fail(now, id, FailReason::Attempts, wait);
        }
        if !self.synchronized {
            return self.enqueue(now, id, None, &[]);
        }
        if self.fleet.table.ready(&backend).next().is_none() {
            if now < pending.early_refusal_end() {
                return self.enqueue(now, id, None, &[]);
            }
            return self.refuse_or_fail(now, id, FailReason::Attempts, NO_ENDPOINT_RETRY_AFTER);
        }
        match pending.artifact() {
            Some(artifact) if self.fleet.is_enabled(Mechanism::LoadWait) => {
                self.enqueue_for_load(now, id, artifact)
            }
            Some(_) => self.refuse_or_fail(now, id, FailReason::Attempts, NO_ENDPOINT_RETRY_AFTER),
            None => self.enqueue(now, id, None, &[]),
        }
    }

    fn enqueue_for_load(&mut self, now: Duration, id: RequestId, artifact: Artifact) {
        let pending = &self.requests[&id];
        let backend = pending.request.backend.clone();
        if !self.fleet.service(&backend).is_loadable(&artifact.model) {
            return self.refuse_or_fail(now, id, FailReason::Attempts, NO_ENDPOINT_RETRY_AFTER);
        }
        let answer_by = self.answer_by(pending, &[]);
        let wait = self.request_load(now, &backend, &artifact);
        if now + wait < answer_by {
            self.enqueue(now, id, None, &[]);
        } else {
            self.refuse_or_fail(now, id, FailReason::Attempts, wait);
        }
    }

    /// Whether no endpoint can serve the request any more: it was sent to as many as its route allows, and none of these
    /// can serve it now. An endpoint that has evicted the model counts as one that cannot, because the model is likely to
    /// be loaded on another one, if at all.
    fn has_exhausted_attempts(&self, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let ends_early = self.fleet.is_enabled(Mechanism::ExhaustedAttempt);
        let takes = |endpoint: &Endpoint| {
            endpoint.takes_requests() && (!ends_early || pending.can_be_served_by(endpoint))
        };
        let returns = |key: &EndpointKey| {
            self.fleet.table.get(*key).is_some_and(takes) && !pending.excluded_endpoints.contains(key)
        };
        pending.attempted_endpoints.len() >= pending.max_attempts()
            && !pending.attempted_endpoints.iter().any(returns)
    }

    /// When the client should send a new request, which may go to any endpoint: at once if one has loaded what it needs,
    /// otherwise after the load that this call requests.
    fn client_retry_delay(&mut self, now: Duration, id: RequestId) -> Duration {
        let pending = &self.requests[&id];
        let Some(artifact) =
            pending.artifact().filter(|_| !endpoint_selection::is_resident(&self.fleet, pending))
        else {
            return MIN_RETRY_AFTER;
        };
        let backend = pending.request.backend.clone();
        self.request_load(now, &backend, &artifact)
    }

    /// Records a request for something that no endpoint has loaded; returns the expected time until it is loaded.
    fn request_load(&mut self, now: Duration, backend: &Arc<str>, artifact: &Artifact) -> Duration {
        let service = self.fleet.service_mut(backend);
        service.record_missing(now, artifact.clone());
        service.expected_load_wait(now, artifact)
    }
}
