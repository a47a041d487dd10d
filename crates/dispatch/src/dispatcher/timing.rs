//! What happens as time passes: the end of a hold, the last moment for an offer, silence, the deadline.

use super::Dispatcher;
use super::placing::{REFUSAL_PART, hang};
use crate::choice::{self, Candidate, Verdict};
use crate::health::{Fault, Standing};
use crate::interface::{FailReason, RequestId};
use crate::tracked::{Flight, Phase, Tracked};
use crate::units::seconds;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// A wake later than this tells that the process stood still: what arrived meanwhile is heard first.
const OVERSLEPT: Duration = Duration::from_millis(150);

/// Time for the news that waited while the process stood still.
const CATCH_UP: Duration = Duration::from_millis(200);

/// Time before the end at which a request that can't be served any more is answered, at least.
const CLOSING_MARGIN: Duration = Duration::from_millis(5);

/// Part of a request's time that is kept for the answer at most.
const CLOSING_PART: u32 = 4;

/// What others take of an endpoint changes unheard, unless an own request there will tell: the time after which
/// to look again.
const UNTOLD: Duration = Duration::from_millis(100);

/// Part of the objective kept for the answer to an offer, at least.
const OFFER_PART: u32 = 10;

/// Before the end of the process an answer is taken to last this many times as long as expected, and a margin
/// more.
const END_CAUTION: u32 = 2;
const END_MARGIN: Duration = Duration::from_millis(250);

impl Dispatcher {
    /// Notices that the process stood still, by what it should have done meanwhile.
    pub(super) fn notice_stall(&mut self, now: Duration) {
        let overslept = self.agenda.next().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if overslept > OVERSLEPT {
            self.stood_still = now;
        }
    }

    /// Whether the process stood still during an attempt, so that its times tell nothing.
    pub(super) fn spans_stall(&self, flight: &Flight) -> bool {
        flight.sent < self.stood_still
    }

