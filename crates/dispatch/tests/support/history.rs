//! Random histories of one dispatcher, checked against the rules.

use super::digest::Digest;
use super::{engine, generation, instance, ms, request};
use lanegate_config::configuration::RouteType;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::InstanceState;
use lanegate_config::mechanism::SwitchedOff;
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::collections::BTreeMap;
use std::time::Duration;

const LIVE: u32 = 2;
const WINDOW: Duration = Duration::from_secs(10);
pub const ENDPOINTS: usize = 5;

/// One thing that happens, after a pause in ms.
#[derive(Debug, Clone)]
pub enum Happening {
    Register { endpoint: usize, models: usize, draining: bool },
    Remove { endpoint: usize },
    Submit { kind: usize, attempts: u32, model: usize },
    Head { request: usize, waiting: u32 },
    FirstByte { request: usize },
    End { request: usize, how: usize },
    Cancel { request: usize },
    Oversleep,
}

/// A request as a strict observer sees it.
pub struct Watched {
    request: Request,
    attempts: u32,
    under_way: Option<String>,
    reached: Vec<String>,
    may_have_run: bool,
    arrivals: u32,
}

impl Watched {
    fn is_repeatable(&self) -> bool {
        match self.request.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.request.resumable,
        }
    }
}

/// Figures of the retry budget.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    pub ratio: f64,
    pub slack: f64,
}

/// A dispatcher among random events, and the rules that its decisions are checked against.
pub struct World {
    budget: Budget,
    pub dispatcher: Dispatcher,
    pub now: Duration,
    incarnations: [u32; ENDPOINTS],
    /// Instances that may get requests.
    usable: BTreeMap<String, Vec<String>>,
    drained: BTreeMap<String, bool>,
    sequence: u64,
    pub open: BTreeMap<RequestId, Watched>,
    pub ended: Vec<RequestId>,
    next: u64,
    /// Requests and repeats by service.
    arrived: BTreeMap<String, Vec<Duration>>,
    repeats: BTreeMap<String, Vec<Duration>>,
    /// Of all decisions.
    pub digest: Digest,
}

impl World {
    pub fn new(budget: Budget, switched_off: SwitchedOff) -> Self {
        let mut settings = DispatchSettings { zone: "a".to_owned(), ..DispatchSettings::default() };
        settings.switched_off = switched_off;
        settings.bounds.retry_slack = budget.slack;
        settings.bounds.retry_ratio = budget.ratio;
        settings.bounds.retry_window_s = WINDOW.as_secs_f64();
        let mut dispatcher = Dispatcher::new(settings, 7);
        dispatcher.apply(Duration::ZERO, &FeedEvent::Routers { live: LIVE });
        dispatcher.apply(Duration::ZERO, &FeedEvent::Synchronized);
        World {
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
            repeats: BTreeMap::new(),
            digest: Digest::default(),
        }
    }

    fn name(&self, endpoint: usize) -> String {
        format!("i{endpoint}-{}", self.incarnations[endpoint])
    }

    pub fn pass(&mut self, to: Duration) {
        while let Some(at) = self.dispatcher.next_wake().filter(|&at| at <= to) {
            self.now = at.max(self.now);
            self.dispatcher.wake(self.now);
            self.watch();
            let next = self.dispatcher.next_wake();
            assert!(next.is_none_or(|next| next > self.now), "a wake asks for another at once");
        }
        self.now = to;
    }

