//! The state machine that queues requests and decides what happens to each.
//!
//! A request ends by [`AttemptEnd::Answered`], by [`Dispatcher::cancel`], or by one of the decisions
//! [`Decision::Refuse`] and [`Decision::Fail`]. No decision about it follows. A `Send` with a higher attempt number, a
//! `Refuse` or a `Fail` for a request with an attempt in flight abandons that attempt: the caller closes its connection,
//! and reports about it are ignored.

mod admission_control;
mod answer_deadline;
mod assignment;
mod attempt_end;
mod observations;
mod queueing;
mod request_end;
mod response_timeout;
mod sending;
mod stall;
mod timers;

use crate::admission::Admission;
use crate::client_timeout::ClientTimeouts;
use crate::demand::DemandCounts;
use crate::endpoint_selection;
use crate::fleet::Fleet;
use crate::interface::{AttemptEnd, Decision, Progress, Request, RequestId};
use crate::pending_request::PendingRequest;
use crate::settings::DispatchSettings;
use crate::summary::DispatchSummary;
use crate::timer_queue::TimerQueue;
use crate::units::nanoseconds;
use lanegate_config::demand::DemandReport;
use lanegate_config::feed::FeedEvent;
use lanegate_config::mechanism::Mechanism;
use lanegate_invariants::Violations;
use std::collections::HashMap;
use std::time::Duration;

/// Decides for one router which endpoint gets each request, and when.
pub struct Dispatcher {
    fleet: Fleet,
    requests: HashMap<RequestId, PendingRequest>,
    admission: Admission,
    timers: TimerQueue,
    demand: DemandCounts,
    client_timeouts: ClientTimeouts,
    decisions: Vec<Decision>,
    /// Whether the feed has delivered its complete state.
    synchronized: bool,
    /// When a stall of the process was last detected.
    last_stall: Duration,
    /// When all answers have to be complete because the process shuts down; `None` before a shutdown is requested.
    shutdown_end: Option<Duration>,
    violations: Violations,
}