    /// Looks at a request whose booked moment has come.
    pub(super) fn look_at(&mut self, now: Duration, id: RequestId) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        match tracked.phase {
            Phase::Sent(flight) if tracked.request.deadline <= now => {
                let backend = tracked.request.backend.clone();
                self.give_up(now, id, FailReason::Deadline, Duration::ZERO);
                self.release(now, &backend, flight.endpoint);
            }
            Phase::Sent(flight) => self.check_silence(now, id, flight),
            Phase::Held(_) => self.replace(now, id),
        }
    }

    /// When a held request is answered at the latest: while there is time for a first byte, and for the whole
    /// answer before the process ends.
    pub(super) fn closing(&self, tracked: &Tracked, found: &[Candidate]) -> Duration {
        let ends = match self.fleet.uses(Mechanism::ClientTimeout) {
            true => self.patience.ends(tracked),
            false => tracked.request.deadline,
        };
        let usual = found.iter().map(|candidate| candidate.expected).min().unwrap_or_default();
        let whole = ends.saturating_sub(tracked.request.arrived);
        let closing = ends.saturating_sub(usual.min(whole / CLOSING_PART).max(CLOSING_MARGIN));
        self.last_start(tracked, usual).map_or(closing, |last| last.min(closing))
    }

    /// When a request has to be sent at the latest to be answered whole before the process ends; `None` while
    /// the process goes on, and for what may have run: that could no longer be refused. For what is open-ended it
    /// is too late at once.
    fn last_start(&self, tracked: &Tracked, first_byte: Duration) -> Option<Duration> {
        let end = self.end.filter(|_| !tracked.may_have_run)?;
        if tracked.is_open_ended() {
            return Some(Duration::ZERO);
        }
        let served = seconds(self.fleet.service(&tracked.request.backend).served.seconds());
        Some(end.saturating_sub((first_byte + served) * END_CAUTION + END_MARGIN))
    }

    /// When to look at a held request next.
    pub(super) fn next_look(
        &self,
        now: Duration,
        id: RequestId,
        lane: Option<&Candidate>,
        found: &[Candidate],
    ) -> Duration {
        let tracked = &self.requests[&id];
        let mut next = self.closing(tracked, found);
        let mut consider = |at: Duration| {
            if at > now {
                next = next.min(at);
            }
        };
        match lane {
            Some(candidate) if tracked.attempts == 0 => consider(offer_at(tracked, candidate.expected)),
            Some(_) => {}
            None => consider(tracked.request.arrived + tracked.aim() / REFUSAL_PART),
        }
        found.iter().for_each(|candidate| consider(reopens(candidate)));
        if lane.is_some_and(|candidate| self.fleet.load(candidate.key).in_flight == 0) {
            consider(now + UNTOLD);
        }
        if tracked.is_repeat() {
            let budget = &self.fleet.service(&tracked.request.backend).budget;
            budget.eases_at(now, &self.fleet.budget_bounds).into_iter().for_each(consider);
        }
        next
    }

    /// Whether a request that was sent nowhere must be offered to this endpoint now, whatever its load, to be
    /// answered within its objective.
    pub(super) fn must_offer(&self, now: Duration, id: RequestId, candidate: &Candidate) -> bool {
        let tracked = &self.requests[&id];
        let last_moment = offer_at(tracked, candidate.expected);
        let offers = self.fleet.uses(Mechanism::LastOffer);
        offers && tracked.attempts == 0 && now >= last_moment && now < tracked.request.target
    }

    /// Nothing came for much longer than expected. Where the endpoint told nothing else either, it is taken
    /// as silent, and what may run again goes elsewhere.
    fn check_silence(&mut self, now: Duration, id: RequestId, flight: Flight) {
        if flight.first_byte.is_some() {
            return self.book_flight(id, None);
        }
        let heard_by = self.stood_still + CATCH_UP;
        if self.spans_stall(&flight) && now < heard_by {
            return self.book_flight(id, Some(heard_by));
        }
        let health = &self.fleet.load(flight.endpoint).health;
        let silent = health.heard_at() < flight.sent;
        if silent && (!health.is_out() || flight.is_trial) {
            self.fleet.failed(now, flight.endpoint, Fault::Silent);
        }
        if silent && self.try_elsewhere(now, id, flight) {
            return;
        }
        let again = self.requests[&id].is_repeatable().then(|| now + hang(flight.expected));
        self.book_flight(id, again);
    }

    /// Gives a silent attempt up for another endpoint, where the rules, the budget and the load allow it.
    fn try_elsewhere(&mut self, now: Duration, id: RequestId, flight: Flight) -> bool {
        let tracked = &self.requests[&id];
        let may_leave = self.fleet.uses(Mechanism::ResponseTimeoutRetry) && tracked.is_repeatable();
        if !may_leave || !self.affords(now, id) {
            return false;
        }
        let mut found = choice::candidates(&self.fleet, now, tracked);
        found.retain(|candidate| candidate.key != flight.endpoint && candidate.is_in());
        let Verdict::Send(candidate) = choice::decide(now, tracked, &found) else {
            return false;
        };
        self.fleet.leave(flight.endpoint, flight.footprint);
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.may_have_run = true;
            tracked.avoided.push(flight.endpoint);
        }
        self.send(now, id, candidate);
        true
    }

    /// Books the next look at a request under way: a check of silence, or its deadline.
    pub(super) fn book_flight(&mut self, id: RequestId, check: Option<Duration>) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let deadline = tracked.request.deadline;
        let next = check.map_or(deadline, |check| check.min(deadline));
        self.agenda.book(id, &mut tracked.booked, Some(next));
    }
}

/// When an endpoint that is closed or left out may take requests again.
fn reopens(candidate: &Candidate) -> Duration {
    match candidate.standing {
        Standing::Out { until } => candidate.closed_until.max(until),
        _ => candidate.closed_until,
    }
}

/// The last moment at which an offer can be answered within the objective.
fn offer_at(tracked: &Tracked, expected: Duration) -> Duration {
    let aim = tracked.aim();
    let kept = expected.max(aim / OFFER_PART).min(aim / 2);
    tracked.request.target.saturating_sub(kept)
}
