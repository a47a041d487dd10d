//! A simulated fleet: several routers that do not communicate, the engines that they share, and clients that retry once
//! after a refusal.

use super::digest::DecisionDigest;
use super::engine::{EngineEvent, EngineSpeed, Job, SimulatedEngine};
use super::{engine, ms};
use lanegate_config::configuration::{Configuration, RouteType};
use lanegate_config::feed::FeedEvent;
use lanegate_dispatch::interface::*;
use lanegate_dispatch::prefix::PromptChain;
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the last arrival within which all requests end.
const LAST_ANSWERS: Duration = Duration::from_secs(16);

const TICK: Duration = Duration::from_millis(2);
/// The retry budget.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_SLACK: f64 = 50.0;

const ENGINE_SPEED: EngineSpeed = EngineSpeed {
    slots: 64,
    memory_tokens: 233_500,
    prefill_per_ms: 38.0,
    step_ms: 4.4,
    step_per_run_ms: 0.05,
    event_tokens: 5,
};

/// How endpoints are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Dispatched,
    /// A random engine that has the model.
    Random,
}

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestClass {
    pub name: &'static str,
    pub rate: f64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
    pub resumable: bool,
    pub attempts: u32,
}

pub(crate) const DRAFT: RequestClass = RequestClass {
    name: "draft",
    rate: 16.5,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output_tokens: 50,
    target_ms: 800,
    deadline_ms: 5_000,
    priority: 1,
    resumable: false,
    attempts: 1,
};

pub(crate) const PAID: RequestClass = RequestClass {
    name: "paid",
    rate: 2.3,
    target_ms: 1_500,
    deadline_ms: 6_000,
    priority: 0,
    resumable: true,
    attempts: 2,
    ..DRAFT
};

pub(crate) const CHAT: RequestClass = RequestClass {
    name: "chat",
    rate: 21.0,
    shared_tokens: 198,
    own_tokens: 628,
    output_tokens: 290,
    target_ms: 500,
    deadline_ms: 15_000,
    priority: 2,
    resumable: false,
    attempts: 2,
};

/// A fault, or another change of the fleet or its load. Times in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    /// The arrival rate of one class is multiplied.
    Burst { from: u64, to: u64, class: &'static str, times: f64 },
    /// An engine does not respond.
    Unresponsive { from: u64, to: u64, engine: usize },
    /// An engine crashes; it is removed from the feed some seconds later.
    Crash { at: u64, engine: usize },
    /// An engine has loaded a model.
    LoadModel { at: u64, engine: usize, model: usize },
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct FleetRun {
    pub policy: Policy,
    pub seed: u64,
    pub routers: usize,
    pub engines: usize,
    pub models: usize,
    pub prefixes: u64,
    pub seconds: u64,
    pub classes: Vec<RequestClass>,
    pub faults: Vec<Fault>,
    /// A model that no engine has at first.
    pub missing_model: Option<usize>,
}

/// The results of the requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    pub submitted: u32,
    pub in_time: u32,
    /// Answered in time on the second submission, after a refusal.
    pub in_time_on_retry: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Tally {
    /// Mean value of a request: 1 if answered in time, `late` if answered late, and the mean of both if answered in
    /// time on the second submission.
    pub(crate) fn value(&self, late: f64) -> f64 {
        let in_time_on_retry = (1.0 + late) / 2.0 * f64::from(self.in_time_on_retry);
        (f64::from(self.in_time) + in_time_on_retry + late * f64::from(self.late))
            / f64::from(self.submitted.max(1))
    }

    pub(crate) fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }

    pub(crate) fn served_fraction(&self) -> f64 {
        f64::from(self.in_time + self.in_time_on_retry + self.late) / f64::from(self.submitted.max(1))
    }
}

/// The results of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub classes: BTreeMap<&'static str, Tally>,
    pub prefilled_tokens: f64,
    pub retries: u32,
    pub rejections: u32,
    pub decisions: u64,
    /// Digest of all decisions, and of the reports of the routers each second.
    pub digest: DecisionDigest,
}

