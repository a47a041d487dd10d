//! What the rules look at, folded from the journal.

use super::Figures;
use crate::catalog::{RouteKind, Service};
use crate::journal::{AttemptEnd, ChangeFacts, Decision, Event, OrderFacts, Read, RunEnd, Sent, What};
use crate::names::{AttemptId, InstanceId, Place};
use crate::schedule::Trouble;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub instance: InstanceId,
    pub service: Service,
    pub decision: Decision,
}

/// One attempt of a client.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub at: Duration,
    pub sent: Sent,
    pub end: Option<(Duration, AttemptEnd)>,
    pub arrivals: Vec<Arrival>,
    pub run_ends: Vec<(Duration, InstanceId, RunEnd)>,
}

impl Attempt {
    /// Arrivals that ran.
    pub fn runs(&self) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(|arrival| arrival.decision == Decision::Run)
    }
}

/// A trouble and its time.
#[derive(Debug, Clone)]
pub struct Troubled {
    pub trouble: Trouble,
    pub from: Duration,
    /// `Duration::MAX` if it did not end.
    pub until: Duration,
}

impl Troubled {
    /// Whether it was there at some time of the span.
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && from <= self.until
    }

    /// Whether it kills the process of a place, or has it stand still.
    pub fn stops(&self, place: Place) -> bool {
        match self.trouble {
            Trouble::Kill { place: struck, .. } | Trouble::Freeze { place: struck, .. } => struck == place,
            Trouble::Wipe { controller, .. } => place == Place::Controller(controller),
            Trouble::Blackout { .. } => matches!(place, Place::Controller(_)),
            _ => false,
        }
    }

    /// The process that it strikes, if it strikes one.
    pub fn struck(&self) -> Option<Place> {
        match self.trouble {
            Trouble::Kill { place, .. }
            | Trouble::Terminate { place, .. }
            | Trouble::Freeze { place, .. } => Some(place),
            _ => None,
        }
    }
}

/// An order at an engine.
#[derive(Debug, Clone)]
pub struct Ordered {
    pub at: Duration,
    pub instance: InstanceId,
    pub service: Service,
    pub order: OrderFacts,
}

/// What became of a change of the configuration.
#[derive(Debug, Clone)]
pub struct Change {
    pub facts: ChangeFacts,
    pub sent: Duration,
    pub acknowledged: Option<Duration>,
    /// A controller took it, whether or not the operator heard.
    pub taken: Option<Duration>,
    pub refused: Option<(Duration, u16)>,
}

/// A wish that came to its end.
#[derive(Debug, Clone, Copy)]
pub struct Concluded {
    pub route: RouteKind,
    pub began: Duration,
    pub served: bool,
}

/// A process that ended.
#[derive(Debug, Clone)]
pub struct Ended {
    pub at: Duration,
    pub place: Place,
    pub expected: bool,
    pub status: String,
}

/// Everything in the journal, by what it is about.
#[derive(Debug, Default)]
pub struct View {
    pub events: Vec<Event>,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    pub troubles: Vec<Troubled>,
    pub instance_ends: BTreeMap<InstanceId, Duration>,
    pub leaving: BTreeMap<InstanceId, Duration>,
    pub orders: Vec<Ordered>,
    pub changes: BTreeMap<u64, Change>,
    pub reads: Vec<(Duration, Read)>,
    pub concluded: Vec<Concluded>,
    pub process_ends: Vec<Ended>,
    pub open_routers: BTreeSet<u8>,
    /// Routers that were in at some time.
    pub known_routers: BTreeSet<u8>,
    pub troubles_over: Option<Duration>,
    pub traffic_ended: Option<Duration>,
    pub own_counters: Vec<(Duration, Place, u64)>,
    troubles_by_number: BTreeMap<usize, usize>,
}

impl View {
    /// Folds the journal.
    pub fn of(events: &[Event]) -> Self {
        let mut view = View { events: events.to_vec(), ..View::default() };
        for event in events {
            view.take(event.at, &event.what);
        }
        view
    }

