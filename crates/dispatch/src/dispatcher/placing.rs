//! Where requests go: sent, held for an endpoint or a model, or refused.

use super::Dispatcher;
use crate::admission::Overdue;
use crate::choice::{self, Candidate, Verdict};
use crate::endpoints::{Endpoint, EndpointKey};
use crate::interface::{Decision, FailReason, RequestId};
use crate::service::Artifact;
use crate::tracked::{Flight, Hold, Phase};
use crate::units::{nanoseconds, seconds};
use crate::urgency::{engine_priority, route_priority};
use fair_edf::Ns;
use lanegate_config::mechanism::Mechanism;
use lanegate_invariants::Invariant;
use std::sync::Arc;
use std::time::Duration;

/// Held requests that are looked at when a place comes free.
const RELEASE_SCAN: usize = 64;

/// Of these, so many that still find no place end the look: one place takes one request.
const RELEASE_STAYED: usize = 4;

/// Part of the objective within which a refusal is cheap, so that others still can be met: later ones only
/// add to the client's loss.
pub(super) const REFUSAL_PART: u32 = 4;

/// Share of the time left within which clients heed `Retry-After`.
const HEEDED_PART: u32 = 3;

/// Least pause that a refused client is told.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Pause told where nothing is known of when a service will have endpoints.
const ABSENT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Silence for this many times the expected time, and a margin, is too long; and the least that is.
const HANG_MULTIPLE: u32 = 3;
const HANG_MARGIN: Duration = Duration::from_millis(100);
const HANG_LEAST: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Decides anew for all that is held for a service.
    pub(super) fn reconsider(&mut self, now: Duration, backend: &Arc<str>) {
        for id in self.admission.by_deadline(backend, usize::MAX) {
            self.replace(now, id);
        }
    }

    /// A place may have come free at an endpoint: what is held and can go there leaves by earliest deadline.
    pub(super) fn release(&mut self, now: Duration, backend: &Arc<str>, freed: EndpointKey) {
        if self.admission.is_empty(backend) {
            return;
        }
        let mut stayed = 0;
        for id in self.admission.by_deadline(backend, RELEASE_SCAN) {
            if stayed == RELEASE_STAYED {
                return;
            }
            if self.can_use(id, freed) {
                self.replace(now, id);
                stayed += usize::from(self.requests.get(&id).is_some_and(|tracked| tracked.hold().is_some()));
            }
        }
    }

    /// Whether a request may go to an endpoint by the rules and by what it holds.
    fn can_use(&self, id: RequestId, key: EndpointKey) -> bool {
        let (Some(tracked), Some(endpoint)) = (self.requests.get(&id), self.fleet.table.get(key)) else {
            return false;
        };
        tracked.is_held_by(endpoint) && endpoint.takes_requests() && tracked.may_go_to(key)
    }

    /// Takes a held request off its chart and decides for it anew.
    pub(super) fn replace(&mut self, now: Duration, id: RequestId) {
        let is_held = self.requests.get(&id).is_some_and(|tracked| tracked.hold().is_some());
        if is_held {
            self.unhold(id);
            self.place(now, id);
        }
    }

    /// Decides for a request that is neither sent nor on a chart.
    pub(super) fn place(&mut self, now: Duration, id: RequestId) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let found = choice::candidates(&self.fleet, now, tracked);
        if now >= self.closing(tracked, &found) {
            let reason = FailReason::Deadline;
            return self.give_up(now, id, reason, LEAST_RETRY_AFTER);
        }
        match choice::decide(now, tracked, &found) {
            Verdict::Send(candidate) if self.affords(now, id) => self.send(now, id, candidate),
            Verdict::Send(candidate) => self.wait_for_budget(now, id, candidate, &found),
            Verdict::Wait(candidate) if self.must_offer(now, id, &candidate) => self.send(now, id, candidate),
            Verdict::Wait(candidate) => self.hold(now, id, Some(candidate), &found),
            Verdict::Nowhere => self.place_nowhere(now, id),
        }
    }

    /// Whether the budget allows the next send.
    pub(super) fn affords(&self, now: Duration, id: RequestId) -> bool {
        let tracked = &self.requests[&id];
        let budget = &self.fleet.service(&tracked.request.backend).budget;
        !tracked.is_repeat() || budget.allows(now, &self.fleet.budget_bounds, self.fleet.live_routers)
    }

    fn wait_for_budget(&mut self, now: Duration, id: RequestId, candidate: Candidate, found: &[Candidate]) {
        let tracked = &self.requests[&id];
        let budget = &self.fleet.service(&tracked.request.backend).budget;
        let eases = budget.eases_at(now, &self.fleet.budget_bounds);
        match eases.filter(|&at| at < self.closing(tracked, found)) {
            Some(_) => self.hold(now, id, Some(candidate), found),
            None => self.give_up(now, id, FailReason::Attempts, LEAST_RETRY_AFTER),
        }
    }

    /// No endpoint can take it: it waits for what may still come in time, or gets its answer at once.
    fn place_nowhere(&mut self, now: Duration, id: RequestId) {
        let tracked = &self.requests[&id];
        let backend = tracked.request.backend.clone();
        if self.is_exhausted(id) {
            let wait = self.wait_of_new_try(now, id);
            return self.give_up(now, id, FailReason::Attempts, wait);
        }
        if !self.synchronized {
            return self.hold(now, id, None, &[]);
        }
        if self.fleet.table.ready(&backend).next().is_none() {
            let cheap_until = tracked.request.arrived + tracked.aim() / REFUSAL_PART;
            return match now < cheap_until {
                true => self.hold(now, id, None, &[]),
                false => self.give_up(now, id, FailReason::Attempts, ABSENT_RETRY_AFTER),
            };
        }
        match tracked.artifact() {
            Some(artifact) if self.fleet.uses(Mechanism::LoadWait) => self.await_load(now, id, artifact),
            Some(_) => self.give_up(now, id, FailReason::Attempts, ABSENT_RETRY_AFTER),
            None => self.hold(now, id, None, &[]),
        }
    }

    fn await_load(&mut self, now: Duration, id: RequestId, artifact: Artifact) {
        let tracked = &self.requests[&id];
        let backend = tracked.request.backend.clone();
        if !self.fleet.service(&backend).may_load(&artifact.model) {
            return self.give_up(now, id, FailReason::Attempts, ABSENT_RETRY_AFTER);
        }
        let closing = self.closing(tracked, &[]);
        let wait = self.ask_for_load(now, &backend, &artifact);
        match now + wait < closing {
            true => self.hold(now, id, None, &[]),
            false => self.give_up(now, id, FailReason::Attempts, wait),
        }
    }

    /// Whether no endpoint may take it, now or later: it was sent to as many as its route allows, and none of these
    /// will take it. A model that one of them has dropped is loaded elsewhere, if at all.
    fn is_exhausted(&self, id: RequestId) -> bool {
        let tracked = &self.requests[&id];
        let at_most = tracked.request.max_attempts.max(1) as usize;
        let ends_early = self.fleet.uses(Mechanism::ExhaustedAttempt);
        let takes =
            |endpoint: &Endpoint| endpoint.takes_requests() && (!ends_early || tracked.is_held_by(endpoint));
        let returns = |key: &EndpointKey| {
            self.fleet.table.get(*key).is_some_and(takes) && !tracked.avoided.contains(key)
        };
        tracked.reached.len() >= at_most && !tracked.reached.iter().any(returns)
    }

    /// When the client should come back with a new try, which may go to any endpoint: at once where one holds what
    /// it needs, else after the load that it asks for.
    fn wait_of_new_try(&mut self, now: Duration, id: RequestId) -> Duration {
        let tracked = &self.requests[&id];
        let Some(artifact) = tracked.artifact().filter(|_| !choice::is_placed(&self.fleet, tracked)) else {
            return LEAST_RETRY_AFTER;
        };
        let backend = tracked.request.backend.clone();
        self.ask_for_load(now, &backend, &artifact)
    }

    /// Notes that something is asked for which no endpoint holds; tells how long it will still be missing.
    fn ask_for_load(&mut self, now: Duration, backend: &Arc<str>, artifact: &Artifact) -> Duration {
        let service = self.fleet.service_mut(backend);
        service.want(now, artifact.clone());
        service.expected_load_wait(now, artifact)
    }

    /// Holds a request, on the chart of an endpoint where one can take it.
    pub(super) fn hold(
        &mut self,
        now: Duration,
        id: RequestId,
        lane: Option<Candidate>,
        found: &[Candidate],
    ) {
        let occupies = lane.map_or(0, |candidate| self.occupies(id, &candidate));
        let due = self.due(now, id, lane.as_ref(), occupies);
        let hold = Hold { lane: lane.map(|candidate| candidate.key), due };
        let next = self.next_look(now, id, lane.as_ref(), found);
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        tracked.phase = Phase::Held(hold);
        self.agenda.book(id, &mut tracked.booked, Some(next));
        self.admission.insert(&tracked.request.backend, id, hold, occupies);
        if let Some(lane) = hold.lane {
            self.test_chart(now, lane);
        }
    }

    /// Time for which a request occupies an endpoint: its share of the places, or the reading of its prompt.
    fn occupies(&self, id: RequestId, candidate: &Candidate) -> Ns {
        let tracked = &self.requests[&id];
        let service = self.fleet.service(&tracked.request.backend);
        let capacity = self.fleet.table.get(candidate.key).map_or(1, |endpoint| endpoint.capacity);
        let places = self.fleet.load(candidate.key).recent.cap(capacity as usize);
        let of_places_s = service.served.seconds() / places as f64;
        let reading_s = match service.engine {
            Some(_) => service.first_byte.per_token_s() * candidate.footprint.unread_tokens as f64,
            None => 0.0,
        };
        nanoseconds(crate::units::seconds(of_places_s.max(reading_s)))
    }

    /// When its slot on a chart must end: for the objective while that can be met, else for the deadline.
    fn due(&self, now: Duration, id: RequestId, lane: Option<&Candidate>, occupies: Ns) -> Ns {
        let request = &self.requests[&id].request;
        let expected = lane.map_or(0, |candidate| nanoseconds(candidate.expected));
        let slot_end = |by: Duration| nanoseconds(by) - expected + occupies.min(expected);
        let for_objective = slot_end(request.target);
        match for_objective - occupies >= nanoseconds(now) {
            true => for_objective,
            false => slot_end(request.deadline),
        }
    }

    /// While an endpoint's chart cannot be met, one request on it is refused, or set back to its deadline
    /// where a refusal would come too late or while the endpoints have places.
    fn test_chart(&mut self, now: Duration, lane: EndpointKey) {
        while let Some(overdue) = self.admission.overdue(lane, nanoseconds(now)) {
            let overdue: Vec<Overdue> = overdue.into_iter().filter_map(|held| self.described(held)).collect();
            let able = overdue.iter().filter(|held| self.gives_way(now, held)).cloned().collect::<Vec<_>>();
            let by_class = self.fleet.uses(Mechanism::MissRatioVictim);
            let Some(victim) = self.admission.victim(&able, by_class).cloned() else {
                return;
            };
            match self.may_refuse(now, victim.request) {
                true => self.refuse_overdue(now, lane, victim.request),
                false => self.set_back(&victim),
            }
        }
    }

    fn described(&self, (request, occupies): (RequestId, Ns)) -> Option<Overdue> {
        let tracked = self.requests.get(&request)?;
        let due = tracked.hold()?.due;
        Some(Overdue { request, route: tracked.request.route.clone(), due, occupies })
    }

    /// Whether anything can be done with a request on an overdue chart: refuse it, or set it back.
    fn gives_way(&self, now: Duration, held: &Overdue) -> bool {
        self.may_refuse(now, held.request) || held.due < self.set_back_due(held)
    }

    /// Whether a refusal would be cheap: soon enough, of a request that was sent nowhere, and while the
    /// service has no places to spare.
    fn may_refuse(&self, now: Duration, id: RequestId) -> bool {
        let tracked = &self.requests[&id];
        let cheap_until = tracked.request.arrived + tracked.aim() / REFUSAL_PART;
        let unsent = tracked.attempts == 0 && now <= cheap_until;
        self.fleet.uses(Mechanism::EarlyRefusal)
            && unsent
            && self.fleet.is_crowded(now, &tracked.request.backend)
    }

    fn refuse_overdue(&mut self, now: Duration, lane: EndpointKey, id: RequestId) {
        let backlog = self.admission.backlog(lane, nanoseconds(now));
        let wait = Duration::from_nanos(u64::try_from(backlog).unwrap_or_default());
        self.give_up(now, id, FailReason::Attempts, wait);
    }

    fn set_back_due(&self, held: &Overdue) -> Ns {
        let request = &self.requests[&held.request].request;
        nanoseconds(request.deadline).max(nanoseconds(request.target))
    }

    fn set_back(&mut self, held: &Overdue) {
        let due = self.set_back_due(held);
        let Some(tracked) = self.requests.get_mut(&held.request) else {
            return;
        };
        let Phase::Held(hold) = tracked.phase else {
            return;
        };
        let later = Hold { due, ..hold };
        tracked.phase = Phase::Held(later);
        self.admission.remove(&tracked.request.backend, held.request, hold);
        self.admission.insert(&tracked.request.backend, held.request, later, held.occupies);
    }

    /// Takes a held request off its chart.
    pub(super) fn unhold(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if let Some(hold) = tracked.hold() {
            self.admission.remove(&tracked.request.backend, id, hold);
        }
    }

    /// Sends a request that is on no chart.
    pub(super) fn send(&mut self, now: Duration, id: RequestId, candidate: Candidate) {
        let is_trial = !candidate.is_in();
        let bounds = self.fleet.budget_bounds;
        let urgent = self.fleet.uses(Mechanism::EngineUrgency);
        let (Some(tracked), Some(endpoint)) =
            (self.requests.get_mut(&id), self.fleet.table.get(candidate.key))
        else {
            return;
        };
        let (instance, address) = (endpoint.id.clone(), endpoint.address);
        if tracked.is_repeat() {
            self.fleet.service_mut(&tracked.request.backend).budget.repeat(now, &bounds);
        }
        let per_token_s = self.fleet.service(&tracked.request.backend).first_byte.per_token_s();
        let reading = seconds(per_token_s * candidate.footprint.unread_tokens as f64);
        let left = tracked.request.target.saturating_sub(tracked.request.arrived);
        let newly_reached = !tracked.reached.contains(&candidate.key);
        if newly_reached {
            tracked.reached.push(candidate.key);
        }
        let within_limit = tracked.reached.len() as u32 <= tracked.request.max_attempts.max(1);
        self.violations.check(Invariant::AttemptsWithinLimit, within_limit);
        tracked.attempts += 1;
        tracked.arrivals += 1;
        let hang_at = now + hang(candidate.expected);
        tracked.phase = Phase::Sent(Flight {
            endpoint: candidate.key,
            sent: now,
            footprint: candidate.footprint,
            expected: candidate.expected,
            belief: candidate.belief,
            ahead_tokens: candidate.ahead_tokens,
            first_byte: None,
            hang_at,
            is_trial,
            newly_reached,
        });
        self.agenda.book(id, &mut tracked.booked, Some(hang_at.min(tracked.request.deadline)));
        self.decisions.push(Decision::Send {
            request: id,
            attempt: tracked.attempts,
            instance,
            address,
            engine_priority: match urgent {
                true => engine_priority(tracked.request.priority, reading, left),
                false => route_priority(tracked.request.priority),
            },
            resume: tracked.resume,
        });
        self.fleet.enter(now, candidate.key, candidate.footprint);
    }

    /// Ends a request that is on no chart: refused if it surely hasn't run, else failed.
    pub(super) fn give_up(&mut self, now: Duration, id: RequestId, reason: FailReason, wait: Duration) {
        self.count_miss(now, id);
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let decision = match tracked.may_have_run || tracked.flight().is_some() {
            true => Decision::Fail { request: id, reason },
            false => {
                let heeded = tracked.request.deadline.saturating_sub(now) / HEEDED_PART;
                Decision::Refuse { request: id, retry_after: wait.max(LEAST_RETRY_AFTER).min(heeded) }
            }
        };
        self.forget(id);
        self.decisions.push(decision);
    }
}

/// Silence after a send that is too long.
pub(super) fn hang(expected: Duration) -> Duration {
    (expected * HANG_MULTIPLE + HANG_MARGIN).max(HANG_LEAST)
}