impl Outcome {
    pub(crate) fn class(&self, class: &RequestClass) -> Tally {
        self.classes.get(class.name).copied().unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Client {
    class: RequestClass,
    requested: Generation,
    router: usize,
    first_arrived: Duration,
    arrived: Duration,
    submissions: u32,
    sent: Option<(usize, u32)>,
    first_event: Option<Duration>,
}

struct Fleet {
    run: FleetRun,
    /// Random numbers for the arrivals only; `rng` is for everything else, so that all policies get the same requests.
    arrivals: SmallRng,
    rng: SmallRng,
    now: Duration,
    dispatchers: Vec<Dispatcher>,
    engines: Vec<SimulatedEngine>,
    alive: Vec<bool>,
    models_by_engine: Vec<Vec<usize>>,
    sequence: u64,
    clients: BTreeMap<u64, Client>,
    pending_retries: Vec<(Duration, Client)>,
    removals: Vec<(Duration, usize)>,
    next: u64,
    outcome: Outcome,
    /// Started requests that must not run twice.
    started: BTreeSet<u64>,
    submitted_at: Vec<Duration>,
    retried_at: Vec<Duration>,
}

/// Runs a simulation.
pub(crate) fn simulate(run: FleetRun) -> Outcome {
    let mut fleet = Fleet::new(run);
    let seconds = fleet.run.seconds;
    while fleet.now < Duration::from_secs(seconds) + LAST_ANSWERS {
        fleet.tick();
    }
    assert!(fleet.clients.is_empty(), "requests without an end: {:?}", fleet.clients.keys());
    fleet.outcome.prefilled_tokens = fleet.engines.iter().map(|engine| engine.prefilled_tokens).sum();
    fleet.outcome
}

impl Fleet {
    fn new(run: FleetRun) -> Self {
        let models_by_engine = place_models(run.engines, run.models, run.missing_model);
        let mut fleet = Fleet {
            arrivals: SmallRng::seed_from_u64(run.seed),
            rng: SmallRng::seed_from_u64(run.seed + 1),
            now: Duration::ZERO,
            dispatchers: (0..run.routers).map(|router| dispatcher(router, &run)).collect(),
            engines: (0..run.engines).map(|_| SimulatedEngine::new(ENGINE_SPEED)).collect(),
            alive: vec![true; run.engines],
            models_by_engine,
            sequence: 0,
            clients: BTreeMap::new(),
            pending_retries: Vec::new(),
            removals: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
            started: BTreeSet::new(),
            submitted_at: Vec::new(),
            retried_at: Vec::new(),
            run,
        };
        (0..fleet.run.engines).for_each(|engine| fleet.announce(engine));
        fleet
    }

    fn announce(&mut self, number: usize) {
        self.sequence += 1;
        let models: Vec<String> =
            self.models_by_engine[number].iter().map(|model| format!("m{model}")).collect();
        let models: Vec<&str> = models.iter().map(String::as_str).collect();
        let mut registered = engine(&format!("e{number}"), &models);
        registered.zone = ["a", "b", "c"][number % 3].to_owned();
        registered.sequence = self.sequence;
        let event = FeedEvent::Instance(registered);
        let now = self.now;
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.apply(now, &event));
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.inject_faults();
        self.generate_arrivals();
        self.wake();
        self.work();
        self.expire_clients();
        self.record_reports();
    }

    /// Adds the reports of the routers to the digest, once a second.
    fn record_reports(&mut self) {
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        for dispatcher in &mut self.dispatchers {
            self.outcome.digest.add_summary(&dispatcher.summary(self.now));
            self.outcome.digest.add_demand(&dispatcher.demand_report(self.now));
            self.outcome.digest.add_wake(dispatcher.next_wake());
        }
    }

    fn inject_faults(&mut self) {
        let (from, to) = (self.now - TICK, self.now);
        let is_due = |at: u64| from < ms(at) && ms(at) <= to;
        for fault in self.run.faults.clone() {
            match fault {
                Fault::Crash { at, engine } if is_due(at) => self.crash(engine),
                Fault::LoadModel { at, engine, model } if is_due(at) => {
                    self.models_by_engine[engine].push(model);
                    self.announce(engine);
                }
                _ => {}
            }
        }
        let due: Vec<usize> =
            self.removals.iter().filter(|(at, _)| *at <= to).map(|(_, engine)| *engine).collect();
        self.removals.retain(|(at, _)| *at > to);
        for engine in due {
            let event = FeedEvent::Removed { id: format!("e{engine}") };
            self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.apply(to, &event));
        }
    }

    fn crash(&mut self, engine: usize) {
        self.alive[engine] = false;
        self.removals.push((self.now + Duration::from_secs(3), engine));
        for job in self.engines[engine].crash() {
            self.end(job.router, job.request, job.attempt, AttemptEnd::Broken);
        }
    }

