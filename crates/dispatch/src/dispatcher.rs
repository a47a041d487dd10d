//! The dispatcher: one state machine that holds requests and decides for each.
//!
//! A request ends by `Answered`, by `cancel`, or by one of the decisions `Refuse` and `Fail`; nothing more is
//! decided for it afterwards. A `Send` with a higher attempt, a `Refuse` or a `Fail` for a request with an
//! attempt under way means that the attempt is given up: its connection is to be closed, and its reports
//! are ignored.

mod ending;
mod learning;
mod placing;
mod timing;

use crate::admission::Admission;
use crate::agenda::Agenda;
use crate::choice;
use crate::demand::DemandCounts;
use crate::fleet::Fleet;
use crate::interface::{AttemptEnd, Decision, Progress, Request, RequestId};
use crate::patience::Patience;
use crate::settings::DispatchSettings;
use crate::tracked::Tracked;
use crate::units::nanoseconds;
use lanegate_config::demand::DemandReport;
use lanegate_config::feed::FeedEvent;
use lanegate_config::mechanism::Mechanism;
use lanegate_invariants::Violations;
use std::collections::HashMap;
use std::time::Duration;

/// Decides for one router.
pub struct Dispatcher {
    fleet: Fleet,
    requests: HashMap<RequestId, Tracked>,
    admission: Admission,
    agenda: Agenda,
    demand: DemandCounts,
    patience: Patience,
    decisions: Vec<Decision>,
    /// Whether all that the control plane knows has been told.
    synchronized: bool,
    /// When it was last noticed that the process had stood still.
    stood_still: Duration,
    /// When answers have to be whole because the process ends, once it was asked to.
    end: Option<Duration>,
    violations: Violations,
}

impl Dispatcher {
    /// A dispatcher that knows no endpoints yet.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Dispatcher {
            fleet: Fleet::new(settings, seed),
            requests: HashMap::new(),
            admission: Admission::default(),
            agenda: Agenda::default(),
            demand: DemandCounts::default(),
            patience: Patience::default(),
            decisions: Vec::new(),
            synchronized: false,
            stood_still: Duration::ZERO,
            end: None,
            violations: Violations::default(),
        }
    }

    /// The process was asked to end: what may not be answered whole by `end` is refused while it has not run. No
    /// stream is begun any more, as nothing bounds its time.
    pub fn end_by(&mut self, now: Duration, end: Duration) {
        self.notice_stall(now);
        self.end = Some(end);
        for backend in self.admission.backends() {
            self.reconsider(now, &backend);
        }
    }

    /// Counts violated invariants in `violations`.
    pub fn counting_violations(self, violations: Violations) -> Self {
        Dispatcher { violations, ..self }
    }

    /// Whether a mechanism works here.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.fleet.uses(mechanism)
    }

    /// Requests that are at no endpoint now.
    pub(crate) fn held_requests(&self) -> usize {
        self.requests.values().filter(|tracked| tracked.hold().is_some()).count()
    }

    /// What is known of endpoints and services.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes news of the control plane in.
    pub fn apply(&mut self, now: Duration, event: &FeedEvent) {
        self.notice_stall(now);
        match event {
            FeedEvent::Instance(instance) => {
                if self.fleet.register(now, instance) {
                    self.reconsider(now, &instance.backend.as_str().into());
                }
            }
            FeedEvent::Removed { id } => {
                if let Some((_, endpoint)) = self.fleet.remove(id) {
                    self.reconsider(now, &endpoint.backend);
                }
            }
            FeedEvent::Configuration(configuration) => {
                self.fleet.configure(configuration);
                self.patience.configure(configuration);
            }
            FeedEvent::Routers { live: 0 } | FeedEvent::Behind { .. } | FeedEvent::AgentLink { .. } => {}
            FeedEvent::Routers { live } => self.fleet.live_routers = Some(*live),
            FeedEvent::Synchronized => self.synchronized = true,
        }
    }

    /// Takes a new request.
    pub fn submit(&mut self, now: Duration, request: Request) {
        self.notice_stall(now);
        let id = request.id;
        let bounds = self.fleet.budget_bounds;
        self.admission.count_request(&request.route, nanoseconds(now));
        self.fleet.service_mut(&request.backend).budget.request(now, &bounds);
        let tracked = Tracked::new(request);
        if let Some(wanted) = &tracked.request.generation {
            let placed = choice::is_placed(&self.fleet, &tracked);
            self.demand.count(&tracked.request.backend, wanted, placed);
        }
        self.requests.insert(id, tracked);
        self.place(now, id);
    }

    /// Takes news of an attempt before its end.
    pub fn progress(&mut self, now: Duration, request: RequestId, attempt: u32, progress: Progress) {
        self.notice_stall(now);
        let Some(flight) = self.flight(request, attempt) else {
            return;
        };
        match progress {
            Progress::Head { load } => self.head_arrived(now, flight.endpoint, load),
            Progress::FirstByte => self.first_byte_arrived(now, request),
        }
    }

    /// Takes the end of an attempt.
    pub fn ended(&mut self, now: Duration, request: RequestId, attempt: u32, end: AttemptEnd) {
        self.notice_stall(now);
        let Some(flight) = self.flight(request, attempt) else {
            return;
        };
        let backend = self.requests[&request].request.backend.clone();
        self.settle(now, request, flight, end);
        self.release(now, &backend, flight.endpoint);
    }

    /// The client left: nothing more is decided for the request.
    pub fn cancel(&mut self, now: Duration, request: RequestId) {
        self.notice_stall(now);
        let Some(tracked) = self.requests.get(&request) else {
            return;
        };
        let backend = tracked.request.backend.clone();
        let freed = tracked.flight().map(|flight| flight.endpoint);
        self.forget(request);
        if let Some(freed) = freed {
            self.release(now, &backend, freed);
        }
    }

    /// The time told by `next_wake` has come.
    pub fn wake(&mut self, now: Duration) {
        self.notice_stall(now);
        for id in self.agenda.due(now) {
            self.look_at(now, id);
        }
    }

    /// Hands over what is to be done, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// When `wake` is to be called, if nothing else happens before.
    pub fn next_wake(&self) -> Option<Duration> {
        self.agenda.next()
    }

    /// Whether the next report tells of demand that no endpoint can serve, and should not wait.
    pub fn has_unplaced_demand(&self) -> bool {
        self.demand.has_unplaced()
    }

    /// Counts again what waits for a model or an adapter that no endpoint holds.
    fn count_waiting(&mut self) {
        let since = self.demand.since();
        let waits = |tracked: &&Tracked| {
            let unserved = tracked.hold().is_some_and(|hold| hold.lane.is_none());
            unserved && tracked.request.arrived < since && !choice::is_placed(&self.fleet, tracked)
        };
        for tracked in self.requests.values().filter(waits) {
            if let Some(wanted) = &tracked.request.generation {
                self.demand.count_waiting(&tracked.request.backend, wanted);
            }
        }
    }

    /// The demand since the last report, and what still waits of the demand before.
    pub fn demand_report(&mut self, now: Duration) -> DemandReport {
        self.count_waiting();
        self.demand.take(now)
    }
}
