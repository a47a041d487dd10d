//! A journal in which every invariant holds, and the means to doctor it.
#![allow(dead_code)]

use lanegate_placement::Operation;
use lanegate_soak::audit::{Invariant, Verdict, judge};
use lanegate_soak::catalog::{RouteKind, Service};
use lanegate_soak::journal::{
    Answer, AttemptEnd, ChangeFacts, Decision, Event, OrderFacts, Read, RunEnd, Sent, What,
};
use lanegate_soak::names::{AttemptId, InstanceId, Place};
use lanegate_soak::schedule::Trouble;
use std::time::Duration;

pub const ENGINE: InstanceId = InstanceId { endpoint: 1, start: 1 };
pub const PRIMARY: InstanceId = InstanceId { endpoint: 5, start: 1 };
pub const SECONDARY: InstanceId = InstanceId { endpoint: 8, start: 1 };
pub const LOOKUP: AttemptId = AttemptId(1);
pub const BOOKING: AttemptId = AttemptId(2);
pub const DRAFT: AttemptId = AttemptId(3);
/// Events of the draft.
pub const EVENTS: u32 = 5;

pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// Events in order of time.
#[derive(Clone)]
pub struct Doctored(pub Vec<Event>);

impl Doctored {
    /// A run in which everything is as it should be.
    pub fn clean() -> Self {
        let mut journal = Doctored(Vec::new());
        journal.starts();
        journal.requests();
        journal.changes();
        journal.orders();
        journal.add(30.0, What::TroublesOver);
        journal.add(50.0, What::TrafficEnded);
        journal.add(51.0, read(51.0, 4, 2));
        journal.add(51.5, What::OwnCounters { place: Place::Router(1), violations: 0 });
        journal
    }

    pub fn add(&mut self, at: f64, what: What) {
        self.0.push(Event { at: seconds(at), what });
        self.0.sort_by_key(|event| event.at);
    }

    fn starts(&mut self) {
        let models = ["amber", "birch", "ember"].map(str::to_owned).to_vec();
        self.add(0.0, What::EndpointStarted { instance: ENGINE, service: Service::Engines, models });
        for (instance, service) in [(PRIMARY, Service::Primary), (SECONDARY, Service::Secondary)] {
            self.add(0.0, What::EndpointStarted { instance, service, models: Vec::new() });
        }
        self.add(0.5, What::EntryChanged { router: 1, open: true });
        self.add(1.0, What::TrafficBegan);
    }

    fn requests(&mut self) {
        let plain = [(LOOKUP, RouteKind::Lookup), (BOOKING, RouteKind::Booking)];
        for (attempt, route) in plain {
            self.add(10.0, sent(attempt, route, 0));
            self.add(10.1, arrived(attempt, PRIMARY, Decision::Run));
            self.add(10.2, run_ended(attempt, PRIMARY, RunEnd::Whole));
            self.add(10.3, answered(attempt, answer(attempt, PRIMARY)));
        }
        let ids = (1..=EVENTS).collect();
        self.add(10.0, sent(DRAFT, RouteKind::Draft, EVENTS));
        self.add(10.1, arrived(DRAFT, ENGINE, Decision::Run));
        self.add(16.0, run_ended(DRAFT, ENGINE, RunEnd::Whole));
        self.add(16.1, answered(DRAFT, Answer { event_ids: ids, ..answer(DRAFT, ENGINE) }));
        for request in 0..6 {
            self.add(45.5, concluded(request, true));
        }
    }

    fn changes(&mut self) {
        self.add(0.1, What::ChangeSent(change(1, 0, 2, Service::Primary)));
        self.add(0.4, What::ChangeAcknowledged { change: 1, controller: 1 });
        self.add(0.6, read(0.5, 2, 1));
        self.add(20.0, What::ChangeSent(change(2, 2, 4, Service::Primary)));
        self.add(20.2, What::ChangeAcknowledged { change: 2, controller: 2 });
        self.add(20.4, read(20.3, 4, 2));
    }