    fn is_unresponsive(&self, number: usize) -> bool {
        self.run.faults.iter().any(|fault| match fault {
            Fault::Unresponsive { from, to, engine } => {
                *engine == number && ms(*from) <= self.now && self.now < ms(*to)
            }
            _ => false,
        })
    }

    fn rate(&self, class: &RequestClass) -> f64 {
        let times = self.run.faults.iter().map(|fault| match fault {
            Fault::Burst { from, to, class: name, times }
                if *name == class.name && ms(*from) <= self.now && self.now < ms(*to) =>
            {
                *times
            }
            _ => 1.0,
        });
        class.rate * times.product::<f64>()
    }

    fn generate_arrivals(&mut self) {
        let is_over = self.now >= Duration::from_secs(self.run.seconds);
        for class in self.run.classes.clone().into_iter().filter(|_| !is_over) {
            let chance = self.rate(&class) * TICK.as_secs_f64();
            if self.arrivals.random::<f64>() < chance {
                let client = self.client(class);
                self.submit(client);
            }
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_retries).into_iter().partition(|(at, _)| *at <= now);
        self.pending_retries = later;
        for (_, client) in due {
            let router = self.rng.random_range(0..self.run.routers);
            self.submit(Client { router, arrived: now, ..client });
        }
    }

    /// A few models get most requests, and so do a few prefixes of each model.
    fn client(&mut self, class: RequestClass) -> Client {
        let model = skewed(&mut self.arrivals, self.run.models as u64);
        let prefix = skewed(&mut self.arrivals, self.run.prefixes);
        let own = self.arrivals.random::<u64>();
        let shared = PromptPart {
            id: 1_000 * model + prefix + u64::from(class.priority) * 1_000_000,
            tokens: class.shared_tokens,
        };
        let requested = Generation {
            model: format!("m{model}").as_str().into(),
            adapter: None,
            prompt_tokens: class.shared_tokens + class.own_tokens,
            output_tokens: class.output_tokens,
            prefix: vec![shared, PromptPart { id: own, tokens: class.own_tokens }],
        };
        self.outcome.classes.entry(class.name).or_default().submitted += 1;
        let router = self.arrivals.random_range(0..self.run.routers);
        let now = self.now;
        Client {
            class,
            requested,
            router,
            first_arrived: now,
            arrived: now,
            submissions: 1,
            sent: None,
            first_event: None,
        }
    }

    fn submit(&mut self, client: Client) {
        self.next += 1;
        self.submitted_at.push(self.now);
        let id = self.next;
        let class = client.class;
        let request = Request {
            id: RequestId(id),
            backend: "llm".into(),
            route: class.name.into(),
            route_type: RouteType::Streaming,
            resumable: class.resumable,
            max_attempts: class.attempts,
            priority: class.priority,
            arrived: self.now,
            target: self.now + ms(class.target_ms),
            deadline: client.first_arrived + ms(class.deadline_ms),
            body_bytes: 0,
            generation: Some(client.requested.clone()),
        };
        let router = client.router;
        self.clients.insert(id, client);
        match self.run.policy {
            Policy::Dispatched => {
                self.dispatchers[router].submit(self.now, request);
                self.execute_decisions(router);
            }
            Policy::Random => self.send_at_random(id),
        }
    }

    fn send_at_random(&mut self, id: u64) {
        let client = &self.clients[&id];
        let model: usize = client.requested.model[1..].parse().expect("a model");
        let eligible: Vec<usize> = (0..self.run.engines)
            .filter(|&e| self.alive[e] && self.models_by_engine[e].contains(&model))
            .collect();
        if eligible.is_empty() {
            return self.refuse(id, ms(300));
        }
        let engine = eligible[self.rng.random_range(0..eligible.len())];
        self.deliver(id, 1, engine, 5);
    }