    fn take(&mut self, at: Duration, what: &What) {
        match what {
            What::Sent(_)
            | What::Ended { .. }
            | What::Arrived { .. }
            | What::RunEnded { .. }
            | What::Concluded { .. } => self.take_of_request(at, what),
            What::ChangeSent(_)
            | What::ChangeAcknowledged { .. }
            | What::AcknowledgementLost { .. }
            | What::ChangeRefused { .. }
            | What::Read(_) => self.take_of_configuration(at, what),
            What::EndpointStarted { .. }
            | What::EndpointEnded { .. }
            | What::LeavingAcknowledged { .. }
            | What::OrderArrived { .. }
            | What::OrderDone { .. } => self.take_of_endpoint(at, what),
            _ => self.take_of_system(at, what),
        }
    }

    fn take_of_request(&mut self, at: Duration, what: &What) {
        match what {
            What::Sent(sent) => {
                let (arrivals, run_ends) = (Vec::new(), Vec::new());
                let attempt = Attempt { at, sent: *sent, end: None, arrivals, run_ends };
                self.attempts.insert(sent.attempt, attempt);
            }
            What::Ended { attempt, end } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.end = Some((at, end.clone()));
                }
            }
            What::Arrived { attempt, instance, service, decision } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    let arrival = Arrival { at, instance: *instance, service: *service, decision: *decision };
                    attempt.arrivals.push(arrival);
                }
            }
            What::RunEnded { attempt, instance, end } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.run_ends.push((at, *instance, *end));
                }
            }
            What::Concluded { route, served, began, .. } => {
                self.concluded.push(Concluded { route: *route, began: *began, served: *served });
            }
            _ => {}
        }
    }

    fn take_of_configuration(&mut self, at: Duration, what: &What) {
        match what {
            What::ChangeSent(facts) => {
                let change =
                    Change { facts: *facts, sent: at, acknowledged: None, taken: None, refused: None };
                self.changes.insert(facts.change, change);
            }
            What::ChangeAcknowledged { change, .. } => {
                if let Some(change) = self.changes.get_mut(change) {
                    change.acknowledged.get_or_insert(at);
                    change.taken.get_or_insert(at);
                }
            }
            What::AcknowledgementLost { change, .. } => {
                if let Some(change) = self.changes.get_mut(change) {
                    change.taken.get_or_insert(at);
                }
            }
            What::ChangeRefused { change, status, .. } => {
                if let Some(change) = self.changes.get_mut(change) {
                    change.refused.get_or_insert((at, *status));
                }
            }
            What::Read(read) => self.reads.push((at, *read)),
            _ => {}
        }
    }

    fn take_of_endpoint(&mut self, at: Duration, what: &What) {
        match what {
            What::EndpointEnded { instance } => {
                self.instance_ends.insert(*instance, at);
            }
            What::LeavingAcknowledged { instance, .. } => {
                self.leaving.entry(*instance).or_insert(at);
            }
            What::OrderArrived { instance, service, order, .. } => {
                let (instance, service, order) = (*instance, *service, order.clone());
                self.orders.push(Ordered { at, instance, service, order });
            }
            _ => {}
        }
    }

    fn take_of_system(&mut self, at: Duration, what: &What) {
        match what {
            What::TroubleBegan { number, trouble } => {
                self.troubles_by_number.insert(*number, self.troubles.len());
                self.troubles.push(Troubled { trouble: trouble.clone(), from: at, until: Duration::MAX });
            }
            What::TroubleEnded { number } => {
                if let Some(index) = self.troubles_by_number.get(number) {
                    self.troubles[*index].until = at;
                }
            }
            What::ProcessEnded { place, expected, status } => {
                let (place, expected, status) = (*place, *expected, status.clone());
                self.process_ends.push(Ended { at, place, expected, status });
            }
            What::EntryChanged { router, open: true } => {
                self.known_routers.insert(*router);
                self.open_routers.insert(*router);
            }
            What::EntryChanged { router, open: false } => {
                self.open_routers.remove(router);
            }
            What::TroublesOver => self.troubles_over = Some(at),
            What::TrafficEnded => self.traffic_ended = Some(at),
            What::OwnCounters { place, violations } => self.own_counters.push((at, *place, *violations)),
            _ => {}
        }
    }

    /// Whether a process was killed, or ended by itself, or stood still at some time of the span.
    pub fn was_down(&self, place: Place, from: Duration, until: Duration) -> bool {
        self.troubles.iter().any(|troubled| troubled.stops(place) && troubled.overlaps(from, until))
            || self
                .process_ends
                .iter()
                .any(|end| end.place == place && !end.expected && from <= end.at && end.at <= until)
    }

    /// Whether an endpoint was slow at some time of the span.
    pub fn was_slow(&self, endpoint: u8, from: Duration, until: Duration) -> bool {
        self.troubles.iter().any(|troubled| {
            matches!(troubled.trouble, Trouble::EndpointSlow { endpoint: slow, .. } if slow == endpoint)
                && troubled.overlaps(from, until)
        })
    }

    /// Times at which a process was told to end.
    pub fn terminations(&self, place: Place) -> impl Iterator<Item = Duration> {
        self.troubles.iter().filter_map(move |troubled| match troubled.trouble {
            Trouble::Terminate { place: told, .. } if told == place => Some(troubled.from),
            _ => None,
        })
    }

    /// Whether anything struck the control plane, or this router or its agent, or their links, in the span.
    pub fn was_out_of_touch(&self, router: u8, from: Duration, until: Duration) -> bool {
        let touches = |troubled: &Troubled| match troubled.trouble {
            Trouble::Cut { from: Place::Agent(agent), .. }
            | Trouble::Reset { from: Place::Agent(agent), .. } => agent == router,
            _ => match troubled.struck() {
                Some(Place::Router(number) | Place::Agent(number)) => number == router,
                _ => false,
            },
        };
        self.troubles.iter().any(|troubled| touches(troubled) && troubled.overlaps(from, until))
            || self.was_control_troubled(from, until)
    }

    /// Whether answers to operators were lost in the span.
    pub fn were_acknowledgements_lost(&self, from: Duration, until: Duration) -> bool {
        self.troubles.iter().any(|troubled| {
            matches!(troubled.trouble, Trouble::AcknowledgementsLost { .. }) && troubled.overlaps(from, until)
        })
    }

    /// Whether anything struck controllers or their links in the span.
    pub fn was_control_troubled(&self, from: Duration, until: Duration) -> bool {
        let touches = |troubled: &Troubled| match troubled.trouble {
            Trouble::Cut { from: Place::Controller(_), .. }
            | Trouble::Reset { from: Place::Controller(_), .. }
            | Trouble::Isolate { .. }
            | Trouble::Wipe { .. }
            | Trouble::Blackout { .. } => true,
            _ => matches!(troubled.struck(), Some(Place::Controller(_))),
        };
        self.troubles.iter().any(|troubled| touches(troubled) && troubled.overlaps(from, until))
            || self.process_ends.iter().any(|end| !end.expected && from <= end.at && end.at <= until)
    }

    /// What became of the attempts and wishes.
    pub fn figures(&self) -> Figures {
        let mut ends = BTreeMap::new();
        for attempt in self.attempts.values() {
            *ends.entry(end_name(attempt.end.as_ref().map(|(_, end)| end))).or_default() += 1;
        }
        Figures {
            attempts: self.attempts.len(),
            ends,
            requests: self.concluded.len(),
            served: self.concluded.iter().filter(|concluded| concluded.served).count(),
            orders: self.orders.len(),
            acknowledged_changes: self
                .changes
                .values()
                .filter(|change| change.acknowledged.is_some())
                .count(),
            reads: self.reads.len(),
        }
    }
}

fn end_name(end: Option<&AttemptEnd>) -> &'static str {
    match end {
        None => "open",
        Some(AttemptEnd::NotConnected) => "not connected",
        Some(AttemptEnd::NotSent) => "not sent",
        Some(AttemptEnd::Answered(answer)) => match answer.status {
            200..=299 => "success",
            408 | 421 | 429 | 503 => "refused",
            _ => "failed",
        },
        Some(AttemptEnd::Cut { .. }) => "cut",
        Some(AttemptEnd::Silent { .. }) => "silent",
        Some(AttemptEnd::Overdue { .. }) => "overdue",
    }
}
