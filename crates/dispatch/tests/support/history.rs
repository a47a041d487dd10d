//! Random histories of one dispatcher, checked against the invariants.

use super::digest::DecisionDigest;
use super::{engine, generation, instance, ms, request};
use lanegate_config::configuration::RouteType;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::InstanceState;
use lanegate_config::mechanism::SwitchedOff;
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::collections::BTreeMap;
use std::time::Duration;

const LIVE_ROUTERS: u32 = 2;
const WINDOW: Duration = Duration::from_secs(10);
pub(crate) const ENDPOINTS: usize = 5;

/// One event of a history.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Register { endpoint: usize, models: usize, draining: bool },
    Remove { endpoint: usize },
    Submit { class: usize, attempts: u32, model: usize },
    Head { request: usize, waiting: u32 },
    FirstByte { request: usize },
    End { request: usize, how: usize },
    Cancel { request: usize },
    Stall,
}

/// A request as the checks observe it.
pub(crate) struct ObservedRequest {
    request: Request,
    attempts: u32,
    in_flight_at: Option<String>,
    attempted_endpoints: Vec<String>,
    may_have_run: bool,
    deliveries: u32,
}

impl ObservedRequest {
    fn is_retryable(&self) -> bool {
        match self.request.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.request.resumable,
        }
    }
}

/// The retry budget of a history.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    pub ratio: f64,
    pub slack: f64,
}

/// A dispatcher with the state that its decisions are checked against.
pub(crate) struct RandomHistory {
    budget: Budget,
    pub dispatcher: Dispatcher,
    pub now: Duration,
    incarnations: [u32; ENDPOINTS],
    /// Instances that may get requests, with their models.
    usable: BTreeMap<String, Vec<String>>,
    drained: BTreeMap<String, bool>,
    sequence: u64,
    pub open: BTreeMap<RequestId, ObservedRequest>,
    pub ended: Vec<RequestId>,
    next: u64,
    /// Times of requests and of retries by service.
    arrived: BTreeMap<String, Vec<Duration>>,
    retries: BTreeMap<String, Vec<Duration>>,
    /// Digest of all decisions.
    pub digest: DecisionDigest,
}

impl RandomHistory {
    pub(crate) fn new(budget: Budget, switched_off: SwitchedOff) -> Self {
        let mut settings = DispatchSettings { zone: "a".to_owned(), ..DispatchSettings::default() };
        settings.switched_off = switched_off;
        settings.bounds.retry_slack = budget.slack;
        settings.bounds.retry_ratio = budget.ratio;
        settings.bounds.retry_window_s = WINDOW.as_secs_f64();
        let mut dispatcher = Dispatcher::new(settings, 7);
        dispatcher.apply(Duration::ZERO, &FeedEvent::Routers { live: LIVE_ROUTERS });
        dispatcher.apply(Duration::ZERO, &FeedEvent::Synchronized);
        RandomHistory {
            budget,
            dispatcher,
            now: Duration::ZERO,
            incarnations: [0; ENDPOINTS],
            usable: BTreeMap::new(),
            drained: BTreeMap::new(),
            sequence: 0,
            open: BTreeMap::new(),
            ended: Vec::new(),
            next: 0,
            arrived: BTreeMap::new(),
            retries: BTreeMap::new(),
            digest: DecisionDigest::default(),
        }
    }

    fn name(&self, endpoint: usize) -> String {
        format!("i{endpoint}-{}", self.incarnations[endpoint])
    }

    pub(crate) fn advance_to(&mut self, to: Duration) {
        while let Some(at) = self.dispatcher.next_wake().filter(|&at| at <= to) {
            self.now = at.max(self.now);
            self.dispatcher.wake(self.now);
            self.check_decisions();
            let next = self.dispatcher.next_wake();
            assert!(next.is_none_or(|next| next > self.now), "a wake-up requests another one immediately");
        }
        self.now = to;
    }