    fn deliver(&mut self, id: u64, attempt: u32, engine: usize, urgency: u8) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.sent = Some((engine, attempt));
        let job = Job {
            router: client.router,
            request: id,
            attempt,
            urgency,
            chain: PromptChain::of(&client.requested),
            output_tokens: client.class.output_tokens,
        };
        let router = client.router;
        if !self.alive[engine] {
            return self.end(router, id, attempt, AttemptEnd::NotSent);
        }
        if self.engines[engine].offer(job).is_err() {
            self.outcome.rejections += 1;
            let load = Some(self.reported_load(engine));
            self.end(
                router,
                id,
                attempt,
                AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
            );
        }
    }

    fn reported_load(&self, engine: usize) -> InstanceLoad {
        let (running, waiting, slots) = self.engines[engine].load();
        InstanceLoad { running, waiting, slots }
    }

    fn wake(&mut self) {
        for router in 0..self.dispatchers.len() {
            if self.dispatchers[router].next_wake().is_some_and(|at| at <= self.now) {
                self.dispatchers[router].wake(self.now);
                self.execute_decisions(router);
            }
        }
    }

    fn execute_decisions(&mut self, router: usize) {
        for decision in self.dispatchers[router].take_decisions() {
            self.outcome.decisions += 1;
            self.outcome.digest.add_decision(self.now, router, &decision);
            match decision {
                Decision::Send { request, attempt, instance, engine_priority, .. } => {
                    if attempt > 1 {
                        self.outcome.retries += 1;
                        self.retried_at.push(self.now);
                        self.check_budget();
                    }
                    if let Some((engine, _)) = self.clients.get(&request.0).and_then(|client| client.sent) {
                        self.engines[engine].drop_job(router, request.0);
                    }
                    let engine = instance[1..].parse().expect("an engine");
                    self.deliver(request.0, attempt, engine, engine_priority);
                }
                Decision::Refuse { request, retry_after } => self.refuse(request.0, retry_after),
                Decision::Fail { request, .. } => self.fail(request.0),
            }
        }
    }

    fn refuse(&mut self, id: u64, retry_after: Duration) {
        let Some(client) = self.clients.remove(&id) else { return };
        let deadline = client.first_arrived + ms(client.class.deadline_ms);
        if client.submissions > 1 || self.now + retry_after >= deadline {
            self.outcome.classes.entry(client.class.name).or_default().refused += 1;
            return;
        }
        let at = self.now + retry_after;
        self.pending_retries.push((at, Client { submissions: client.submissions + 1, sent: None, ..client }));
    }

    fn fail(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        if let Some((engine, _)) = client.sent {
            self.engines[engine].drop_job(client.router, id);
        }
        self.outcome.classes.entry(client.class.name).or_default().failed += 1;
    }

    fn end(&mut self, router: usize, id: u64, attempt: u32, end: AttemptEnd) {
        if self.run.policy == Policy::Random {
            return match end {
                AttemptEnd::NotExecuted { .. } | AttemptEnd::NotSent => self.refuse(id, ms(300)),
                _ => self.fail(id),
            };
        }
        self.dispatchers[router].ended(self.now, RequestId(id), attempt, end);
        self.execute_decisions(router);
    }

    fn work(&mut self) {
        for number in 0..self.engines.len() {
            if self.is_unresponsive(number) {
                continue;
            }
            for event in self.engines[number].work(TICK) {
                self.on_engine_event(number, event);
            }
            self.check_single_execution(number);
        }
    }

    /// Checks that requests that must not run twice are started once.
    fn check_single_execution(&mut self, number: usize) {
        for (_, request) in std::mem::take(&mut self.engines[number].started) {
            let Some(client) = self.clients.get(&request).filter(|client| !client.class.resumable) else {
                continue;
            };
            assert!(self.started.insert(request), "{} {request} runs twice", client.class.name);
        }
    }

    /// Checks that the retries of all routers together stay within the shared budget.
    fn check_budget(&self) {
        let within = |times: &[Duration], end: Duration| {
            times.iter().filter(|&&at| at <= end && at + RETRY_WINDOW > end).count() as f64
        };
        let ends = [0, 1, 2].map(|half| self.now.saturating_sub(RETRY_WINDOW / 2 * half));
        let most = ends.iter().map(|&end| within(&self.submitted_at, end)).fold(0.0, f64::max);
        assert!(
            within(&self.retried_at, self.now) <= RETRY_RATIO * most + RETRY_SLACK,
            "retry budget exceeded at {:?}",
            self.now
        );
    }

    fn on_engine_event(&mut self, engine: usize, event: EngineEvent) {
        let now = self.now;
        let load = Some(self.reported_load(engine));
        match event {
            EngineEvent::First { router, request, attempt } => {
                if let Some(client) = self.clients.get_mut(&request) {
                    client.first_event.get_or_insert(now);
                }
                let dispatcher = &mut self.dispatchers[router];
                dispatcher.progress(now, RequestId(request), attempt, Progress::Head { load });
                dispatcher.progress(now, RequestId(request), attempt, Progress::FirstByte);
            }
            EngineEvent::Done { router, request, attempt } => {
                self.dispatchers[router].ended(
                    now,
                    RequestId(request),
                    attempt,
                    AttemptEnd::Answered { success: true, load },
                );
                self.served(request);
                self.execute_decisions(router);
            }
        }
    }

    fn served(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        let tally = self.outcome.classes.entry(client.class.name).or_default();
        let in_time =
            client.first_event.is_some_and(|at| at <= client.first_arrived + ms(client.class.target_ms));
        if in_time { tally.in_time += 1 } else { tally.late += 1 }
    }

    /// Clients abandon a stream after their time-out.
    fn expire_clients(&mut self) {
        let now = self.now;
        let has_given_up = |client: &Client| {
            let client_timeout = ms(2_000).max(ms(client.class.target_ms * 4));
            let deadline = client.first_arrived + ms(client.class.deadline_ms);
            client.first_event.is_none() && now > client.arrived + client_timeout || now > deadline
        };
        let left: Vec<u64> =
            self.clients.iter().filter(|(_, client)| has_given_up(client)).map(|(&id, _)| id).collect();
        for id in left {
            let router = self.clients[&id].router;
            self.fail(id);
            self.dispatchers[router].cancel(now, RequestId(id));
            self.execute_decisions(router);
        }
    }
}

