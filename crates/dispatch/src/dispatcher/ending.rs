//! How attempts and requests end.

use super::Dispatcher;
use crate::health::Fault;
use crate::interface::{AttemptEnd, FailReason, InstanceLoad, RequestId};
use crate::tracked::{Flight, Hold, Phase};
use crate::units::nanoseconds;
use std::time::Duration;

/// An endpoint that was full is left alone for the time in which a place comes free, within these bounds.
const FULL_PAUSE_LEAST: Duration = Duration::from_millis(20);
const FULL_PAUSE_MOST: Duration = Duration::from_millis(250);

/// Pause after a connection could not be had.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Pause for one model at an endpoint that refuses it though it has places: an order is under way there.
const REFUSING_PAUSE: Duration = Duration::from_millis(300);

/// Status that says that another instance answered, or that the model isn't there.
const MISDIRECTED: u16 = 421;

impl Dispatcher {
    /// The attempt under way, if it is the one that a report is about.
    pub(super) fn flight(&self, request: RequestId, attempt: u32) -> Option<Flight> {
        let tracked = self.requests.get(&request).filter(|tracked| tracked.attempts == attempt)?;
        tracked.flight().copied()
    }

    /// Takes the end of an attempt: the request ends with it, or is decided for anew.
    pub(super) fn settle(&mut self, now: Duration, id: RequestId, flight: Flight, end: AttemptEnd) {
        self.learn_end(now, id, flight, end);
        match end {
            AttemptEnd::Answered { success, .. } => self.answered(now, id, success),
            AttemptEnd::Cancelled => self.forget(id),
            AttemptEnd::NotExecuted { status, load, wrong_instance } => {
                self.land(id, flight);
                self.not_executed(now, id, flight, Rejection { status, load, wrong_instance });
                self.place(now, id);
            }
            AttemptEnd::NotSent => {
                self.land(id, flight);
                self.not_sent(now, id, flight);
                self.place(now, id);
            }
            AttemptEnd::Broken | AttemptEnd::Garbled => {
                self.land(id, flight);
                self.broken(now, id, flight, false);
            }
            AttemptEnd::BrokenMidway => {
                self.land(id, flight);
                self.broken(now, id, flight, true);
            }
        }
    }

    /// The request is at no endpoint any more.
    fn land(&mut self, id: RequestId, flight: Flight) {
        self.fleet.leave(flight.endpoint, flight.footprint);
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.phase = Phase::Held(Hold::default());
        }
    }

    fn answered(&mut self, now: Duration, id: RequestId, success: bool) {
        let tracked = &self.requests[&id];
        let first_byte = tracked.flight().and_then(|flight| flight.first_byte).unwrap_or(now);
        if !success || first_byte > tracked.request.target {
            self.count_miss(now, id);
        }
        self.forget(id);
    }

    fn not_executed(&mut self, now: Duration, id: RequestId, flight: Flight, rejection: Rejection) {
        let key = flight.endpoint;
        let artifact = self.requests[&id].artifact();
        if rejection.wrong_instance || rejection.status == MISDIRECTED {
            return match artifact.filter(|_| !rejection.wrong_instance) {
                Some(artifact) => self.fleet.forget_artifact(key, &artifact),
                None => self.fleet.table.mark_replaced(key),
            };
        }
        let full_pause = self.full_pause(id, flight);
        let Some(load) = self.fleet.load_mut(key) else {
            return;
        };
        match artifact.filter(|_| rejection.has_places()) {
            Some(artifact) => load.refusing = Some((artifact, now + REFUSING_PAUSE)),
            None => load.closed_until = load.closed_until.max(now + full_pause),
        }
    }

    fn full_pause(&self, id: RequestId, flight: Flight) -> Duration {
        let service = self.fleet.service(&self.requests[&id].request.backend);
        let capacity = self.fleet.table.get(flight.endpoint).map_or(1, |endpoint| endpoint.capacity);
        let a_place_s = service.served.seconds() / f64::from(capacity);
        crate::units::seconds(a_place_s).clamp(FULL_PAUSE_LEAST, FULL_PAUSE_MOST)
    }

    /// Nothing was sent: the attempt counts neither for the budget nor as reaching the endpoint.
    fn not_sent(&mut self, now: Duration, id: RequestId, flight: Flight) {
        self.fleet.failed(now, flight.endpoint, Fault::Broken);
        if let Some(load) = self.fleet.load_mut(flight.endpoint) {
            load.closed_until = load.closed_until.max(now + CONNECT_PAUSE);
        }
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.arrivals -= 1;
            if flight.newly_reached {
                tracked.reached.retain(|&key| key != flight.endpoint);
            }
        }
    }

    /// The attempt may have run: it is repeated only where that does no harm.
    fn broken(&mut self, now: Duration, id: RequestId, flight: Flight, midway: bool) {
        self.fleet.failed(now, flight.endpoint, Fault::Broken);
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        tracked.may_have_run = true;
        tracked.avoided.push(flight.endpoint);
        let goes_on = tracked.is_repeatable() && (!midway || tracked.request.resumable);
        tracked.resume |= midway;
        match goes_on {
            true => self.place(now, id),
            false => self.give_up(now, id, FailReason::MayHaveRun, Duration::ZERO),
        }
    }

    /// Counts a miss of the request's class, once.
    pub(super) fn count_miss(&mut self, now: Duration, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut tracked.missed, true) {
            self.admission.count_miss(&tracked.request.route, nanoseconds(now));
        }
    }

    /// Drops all that is known of a request.
    pub(super) fn forget(&mut self, id: RequestId) {
        let Some(mut tracked) = self.requests.remove(&id) else {
            return;
        };
        self.agenda.book(id, &mut tracked.booked, None);
        match tracked.phase {
            Phase::Held(hold) => self.admission.remove(&tracked.request.backend, id, hold),
            Phase::Sent(flight) => {
                self.void_trial(flight);
                self.fleet.leave(flight.endpoint, flight.footprint);
            }
        }
    }
}

/// An endpoint's word that it did not run a request.
struct Rejection {
    status: u16,
    load: Option<InstanceLoad>,
    wrong_instance: bool,
}

impl Rejection {
    /// Whether the endpoint tells that it has places all the same.
    fn has_places(&self) -> bool {
        self.load.is_some_and(|load| load.running < load.slots && load.waiting == 0)
    }
}