    fn orders(&mut self) {
        let evict = order(Operation::Evict, "birch", "one", 7);
        self.add(12.0, ordered(evict.clone()));
        self.add(12.5, What::OrderDone { instance: ENGINE, order: evict });
        self.add(13.0, ordered(order(Operation::Load, "cedar", "one", 7)));
        self.add(18.0, ordered(order(Operation::Load, "fjord", "two", 8)));
    }

    /// Takes away what `is_it` says.
    pub fn without(mut self, is_it: impl Fn(&What) -> bool) -> Self {
        self.0.retain(|event| !is_it(&event.what));
        self
    }

    /// With one more event.
    pub fn with(mut self, at: f64, what: What) -> Self {
        self.add(at, what);
        self
    }

    /// With a trouble of that time.
    pub fn with_trouble(self, from: f64, until: f64, trouble: Trouble) -> Self {
        let number = 100 + self.0.len();
        let begun = self.with(from, What::TroubleBegan { number, trouble });
        begun.with(until, What::TroubleEnded { number })
    }

    /// The end of an attempt is another one.
    pub fn ending(self, at: f64, attempt: AttemptId, end: AttemptEnd) -> Self {
        let other = self.without(|what| matches!(what, What::Ended { attempt: of, .. } if *of == attempt));
        other.with(at, What::Ended { attempt, end })
    }

    pub fn verdict(&self) -> Verdict {
        judge(&self.0)
    }

    /// Nothing but this invariant is violated.
    #[track_caller]
    pub fn violates(&self, invariant: Invariant) {
        let verdict = self.verdict();
        assert!(verdict.count(invariant) > 0, "{invariant:?} is not seen: {:?}", verdict.violations);
        assert_eq!(verdict.count(invariant), verdict.violations.len(), "{:?}", verdict.violations);
    }

    #[track_caller]
    pub fn is_clean(&self) {
        let verdict = self.verdict();
        assert!(verdict.is_clean(), "{:?}", verdict.violations);
    }
}

pub fn sent(attempt: AttemptId, route: RouteKind, events: u32) -> What {
    let deadline = route.deadline();
    What::Sent(Sent { attempt, request: attempt.0, router: 1, route, deadline, kept: false, events })
}

pub fn arrived(attempt: AttemptId, instance: InstanceId, decision: Decision) -> What {
    let service = Service::of_endpoint(instance.endpoint);
    What::Arrived { attempt, instance, service, decision }
}

pub fn run_ended(attempt: AttemptId, instance: InstanceId, end: RunEnd) -> What {
    What::RunEnded { attempt, instance, end }
}

/// A sound plain answer.
pub fn answer(attempt: AttemptId, instance: InstanceId) -> Answer {
    Answer {
        status: 200,
        attempt: Some(attempt),
        signature: Some(instance.to_string()),
        body_matches: true,
        event_ids: Vec::new(),
    }
}

pub fn refusal(status: u16) -> Answer {
    Answer { status, attempt: None, signature: None, body_matches: true, event_ids: Vec::new() }
}

pub fn answered(attempt: AttemptId, answer: Answer) -> What {
    What::Ended { attempt, end: AttemptEnd::Answered(answer) }
}

pub fn concluded(request: u64, served: bool) -> What {
    What::Concluded { request, route: RouteKind::Booking, served, began: seconds(45.0) }
}

pub fn change(change: u64, base: u64, version: u64, moved_to: Service) -> ChangeFacts {
    ChangeFacts { change, base, version, moved_to }
}

pub fn read(sent: f64, version: u64, change: u64) -> What {
    let (sent, change) = (seconds(sent), Some(change));
    What::Read(Read { controller: 1, sent, version, change, digest: version })
}

pub fn order(operation: Operation, model: &str, owner: &str, token: u64) -> OrderFacts {
    OrderFacts { operation, model: model.to_owned(), adapter: None, owner: owner.to_owned(), token }
}

pub fn ordered(order: OrderFacts) -> What {
    What::OrderArrived { instance: ENGINE, service: Service::Engines, order, status: 202 }
}