fn skewed(rng: &mut SmallRng, count: u64) -> u64 {
    let chance = rng.random::<f64>();
    ((chance * chance * chance) * count as f64) as u64
}

/// Places every model on one engine, and fills the other slots by demand.
fn place_models(engines: usize, models: usize, missing_model: Option<usize>) -> Vec<Vec<usize>> {
    let mut models_by_engine = vec![Vec::new(); engines];
    let mut replicas = vec![0usize; models];
    let present: Vec<usize> = (0..models).filter(|&model| Some(model) != missing_model).collect();
    for &model in present.iter().rev() {
        let engine = least_loaded(&models_by_engine, model).expect("a free model slot");
        models_by_engine[engine].push(model);
        replicas[model] = 1;
    }
    // Demand of a model under the skewed distribution.
    let part = |at: usize| (at as f64 / models as f64).cbrt();
    let need = |model: usize, replicas: &[usize]| (part(model + 1) - part(model)) / replicas[model] as f64;
    for _ in 0..engines * MODEL_SLOTS - present.len() {
        let neediest = present.iter().copied().filter(|&model| replicas[model] < engines);
        let model =
            neediest.max_by(|&a, &b| need(a, &replicas).total_cmp(&need(b, &replicas))).expect("a model");
        let Some(engine) = least_loaded(&models_by_engine, model) else { break };
        models_by_engine[engine].push(model);
        replicas[model] += 1;
    }
    models_by_engine
}

/// Models that fit on one engine.
const MODEL_SLOTS: usize = 4;

fn least_loaded(models_by_engine: &[Vec<usize>], model: usize) -> Option<usize> {
    let eligible = (0..models_by_engine.len()).filter(|&engine| {
        models_by_engine[engine].len() < MODEL_SLOTS && !models_by_engine[engine].contains(&model)
    });
    eligible.min_by_key(|&engine| models_by_engine[engine].len())
}

fn dispatcher(router: usize, run: &FleetRun) -> Dispatcher {
    let mut settings =
        DispatchSettings { zone: ["a", "b", "c"][router % 3].to_owned(), ..DispatchSettings::default() };
    for zone in ["a", "b", "c"] {
        settings.zones.insert(zone.to_owned(), "r".to_owned());
    }
    settings.bounds.retry_slack = RETRY_SLACK;
    let mut dispatcher = Dispatcher::new(settings, router as u64);
    let models: Vec<String> = (0..run.models)
        .map(|model| format!(r#"{{"Name":"m{model}","WeightsMb":1,"LoadTimeS":2}}"#))
        .collect();
    let document = format!(
        r#"{{"Version":1,"Backends":[{{"Name":"llm","Runtime":{{"Capacity":64,"KvCacheTokens":233500,"Models":[{}]}}}}]}}"#,
        models.join(",")
    );
    let configuration: Configuration = serde_json::from_str(&document).expect("a configuration");
    dispatcher.apply(Duration::ZERO, &FeedEvent::Configuration(Arc::new(configuration)));
    dispatcher.apply(Duration::ZERO, &FeedEvent::Routers { live: run.routers as u32 });
    dispatcher.apply(Duration::ZERO, &FeedEvent::Synchronized);
    dispatcher
}