    pub(crate) fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Register { endpoint, models, draining } => self.register(*endpoint, *models, *draining),
            Event::Remove { endpoint } => self.remove(*endpoint),
            Event::Submit { class, attempts, model } => self.submit(*class, *attempts, *model),
            Event::Head { request, waiting } => {
                let load = InstanceLoad { running: 4, waiting: *waiting, slots: 6 };
                self.report(*request, Progress::Head { load: Some(load) });
            }
            Event::FirstByte { request } => self.report(*request, Progress::FirstByte),
            Event::End { request, how } => self.end(*request, *how),
            Event::Cancel { request } => self.cancel(*request),
            Event::Stall => {
                self.now += ms(700);
                self.dispatcher.wake(self.now);
            }
        }
        self.check_decisions();
    }

    /// Starts the shutdown.
    pub(crate) fn begin_shutdown(&mut self, end: Duration) {
        self.dispatcher.begin_shutdown(self.now, end);
        self.check_decisions();
    }

    /// Even endpoints serve `tiles`, odd ones are engines.
    fn register(&mut self, endpoint: usize, models: usize, draining: bool) {
        let name = self.name(endpoint);
        self.sequence += 1;
        let resident: Vec<String> = (0..models).map(|model| format!("m{model}")).collect();
        let resident: Vec<&str> = resident.iter().map(String::as_str).collect();
        let mut registered = match endpoint % 2 {
            0 => instance(&name),
            _ => engine(&name, &resident),
        };
        registered.sequence = self.sequence;
        let drained = self.drained.entry(name.clone()).or_default();
        *drained |= draining;
        if draining {
            registered.state = InstanceState::Draining;
        }
        if *drained {
            drop(self.usable.remove(&name))
        } else {
            drop(self.usable.insert(name, resident.iter().map(|&model| model.to_owned()).collect()))
        }
        self.dispatcher.apply(self.now, &FeedEvent::Instance(registered));
    }

    fn remove(&mut self, endpoint: usize) {
        let name = self.name(endpoint);
        self.incarnations[endpoint] += 1;
        self.usable.remove(&name);
        self.dispatcher.apply(self.now, &FeedEvent::Removed { id: name });
    }

    fn submit(&mut self, class: usize, attempts: u32, model: usize) {
        self.next += 1;
        let (id, now) = (self.next, self.now.as_millis() as u64);
        let model = format!("m{model}");
        let request = match class {
            0 => request(id, now),
            1 => Request { route_type: RouteType::Idempotent, route: "read".into(), ..request(id, now) },
            2 => generation(id, now, &model, &[(1, 3_000), (id + 100, 500)]),
            3 => {
                Request { resumable: true, route: "talk".into(), ..generation(id, now, &model, &[(id, 200)]) }
            }
            _ => Request { priority: 0, ..generation(id, now, &model, &[]) },
        };
        let request = Request { max_attempts: attempts, arrived: self.now, ..request };
        let observed = ObservedRequest {
            request: request.clone(),
            attempts: 0,
            in_flight_at: None,
            attempted_endpoints: Vec::new(),
            may_have_run: false,
            deliveries: 0,
        };
        self.arrived.entry(request.backend.to_string()).or_default().push(self.now);
        self.open.insert(request.id, observed);
        self.dispatcher.submit(self.now, request);
    }

    fn nth_in_flight(&self, request: usize) -> Option<RequestId> {
        let in_flight = self.open.iter().filter(|(_, observed)| observed.in_flight_at.is_some());
        in_flight.map(|(&id, _)| id).nth(request)
    }

    fn report(&mut self, request: usize, progress: Progress) {
        let Some(id) = self.nth_in_flight(request) else { return };
        self.dispatcher.progress(self.now, id, self.open[&id].attempts, progress);
    }

    fn end(&mut self, request: usize, how: usize) {
        let Some(id) = self.nth_in_flight(request) else { return };
        let load = Some(InstanceLoad { running: 6, waiting: 2, slots: 6 });
        let end = match how {
            0 => AttemptEnd::NotSent,
            1 => AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
            2 => AttemptEnd::NotExecuted { status: 421, load: None, wrong_instance: false },
            3 => AttemptEnd::Broken,
            4 => AttemptEnd::BrokenMidway,
            5 => AttemptEnd::InvalidResponse,
            6 => AttemptEnd::Answered { success: false, load },
            7 => AttemptEnd::Cancelled,
            _ => AttemptEnd::Answered { success: true, load: None },
        };
        let observed = self.open.get_mut(&id).expect("an open request");
        observed.in_flight_at = None;
        let attempt = observed.attempts;
        match end {
            AttemptEnd::NotSent => {
                observed.deliveries -= 1;
                observed.attempted_endpoints.pop();
            }
            AttemptEnd::Broken | AttemptEnd::BrokenMidway | AttemptEnd::InvalidResponse => {
                observed.may_have_run = true
            }
            AttemptEnd::Answered { .. } | AttemptEnd::Cancelled => {
                self.open.remove(&id);
                self.ended.push(id);
            }
            AttemptEnd::NotExecuted { .. } => {}
        }
        self.dispatcher.ended(self.now, id, attempt, end);
    }

    fn cancel(&mut self, request: usize) {
        let Some(id) = self.open.keys().nth(request).copied() else { return };
        self.open.remove(&id);
        self.ended.push(id);
        self.dispatcher.cancel(self.now, id);
    }

    /// Checks all new decisions against the invariants.
    fn check_decisions(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            self.digest.add_decision(self.now, 0, &decision);
            match decision {
                Decision::Send { request, attempt, instance, .. } => self.sent(request, attempt, &instance),
                Decision::Refuse { request, .. } => {
                    let observed = self.open.remove(&request).expect("refused once, while open");
                    assert!(
                        !observed.may_have_run && observed.in_flight_at.is_none(),
                        "refused although it may have run"
                    );
                    self.ended.push(request);
                }
                Decision::Fail { request, .. } => {
                    let observed = self.open.remove(&request).expect("failed once, while open");
                    assert!(observed.attempts > 0, "failed without any attempt");
                    self.ended.push(request);
                }
            }
        }
    }

    fn sent(&mut self, id: RequestId, attempt: u32, instance: &str) {
        let observed = self.open.get_mut(&id).expect("sent while open");
        assert_eq!(attempt, observed.attempts + 1);
        let resident = self.usable.get(instance).expect("sent to an endpoint in use");
        if let Some(requested) = &observed.request.generation {
            assert!(
                resident.iter().any(|model| *model == *requested.model),
                "sent to an endpoint without the model"
            );
        }
        observed.may_have_run |= observed.in_flight_at.is_some();
        assert!(
            !observed.may_have_run || observed.is_retryable(),
            "sent again although it must not run twice"
        );
        observed.attempts = attempt;
        observed.in_flight_at = Some(instance.to_owned());
        observed.attempted_endpoints.push(instance.to_owned());
        let mut distinct = observed.attempted_endpoints.clone();
        distinct.sort();
        distinct.dedup();
        assert!(distinct.len() as u32 <= observed.request.max_attempts, "sent to too many endpoints");
        observed.deliveries += 1;
        if observed.deliveries > 1 {
            let backend = observed.request.backend.to_string();
            self.retries.entry(backend.clone()).or_default().push(self.now);
            self.check_budget(&backend);
        }
    }

    fn check_budget(&self, backend: &str) {
        let recent = |times: &BTreeMap<String, Vec<Duration>>| {
            let times = times.get(backend).into_iter().flatten();
            times.filter(|&&at| at + WINDOW > self.now).count() as f64
        };
        let allowed =
            self.budget.ratio * recent(&self.arrived) + self.budget.slack / f64::from(2 * LIVE_ROUTERS);
        assert!(recent(&self.retries) <= allowed, "more retries than the budget allows");
    }
}
