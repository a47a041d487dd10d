//! Assignment of requests: each is sent, queued for an endpoint or a model, or refused.

use super::Dispatcher;
use crate::admission::Overdue;
use crate::endpoint_selection::{self, Candidate, Selection};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::engine_priority::{engine_priority, route_priority};
use crate::interface::{Decision, FailReason, RequestId};
use crate::pending_request::{Attempt, Phase, QueueEntry};
use crate::service::Artifact;
use crate::units::{nanoseconds, seconds};
use fair_edf::Ns;
use lanegate_config::mechanism::Mechanism;
use lanegate_invariants::Invariant;
use std::sync::Arc;
use std::time::Duration;

/// Queued requests that are examined when a slot becomes free.
const MAX_SCANNED: usize = 64;

/// The examination ends after this many requests that stay queued: one slot takes one request.
const MAX_STILL_QUEUED: usize = 4;

/// A refusal within this part of the latency target is early: the client can still be served elsewhere in time. A later
/// one only adds to the delay.
pub(super) const EARLY_REFUSAL_DIVISOR: u32 = 4;

/// `Retry-After` is at most this part of the time until the deadline.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` while it is unknown when the service will have an endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The response time-out is this factor times the expected time plus a margin, and at least the minimum.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

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
        let eases = budget.next_expiry(now, &self.fleet.budget_bounds);
        match eases.filter(|&at| at < self.answer_by(pending, candidates)) {
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
            let cheap_until = pending.request.arrived + pending.latency_target() / EARLY_REFUSAL_DIVISOR;
            return match now < cheap_until {
                true => self.enqueue(now, id, None, &[]),
                false => self.refuse_or_fail(now, id, FailReason::Attempts, NO_ENDPOINT_RETRY_AFTER),
            };
        }
        match pending.artifact() {
            Some(artifact) if self.fleet.uses(Mechanism::LoadWait) => {
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
        match now + wait < answer_by {
            true => self.enqueue(now, id, None, &[]),
            false => self.refuse_or_fail(now, id, FailReason::Attempts, wait),
        }
    }

    /// Whether no endpoint will serve it: it was sent to as many as its route allows, and none of these can serve it now. A
    /// model that one of them has evicted is loaded elsewhere, if at all.
    fn has_exhausted_attempts(&self, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let at_most = pending.request.max_attempts.max(1) as usize;
        let ends_early = self.fleet.uses(Mechanism::ExhaustedAttempt);
        let takes = |endpoint: &Endpoint| {
            endpoint.takes_requests() && (!ends_early || pending.can_be_served_by(endpoint))
        };
        let returns = |key: &EndpointKey| {
            self.fleet.table.get(*key).is_some_and(takes) && !pending.excluded_endpoints.contains(key)
        };
        pending.attempted_endpoints.len() >= at_most && !pending.attempted_endpoints.iter().any(returns)
    }

    /// When the client should send a new request, which may go to any endpoint: at once if one has loaded what it needs,
    /// otherwise after the load that this requests.
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

    /// Queues a request, on the timeline of `endpoint` if there is one.
    pub(super) fn enqueue(
        &mut self,
        now: Duration,
        id: RequestId,
        endpoint: Option<Candidate>,
        candidates: &[Candidate],
    ) {
        let occupancy = endpoint.map_or(0, |candidate| self.occupancy(id, &candidate));
        let due = self.due(now, id, endpoint.as_ref(), occupancy);
        let entry = QueueEntry { endpoint: endpoint.map(|candidate| candidate.key), due };
        let next = self.next_timer(now, id, endpoint.as_ref(), candidates);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.phase = Phase::Queued(entry);
        self.timers.schedule(id, &mut pending.scheduled_at, Some(next));
        self.admission.insert(&pending.request.backend, id, entry, occupancy);
        if let Some(endpoint) = entry.endpoint {
            self.enforce_timeline(now, endpoint);
        }
    }

    /// Occupancy of an endpoint by a request: its service time divided by the slots, or its prefill if that is longer.
    fn occupancy(&self, id: RequestId, candidate: &Candidate) -> Ns {
        let pending = &self.requests[&id];
        let service = self.fleet.service(&pending.request.backend);
        let capacity = self.fleet.table.get(candidate.key).map_or(1, |endpoint| endpoint.capacity);
        let places = self.fleet.load(candidate.key).recent.cap(capacity as usize);
        let of_places_s = service.service_time.seconds() / places as f64;
        let reading_s = match service.engine {
            Some(_) => service.first_byte.per_token_s() * candidate.requirement.prefill_tokens as f64,
            None => 0.0,
        };
        nanoseconds(crate::units::seconds(of_places_s.max(reading_s)))
    }

    /// When the slot of a request has to end: by its latency target while that can be met, otherwise by its deadline.
    fn due(&self, now: Duration, id: RequestId, endpoint: Option<&Candidate>, occupancy: Ns) -> Ns {
        let request = &self.requests[&id].request;
        let expected = endpoint.map_or(0, |candidate| nanoseconds(candidate.expected));
        let slot_end = |by: Duration| nanoseconds(by) - expected + occupancy.min(expected);
        let for_objective = slot_end(request.target);
        match for_objective - occupancy >= nanoseconds(now) {
            true => for_objective,
            false => slot_end(request.deadline),
        }
    }

    /// While the timeline of an endpoint is overdue, one request on it is refused, or postponed to its deadline if a refusal
    /// would come too late or the endpoints have free slots.
    fn enforce_timeline(&mut self, now: Duration, endpoint: EndpointKey) {
        while let Some(overdue) = self.admission.overdue(endpoint, nanoseconds(now)) {
            let overdue: Vec<Overdue> =
                overdue.into_iter().filter_map(|held| self.overdue_entry(held)).collect();
            let able = overdue.iter().filter(|held| self.can_yield(now, held)).cloned().collect::<Vec<_>>();
            let by_class = self.fleet.uses(Mechanism::MissRatioVictim);
            let Some(victim) = self.admission.victim(&able, by_class).cloned() else {
                return;
            };
            match self.may_reject_early(now, victim.request) {
                true => self.reject_overdue(now, endpoint, victim.request),
                false => self.postpone(&victim),
            }
        }
    }

    fn overdue_entry(&self, (request, occupancy): (RequestId, Ns)) -> Option<Overdue> {
        let pending = self.requests.get(&request)?;
        let due = pending.queue_entry()?.due;
        Some(Overdue { request, route: pending.request.route.clone(), due, occupancy })
    }

    /// Whether a request on an overdue timeline can be refused or postponed.
    fn can_yield(&self, now: Duration, held: &Overdue) -> bool {
        self.may_reject_early(now, held.request) || held.due < self.postponed_due(held)
    }

    /// Whether a request may be refused early: soon after its arrival, before its first attempt, and while the service has
    /// no slots to spare.
    fn may_reject_early(&self, now: Duration, id: RequestId) -> bool {
        let pending = &self.requests[&id];
        let cheap_until = pending.request.arrived + pending.latency_target() / EARLY_REFUSAL_DIVISOR;
        let unsent = pending.attempts == 0 && now <= cheap_until;
        self.fleet.uses(Mechanism::EarlyRefusal)
            && unsent
            && self.fleet.is_crowded(now, &pending.request.backend)
    }

    fn reject_overdue(&mut self, now: Duration, endpoint: EndpointKey, id: RequestId) {
        let backlog = self.admission.backlog(endpoint, nanoseconds(now));
        let wait = Duration::from_nanos(u64::try_from(backlog).unwrap_or_default());
        self.refuse_or_fail(now, id, FailReason::Attempts, wait);
    }

    fn postponed_due(&self, held: &Overdue) -> Ns {
        let request = &self.requests[&held.request].request;
        nanoseconds(request.deadline).max(nanoseconds(request.target))
    }

    fn postpone(&mut self, held: &Overdue) {
        let due = self.postponed_due(held);
        let Some(pending) = self.requests.get_mut(&held.request) else {
            return;
        };
        let Phase::Queued(entry) = pending.phase else {
            return;
        };
        let later = QueueEntry { due, ..entry };
        pending.phase = Phase::Queued(later);
        self.admission.remove(&pending.request.backend, held.request, entry);
        self.admission.insert(&pending.request.backend, held.request, later, held.occupancy);
    }

    /// Removes a queued request from its timeline.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if let Some(entry) = pending.queue_entry() {
            self.admission.remove(&pending.request.backend, id, entry);
        }
    }

    /// Sends a request that is on no timeline.
    pub(super) fn send(&mut self, now: Duration, id: RequestId, candidate: Candidate) {
        let is_trial = !candidate.is_in_rotation();
        let bounds = self.fleet.budget_bounds;
        let urgent = self.fleet.uses(Mechanism::EngineUrgency);
        let (Some(pending), Some(endpoint)) =
            (self.requests.get_mut(&id), self.fleet.table.get(candidate.key))
        else {
            return;
        };
        let (instance, address) = (endpoint.id.clone(), endpoint.address);
        if pending.is_retry() {
            self.fleet.service_mut(&pending.request.backend).budget.record_retry(now, &bounds);
        }
        let per_token_s = self.fleet.service(&pending.request.backend).first_byte.per_token_s();
        let prefill_time = seconds(per_token_s * candidate.requirement.prefill_tokens as f64);
        let time_to_target = pending.request.target.saturating_sub(pending.request.arrived);
        let is_first_on_endpoint = !pending.attempted_endpoints.contains(&candidate.key);
        if is_first_on_endpoint {
            pending.attempted_endpoints.push(candidate.key);
        }
        let within_limit = pending.attempted_endpoints.len() as u32 <= pending.request.max_attempts.max(1);
        self.violations.check(Invariant::AttemptsWithinLimit, within_limit);
        pending.attempts += 1;
        pending.deliveries += 1;
        let response_timeout_at = now + response_timeout(candidate.expected);
        pending.phase = Phase::InFlight(Attempt {
            endpoint: candidate.key,
            sent: now,
            requirement: candidate.requirement,
            expected: candidate.expected,
            prefix: candidate.prefix,
            queued_prefill_tokens: candidate.queued_prefill_tokens,
            first_byte: None,
            response_timeout_at,
            is_trial,
            is_first_on_endpoint,
        });
        self.timers.schedule(
            id,
            &mut pending.scheduled_at,
            Some(response_timeout_at.min(pending.request.deadline)),
        );
        self.decisions.push(Decision::Send {
            request: id,
            attempt: pending.attempts,
            instance,
            address,
            engine_priority: match urgent {
                true => engine_priority(pending.request.priority, prefill_time, time_to_target),
                false => route_priority(pending.request.priority),
            },
            resume: pending.resume,
        });
        self.fleet.begin_request(now, candidate.key, candidate.requirement);
    }

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
        let decision = match pending.may_have_run || pending.attempt().is_some() {
            true => Decision::Fail { request: id, reason },
            false => {
                let heeded = pending.request.deadline.saturating_sub(now) / RETRY_AFTER_DIVISOR;
                Decision::Refuse { request: id, retry_after: wait.max(MIN_RETRY_AFTER).min(heeded) }
            }
        };
        self.remove_request(id);
        self.decisions.push(decision);
    }
}

/// Time without a response after which an attempt has timed out.
pub(super) fn response_timeout(expected: Duration) -> Duration {
    (expected * RESPONSE_TIMEOUT_FACTOR + RESPONSE_TIMEOUT_MARGIN).max(MIN_RESPONSE_TIMEOUT)
}