    pub fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Register { endpoint, models, draining } => {
                self.register(*endpoint, *models, *draining)
            }
            Happening::Remove { endpoint } => self.remove(*endpoint),
            Happening::Submit { kind, attempts, model } => self.submit(*kind, *attempts, *model),
            Happening::Head { request, waiting } => {
                let load = InstanceLoad { running: 4, waiting: *waiting, slots: 6 };
                self.report(*request, Progress::Head { load: Some(load) });
            }
            Happening::FirstByte { request } => self.report(*request, Progress::FirstByte),
            Happening::End { request, how } => self.end(*request, *how),
            Happening::Cancel { request } => self.cancel(*request),
            Happening::Oversleep => {
                self.now += ms(700);
                self.dispatcher.wake(self.now);
            }
        }
        self.watch();
    }

    /// The process is asked to end.
    pub fn end_by(&mut self, end: Duration) {
        self.dispatcher.end_by(self.now, end);
        self.watch();
    }

    /// Even endpoints serve `tiles`, odd ones are engines.
    fn register(&mut self, endpoint: usize, models: usize, draining: bool) {
        let name = self.name(endpoint);
        self.sequence += 1;
        let held: Vec<String> = (0..models).map(|model| format!("m{model}")).collect();
        let held: Vec<&str> = held.iter().map(String::as_str).collect();
        let mut told = match endpoint % 2 {
            0 => instance(&name),
            _ => engine(&name, &held),
        };
        told.sequence = self.sequence;
        let drained = self.drained.entry(name.clone()).or_default();
        *drained |= draining;
        if draining {
            told.state = InstanceState::Draining;
        }
        match *drained {
            true => drop(self.usable.remove(&name)),
            false => drop(self.usable.insert(name, held.iter().map(|&model| model.to_owned()).collect())),
        }
        self.dispatcher.apply(self.now, &FeedEvent::Instance(told));
    }

    fn remove(&mut self, endpoint: usize) {
        let name = self.name(endpoint);
        self.incarnations[endpoint] += 1;
        self.usable.remove(&name);
        self.dispatcher.apply(self.now, &FeedEvent::Removed { id: name });
    }

    fn submit(&mut self, kind: usize, attempts: u32, model: usize) {
        self.next += 1;
        let (id, now) = (self.next, self.now.as_millis() as u64);
        let model = format!("m{model}");
        let made = match kind {
            0 => request(id, now),
            1 => Request { route_type: RouteType::Idempotent, route: "read".into(), ..request(id, now) },
            2 => generation(id, now, &model, &[(1, 3_000), (id + 100, 500)]),
            3 => {
                Request { resumable: true, route: "talk".into(), ..generation(id, now, &model, &[(id, 200)]) }
            }
            _ => Request { priority: 0, ..generation(id, now, &model, &[]) },
        };
        let made = Request { max_attempts: attempts, arrived: self.now, ..made };
        let watched = Watched {
            request: made.clone(),
            attempts: 0,
            under_way: None,
            reached: Vec::new(),
            may_have_run: false,
            arrivals: 0,
        };
        self.arrived.entry(made.backend.to_string()).or_default().push(self.now);
        self.open.insert(made.id, watched);
        self.dispatcher.submit(self.now, made);
    }

    fn under_way(&self, request: usize) -> Option<RequestId> {
        let under_way = self.open.iter().filter(|(_, watched)| watched.under_way.is_some());
        under_way.map(|(&id, _)| id).nth(request)
    }

    fn report(&mut self, request: usize, progress: Progress) {
        let Some(id) = self.under_way(request) else { return };
        self.dispatcher.progress(self.now, id, self.open[&id].attempts, progress);
    }

    fn end(&mut self, request: usize, how: usize) {
        let Some(id) = self.under_way(request) else { return };
        let load = Some(InstanceLoad { running: 6, waiting: 2, slots: 6 });
        let end = match how {
            0 => AttemptEnd::NotSent,
            1 => AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
            2 => AttemptEnd::NotExecuted { status: 421, load: None, wrong_instance: false },
            3 => AttemptEnd::Broken,
            4 => AttemptEnd::BrokenMidway,
            5 => AttemptEnd::Garbled,
            6 => AttemptEnd::Answered { success: false, load },
            7 => AttemptEnd::Cancelled,
            _ => AttemptEnd::Answered { success: true, load: None },
        };
        let watched = self.open.get_mut(&id).expect("an open request");
        watched.under_way = None;
        let attempt = watched.attempts;
        match end {
            AttemptEnd::NotSent => {
                watched.arrivals -= 1;
                watched.reached.pop();
            }
            AttemptEnd::Broken | AttemptEnd::BrokenMidway | AttemptEnd::Garbled => {
                watched.may_have_run = true
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

    /// Checks all decisions against the rules.
    fn watch(&mut self) {
        for decision in self.dispatcher.take_decisions() {
            self.digest.add_decision(self.now, 0, &decision);
            match decision {
                Decision::Send { request, attempt, instance, .. } => self.sent(request, attempt, &instance),
                Decision::Refuse { request, .. } => {
                    let watched = self.open.remove(&request).expect("refused once, while open");
                    assert!(
                        !watched.may_have_run && watched.under_way.is_none(),
                        "refused, but may have run"
                    );
                    self.ended.push(request);
                }
                Decision::Fail { request, .. } => {
                    let watched = self.open.remove(&request).expect("failed once, while open");
                    assert!(watched.attempts > 0, "failed without any attempt");
                    self.ended.push(request);
                }
            }
        }
    }

    fn sent(&mut self, id: RequestId, attempt: u32, instance: &str) {
        let watched = self.open.get_mut(&id).expect("sent while open");
        assert_eq!(attempt, watched.attempts + 1);
        let held = self.usable.get(instance).expect("sent to an endpoint in use");
        if let Some(wanted) = &watched.request.generation {
            assert!(held.iter().any(|model| *model == *wanted.model), "sent where the model isn't");
        }
        watched.may_have_run |= watched.under_way.is_some();
        assert!(!watched.may_have_run || watched.is_repeatable(), "sent twice though it may run once");
        watched.attempts = attempt;
        watched.under_way = Some(instance.to_owned());
        watched.reached.push(instance.to_owned());
        let mut distinct = watched.reached.clone();
        distinct.sort();
        distinct.dedup();
        assert!(distinct.len() as u32 <= watched.request.max_attempts, "sent to too many endpoints");
        watched.arrivals += 1;
        if watched.arrivals > 1 {
            let backend = watched.request.backend.to_string();
            self.repeats.entry(backend.clone()).or_default().push(self.now);
            self.check_budget(&backend);
        }
    }

    fn check_budget(&self, backend: &str) {
        let recent = |times: &BTreeMap<String, Vec<Duration>>| {
            let times = times.get(backend).into_iter().flatten();
            times.filter(|&&at| at + WINDOW > self.now).count() as f64
        };
        let allowed = self.budget.ratio * recent(&self.arrived) + self.budget.slack / f64::from(2 * LIVE);
        assert!(recent(&self.repeats) <= allowed, "more repeats than the budget allows");
    }
}