impl Dispatcher {
    /// A dispatcher without endpoints.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Dispatcher {
            fleet: Fleet::new(settings, seed),
            requests: HashMap::new(),
            admission: Admission::default(),
            timers: TimerQueue::default(),
            demand: DemandCounts::default(),
            client_timeouts: ClientTimeouts::default(),
            decisions: Vec::new(),
            synchronized: false,
            last_stall: Duration::ZERO,
            shutdown_end: None,
            violations: Violations::default(),
        }
    }

    /// Starts the shutdown. Requests that might not be answered completely by `end` are refused, unless they may have
    /// run. No stream is started from now on, because its duration is unbounded.
    pub fn begin_shutdown(&mut self, now: Duration, end: Duration) {
        self.detect_stall(now);
        self.shutdown_end = Some(end);
        for backend in self.admission.backends() {
            self.reassign_queued(now, &backend);
        }
    }

    /// Counts violations of invariants in `violations`.
    pub fn counting_violations(self, violations: Violations) -> Self {
        Dispatcher { violations, ..self }
    }

    /// Whether a mechanism is switched on.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.fleet.is_enabled(mechanism)
    }

    /// The metrics at `now`. Takes time proportional to the number of requests and endpoints.
    pub fn summary(&self, now: Duration) -> DispatchSummary {
        let queued = self.requests.values().filter(|pending| pending.queue_entry().is_some());
        DispatchSummary {
            queued_requests: queued.count(),
            retries: self.fleet.retries(),
            min_retry_budget: self.fleet.min_retry_budget(now),
            endpoints: self.fleet.endpoint_counts(),
        }
    }

    /// Applies an event of the feed.
    pub fn apply(&mut self, now: Duration, event: &FeedEvent) {
        self.detect_stall(now);
        match event {
            FeedEvent::Instance(instance) => {
                if self.fleet.register(now, instance) {
                    self.reassign_queued(now, &instance.backend.as_str().into());
                }
            }
            FeedEvent::Removed { id } => {
                if let Some((_, endpoint)) = self.fleet.remove(id) {
                    self.reassign_queued(now, &endpoint.backend);
                }
            }
            FeedEvent::Configuration(configuration) => {
                self.fleet.configure(configuration);
                self.client_timeouts.configure(configuration);
            }
            FeedEvent::Routers { live: 0 } | FeedEvent::Behind { .. } | FeedEvent::AgentLink { .. } => {}
            FeedEvent::Routers { live } => self.fleet.live_routers = Some(*live),
            FeedEvent::Synchronized => self.synchronized = true,
        }
    }

    /// Accepts a new request and decides for it.
    pub fn submit(&mut self, now: Duration, request: Request) {
        self.detect_stall(now);
        let id = request.id;
        let bounds = self.fleet.budget_bounds;
        self.admission.count_request(&request.route, nanoseconds(now));
        self.fleet.service_mut(&request.backend).budget.record_request(now, &bounds);
        let pending = PendingRequest::new(request);
        if let Some(generation) = &pending.request.generation {
            let is_resident = endpoint_selection::is_resident(&self.fleet, &pending);
            self.demand.count(&pending.request.backend, generation, is_resident);
        }
        self.requests.insert(id, pending);
        self.assign(now, id);
    }

    /// Reports the progress of an attempt. Reports about abandoned attempts are ignored.
    pub fn progress(&mut self, now: Duration, request: RequestId, attempt: u32, progress: Progress) {
        self.detect_stall(now);
        let Some(flight) = self.current_attempt(request, attempt) else {
            return;
        };
        match progress {
            Progress::Head { load } => self.on_head(now, flight.endpoint, load),
            Progress::FirstByte => self.on_first_byte(now, request),
        }
    }

    /// Reports the end of an attempt. Reports about abandoned attempts are ignored.
    pub fn ended(&mut self, now: Duration, request: RequestId, attempt: u32, end: AttemptEnd) {
        self.detect_stall(now);
        let Some(flight) = self.current_attempt(request, attempt) else {
            return;
        };
        let backend = self.requests[&request].request.backend.clone();
        self.conclude_attempt(now, request, flight, end);
        self.on_capacity_freed(now, &backend, flight.endpoint);
    }

    /// The client has disconnected: nothing more is decided for the request.
    pub fn cancel(&mut self, now: Duration, request: RequestId) {
        self.detect_stall(now);
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let backend = pending.request.backend.clone();
        let freed = pending.attempt().map(|flight| flight.endpoint);
        self.remove_request(request);
        if let Some(freed) = freed {
            self.on_capacity_freed(now, &backend, freed);
        }
    }

    /// Handles all timers that have expired; called at the time that [`Dispatcher::next_wake`] returns.
    pub fn wake(&mut self, now: Duration) {
        self.detect_stall(now);
        for id in self.timers.due(now) {
            self.on_timer(now, id);
        }
    }

    /// Returns the decisions since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// When [`Dispatcher::wake`] has to be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Whether the next report contains demand that no endpoint can serve, so that it should be sent at once.
    pub fn has_unplaced_demand(&self) -> bool {
        self.demand.has_unplaced()
    }

    /// Counts the requests of earlier periods that wait for a model or an adapter that no endpoint has loaded.
    fn count_waiting(&mut self) {
        let period_start = self.demand.period_start();
        let waits = |pending: &&PendingRequest| {
            let unserved = pending.queue_entry().is_some_and(|entry| entry.endpoint.is_none());
            unserved
                && pending.request.arrived < period_start
                && !endpoint_selection::is_resident(&self.fleet, pending)
        };
        for pending in self.requests.values().filter(waits) {
            if let Some(generation) = &pending.request.generation {
                self.demand.count_waiting(&pending.request.backend, generation);
            }
        }
    }

    /// The demand since the last report, and the older requests that still wait.
    pub fn demand_report(&mut self, now: Duration) -> DemandReport {
        self.count_waiting();
        self.demand.take_report(now)
    }
}
