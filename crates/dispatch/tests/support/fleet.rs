//! A fleet in simulated time: several routers that don't talk, engines that they share, clients that come back
//! once after a refusal.

use super::digest::Digest;
use super::engine::{EngineSpeed, Job, News, SimulatedEngine};
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

/// Time after the last arrival in which all requests end.
const LAST_ANSWERS: Duration = Duration::from_secs(16);

const TICK: Duration = Duration::from_millis(2);
/// The retry budget: the ratio, the window and the slack.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_SLACK: f64 = 50.0;

const SPEED: EngineSpeed = EngineSpeed {
    slots: 64,
    memory_tokens: 233_500,
    read_per_ms: 38.0,
    step_ms: 4.4,
    step_per_run_ms: 0.05,
    event_tokens: 5,
};

/// Who decides where requests go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Dispatched,
    /// Any engine that holds the model, by chance.
    Random,
}

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rate: f64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub priority: u8,
    pub resumable: bool,
    pub attempts: u32,
}

pub const DRAFT: Kind = Kind {
    name: "draft",
    rate: 16.5,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output_tokens: 50,
    aim_ms: 800,
    deadline_ms: 5_000,
    priority: 1,
    resumable: false,
    attempts: 1,
};

pub const PAID: Kind = Kind {
    name: "paid",
    rate: 2.3,
    aim_ms: 1_500,
    deadline_ms: 6_000,
    priority: 0,
    resumable: true,
    attempts: 2,
    ..DRAFT
};

pub const CHAT: Kind = Kind {
    name: "chat",
    rate: 21.0,
    shared_tokens: 198,
    own_tokens: 628,
    output_tokens: 290,
    aim_ms: 500,
    deadline_ms: 15_000,
    priority: 2,
    resumable: false,
    attempts: 2,
};

/// What happens to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// One kind of request comes this many times as often.
    Burst { from: u64, to: u64, kind: &'static str, times: f64 },
    /// An engine says nothing, and its routers hear nothing.
    Dark { from: u64, to: u64, engine: usize },
    /// An engine ends; its heartbeats are missed some seconds later.
    Crash { at: u64, engine: usize },
    /// A model moves: one engine drops it, another takes it, and requests find it in between nowhere.
    Load { at: u64, engine: usize, model: usize },
}

/// A day to be played.
#[derive(Debug, Clone)]
pub struct Day {
    pub policy: Policy,
    pub seed: u64,
    pub routers: usize,
    pub engines: usize,
    pub models: usize,
    pub subjects: u64,
    pub seconds: u64,
    pub kinds: Vec<Kind>,
    pub troubles: Vec<Trouble>,
    /// Model and adapter of a kind that no engine holds at first.
    pub rare_model: Option<usize>,
}

/// How the requests of one kind fared.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    pub asked: u32,
    pub in_time: u32,
    /// In time from the second try, after a refusal.
    pub returned: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Tally {
    /// What they were worth, with a share for late answers, and the mean of both for second tries.
    pub fn worth(&self, late: f64) -> f64 {
        let returned = (1.0 + late) / 2.0 * f64::from(self.returned);
        (f64::from(self.in_time) + returned + late * f64::from(self.late)) / f64::from(self.asked.max(1))
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.returned + self.late) / f64::from(self.asked.max(1))
    }
}

/// What a day came to.
#[derive(Debug, Default)]
pub struct Outcome {
    pub kinds: BTreeMap<&'static str, Tally>,
    pub read_tokens: f64,
    pub repeats: u32,
    pub rejections: u32,
    pub decisions: u64,
    /// Of all decisions, and of what the routers tell each second.
    pub digest: Digest,
}

impl Outcome {
    pub fn kind(&self, kind: &Kind) -> Tally {
        self.kinds.get(kind.name).copied().unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Client {
    kind: Kind,
    wanted: Generation,
    router: usize,
    first_arrived: Duration,
    arrived: Duration,
    tries: u32,
    sent: Option<(usize, u32)>,
    first_event: Option<Duration>,
}

struct Fleet {
    day: Day,
    /// Of the arrivals, and of all else, so that policies see the same requests.
    arrivals: SmallRng,
    rng: SmallRng,
    now: Duration,
    dispatchers: Vec<Dispatcher>,
    engines: Vec<SimulatedEngine>,
    alive: Vec<bool>,
    holds: Vec<Vec<usize>>,
    sequence: u64,
    clients: BTreeMap<u64, Client>,
    returning: Vec<(Duration, Client)>,
    removals: Vec<(Duration, usize)>,
    next: u64,
    outcome: Outcome,
    /// Requests that began to run and may run once.
    begun: BTreeSet<u64>,
    asked_at: Vec<Duration>,
    repeated_at: Vec<Duration>,
}

/// Plays a day.
pub fn play(day: Day) -> Outcome {
    let mut fleet = Fleet::new(day);
    let seconds = fleet.day.seconds;
    while fleet.now < Duration::from_secs(seconds) + LAST_ANSWERS {
        fleet.tick();
    }
    assert!(fleet.clients.is_empty(), "requests without an end: {:?}", fleet.clients.keys());
    fleet.outcome.read_tokens = fleet.engines.iter().map(|engine| engine.read_tokens).sum();
    fleet.outcome
}

impl Fleet {
    fn new(day: Day) -> Self {
        let holds = place(day.engines, day.models, day.rare_model);
        let mut fleet = Fleet {
            arrivals: SmallRng::seed_from_u64(day.seed),
            rng: SmallRng::seed_from_u64(day.seed + 1),
            now: Duration::ZERO,
            dispatchers: (0..day.routers).map(|router| dispatcher(router, &day)).collect(),
            engines: (0..day.engines).map(|_| SimulatedEngine::new(SPEED)).collect(),
            alive: vec![true; day.engines],
            holds,
            sequence: 0,
            clients: BTreeMap::new(),
            returning: Vec::new(),
            removals: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
            begun: BTreeSet::new(),
            asked_at: Vec::new(),
            repeated_at: Vec::new(),
            day,
        };
        (0..fleet.day.engines).for_each(|engine| fleet.announce(engine));
        fleet
    }

    fn announce(&mut self, number: usize) {
        self.sequence += 1;
        let models: Vec<String> = self.holds[number].iter().map(|model| format!("m{model}")).collect();
        let models: Vec<&str> = models.iter().map(String::as_str).collect();
        let mut told = engine(&format!("e{number}"), &models);
        told.zone = ["a", "b", "c"][number % 3].to_owned();
        told.sequence = self.sequence;
        let event = FeedEvent::Instance(told);
        let now = self.now;
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.apply(now, &event));
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.strike();
        self.arrive();
        self.wake();
        self.work();
        self.leave();
        self.observe();
    }

    /// Adds what the routers tell of themselves to the digest, once a second.
    fn observe(&mut self) {
        if !self.now.as_millis().is_multiple_of(1_000) {
            return;
        }
        for dispatcher in &mut self.dispatchers {
            self.outcome.digest.add_summary(&dispatcher.summary(self.now));
            self.outcome.digest.add_demand(&dispatcher.demand_report(self.now));
            self.outcome.digest.add_wake(dispatcher.next_wake());
        }
    }

    fn strike(&mut self) {
        let (from, to) = (self.now - TICK, self.now);
        let struck = |at: u64| from < ms(at) && ms(at) <= to;
        for trouble in self.day.troubles.clone() {
            match trouble {
                Trouble::Crash { at, engine } if struck(at) => self.crash(engine),
                Trouble::Load { at, engine, model } if struck(at) => {
                    self.holds[engine].push(model);
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

    fn is_dark(&self, number: usize) -> bool {
        self.day.troubles.iter().any(|trouble| match trouble {
            Trouble::Dark { from, to, engine } => {
                *engine == number && ms(*from) <= self.now && self.now < ms(*to)
            }
            _ => false,
        })
    }

    fn rate(&self, kind: &Kind) -> f64 {
        let times = self.day.troubles.iter().map(|trouble| match trouble {
            Trouble::Burst { from, to, kind: name, times }
                if *name == kind.name && ms(*from) <= self.now && self.now < ms(*to) =>
            {
                *times
            }
            _ => 1.0,
        });
        kind.rate * times.product::<f64>()
    }

    fn arrive(&mut self) {
        let is_over = self.now >= Duration::from_secs(self.day.seconds);
        for kind in self.day.kinds.clone().into_iter().filter(|_| !is_over) {
            let chance = self.rate(&kind) * TICK.as_secs_f64();
            if self.arrivals.random::<f64>() < chance {
                let client = self.client(kind);
                self.submit(client);
            }
        }
        let now = self.now;
        let (back, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.returning).into_iter().partition(|(at, _)| *at <= now);
        self.returning = later;
        for (_, client) in back {
            let router = self.rng.random_range(0..self.day.routers);
            self.submit(Client { router, arrived: now, ..client });
        }
    }

    /// A few models get most requests, and a few subjects of each model too.
    fn client(&mut self, kind: Kind) -> Client {
        let model = skewed(&mut self.arrivals, self.day.models as u64);
        let subject = skewed(&mut self.arrivals, self.day.subjects);
        let own = self.arrivals.random::<u64>();
        let shared = PromptPart {
            id: 1_000 * model + subject + u64::from(kind.priority) * 1_000_000,
            tokens: kind.shared_tokens,
        };
        let wanted = Generation {
            model: format!("m{model}").as_str().into(),
            adapter: None,
            prompt_tokens: kind.shared_tokens + kind.own_tokens,
            output_tokens: kind.output_tokens,
            prefix: vec![shared, PromptPart { id: own, tokens: kind.own_tokens }],
        };
        self.outcome.kinds.entry(kind.name).or_default().asked += 1;
        let router = self.arrivals.random_range(0..self.day.routers);
        let now = self.now;
        Client {
            kind,
            wanted,
            router,
            first_arrived: now,
            arrived: now,
            tries: 1,
            sent: None,
            first_event: None,
        }
    }

    fn submit(&mut self, client: Client) {
        self.next += 1;
        self.asked_at.push(self.now);
        let id = self.next;
        let kind = client.kind;
        let request = Request {
            id: RequestId(id),
            backend: "llm".into(),
            route: kind.name.into(),
            route_type: RouteType::Streaming,
            resumable: kind.resumable,
            max_attempts: kind.attempts,
            priority: kind.priority,
            arrived: self.now,
            target: self.now + ms(kind.aim_ms),
            deadline: client.first_arrived + ms(kind.deadline_ms),
            body_bytes: 0,
            generation: Some(client.wanted.clone()),
        };
        let router = client.router;
        self.clients.insert(id, client);
        match self.day.policy {
            Policy::Dispatched => {
                self.dispatchers[router].submit(self.now, request);
                self.carry_out(router);
            }
            Policy::Random => self.send_by_chance(id),
        }
    }

    fn send_by_chance(&mut self, id: u64) {
        let client = &self.clients[&id];
        let model: usize = client.wanted.model[1..].parse().expect("a model");
        let able: Vec<usize> =
            (0..self.day.engines).filter(|&e| self.alive[e] && self.holds[e].contains(&model)).collect();
        if able.is_empty() {
            return self.refuse(id, ms(300));
        }
        let engine = able[self.rng.random_range(0..able.len())];
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
            chain: PromptChain::of(&client.wanted),
            output_tokens: client.kind.output_tokens,
        };
        let router = client.router;
        if !self.alive[engine] {
            return self.end(router, id, attempt, AttemptEnd::NotSent);
        }
        if self.engines[engine].offer(job).is_err() {
            self.outcome.rejections += 1;
            let load = Some(self.told_load(engine));
            self.end(
                router,
                id,
                attempt,
                AttemptEnd::NotExecuted { status: 503, load, wrong_instance: false },
            );
        }
    }

    fn told_load(&self, engine: usize) -> InstanceLoad {
        let (running, waiting, slots) = self.engines[engine].load();
        InstanceLoad { running, waiting, slots }
    }

    fn wake(&mut self) {
        for router in 0..self.dispatchers.len() {
            if self.dispatchers[router].next_wake().is_some_and(|at| at <= self.now) {
                self.dispatchers[router].wake(self.now);
                self.carry_out(router);
            }
        }
    }

    fn carry_out(&mut self, router: usize) {
        for decision in self.dispatchers[router].take_decisions() {
            self.outcome.decisions += 1;
            self.outcome.digest.add_decision(self.now, router, &decision);
            match decision {
                Decision::Send { request, attempt, instance, engine_priority, .. } => {
                    if attempt > 1 {
                        self.outcome.repeats += 1;
                        self.repeated_at.push(self.now);
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
        let deadline = client.first_arrived + ms(client.kind.deadline_ms);
        if client.tries > 1 || self.now + retry_after >= deadline {
            self.outcome.kinds.entry(client.kind.name).or_default().refused += 1;
            return;
        }
        let at = self.now + retry_after;
        self.returning.push((at, Client { tries: client.tries + 1, sent: None, ..client }));
    }

    fn fail(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        if let Some((engine, _)) = client.sent {
            self.engines[engine].drop_job(client.router, id);
        }
        self.outcome.kinds.entry(client.kind.name).or_default().failed += 1;
    }

    fn end(&mut self, router: usize, id: u64, attempt: u32, end: AttemptEnd) {
        if self.day.policy == Policy::Random {
            return match end {
                AttemptEnd::NotExecuted { .. } | AttemptEnd::NotSent => self.refuse(id, ms(300)),
                _ => self.fail(id),
            };
        }
        self.dispatchers[router].ended(self.now, RequestId(id), attempt, end);
        self.carry_out(router);
    }

    fn work(&mut self) {
        for number in 0..self.engines.len() {
            if self.is_dark(number) {
                continue;
            }
            for news in self.engines[number].work(TICK) {
                self.hear(number, news);
            }
            self.check_runs(number);
        }
    }

    /// What may run once begins to run once.
    fn check_runs(&mut self, number: usize) {
        for (_, request) in std::mem::take(&mut self.engines[number].begun) {
            let Some(client) = self.clients.get(&request).filter(|client| !client.kind.resumable) else {
                continue;
            };
            assert!(self.begun.insert(request), "{} {request} runs twice", client.kind.name);
        }
    }

    /// Repeats of all routers together stay within the shared budget.
    fn check_budget(&self) {
        let within = |times: &[Duration], end: Duration| {
            times.iter().filter(|&&at| at <= end && at + RETRY_WINDOW > end).count() as f64
        };
        let ends = [0, 1, 2].map(|half| self.now.saturating_sub(RETRY_WINDOW / 2 * half));
        let most = ends.iter().map(|&end| within(&self.asked_at, end)).fold(0.0, f64::max);
        assert!(
            within(&self.repeated_at, self.now) <= RETRY_RATIO * most + RETRY_SLACK,
            "over budget at {:?}",
            self.now
        );
    }

    fn hear(&mut self, engine: usize, news: News) {
        let now = self.now;
        let load = Some(self.told_load(engine));
        match news {
            News::First { router, request, attempt } => {
                if let Some(client) = self.clients.get_mut(&request) {
                    client.first_event.get_or_insert(now);
                }
                let dispatcher = &mut self.dispatchers[router];
                dispatcher.progress(now, RequestId(request), attempt, Progress::Head { load });
                dispatcher.progress(now, RequestId(request), attempt, Progress::FirstByte);
            }
            News::Done { router, request, attempt } => {
                self.dispatchers[router].ended(
                    now,
                    RequestId(request),
                    attempt,
                    AttemptEnd::Answered { success: true, load },
                );
                self.served(request);
                self.carry_out(router);
            }
        }
    }

    fn served(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        let tally = self.outcome.kinds.entry(client.kind.name).or_default();
        let in_time =
            client.first_event.is_some_and(|at| at <= client.first_arrived + ms(client.kind.aim_ms));
        match in_time {
            true => tally.in_time += 1,
            false => tally.late += 1,
        }
    }

    /// Clients give a stream up after a silence.
    fn leave(&mut self) {
        let now = self.now;
        let gone = |client: &Client| {
            let patience = ms(2_000).max(ms(client.kind.aim_ms * 4));
            let deadline = client.first_arrived + ms(client.kind.deadline_ms);
            client.first_event.is_none() && now > client.arrived + patience || now > deadline
        };
        let left: Vec<u64> =
            self.clients.iter().filter(|(_, client)| gone(client)).map(|(&id, _)| id).collect();
        for id in left {
            let router = self.clients[&id].router;
            self.fail(id);
            self.dispatchers[router].cancel(now, RequestId(id));
            self.carry_out(router);
        }
    }
}

fn skewed(rng: &mut SmallRng, many: u64) -> u64 {
    let chance = rng.random::<f64>();
    ((chance * chance * chance) * many as f64) as u64
}

/// Every model on one engine, and the rest of the places by demand.
fn place(engines: usize, models: usize, absent: Option<usize>) -> Vec<Vec<usize>> {
    let mut holds = vec![Vec::new(); engines];
    let mut copies = vec![0usize; models];
    let present: Vec<usize> = (0..models).filter(|&model| Some(model) != absent).collect();
    for &model in present.iter().rev() {
        let engine = emptiest(&holds, model).expect("room");
        holds[engine].push(model);
        copies[model] = 1;
    }
    // Demand of a model under the skew: the part of the cube root that falls to it.
    let part = |at: usize| (at as f64 / models as f64).cbrt();
    let need = |model: usize, copies: &[usize]| (part(model + 1) - part(model)) / copies[model] as f64;
    for _ in 0..engines * PLACES - present.len() {
        let neediest = present.iter().copied().filter(|&model| copies[model] < engines);
        let model = neediest.max_by(|&a, &b| need(a, &copies).total_cmp(&need(b, &copies))).expect("a model");
        let Some(engine) = emptiest(&holds, model) else { break };
        holds[engine].push(model);
        copies[model] += 1;
    }
    holds
}

/// Models that an engine has room for.
const PLACES: usize = 4;

fn emptiest(holds: &[Vec<usize>], model: usize) -> Option<usize> {
    let able =
        (0..holds.len()).filter(|&engine| holds[engine].len() < PLACES && !holds[engine].contains(&model));
    able.min_by_key(|&engine| holds[engine].len())
}

fn dispatcher(router: usize, day: &Day) -> Dispatcher {
    let mut settings =
        DispatchSettings { zone: ["a", "b", "c"][router % 3].to_owned(), ..DispatchSettings::default() };
    for zone in ["a", "b", "c"] {
        settings.zones.insert(zone.to_owned(), "r".to_owned());
    }
    settings.bounds.retry_slack = RETRY_SLACK;
    let mut dispatcher = Dispatcher::new(settings, router as u64);
    let models: Vec<String> = (0..day.models)
        .map(|model| format!(r#"{{"Name":"m{model}","WeightsMb":1,"LoadTimeS":2}}"#))
        .collect();
    let document = format!(
        r#"{{"Version":1,"Backends":[{{"Name":"llm","Runtime":{{"Capacity":64,"KvCacheTokens":233500,"Models":[{}]}}}}]}}"#,
        models.join(",")
    );
    let configuration: Configuration = serde_json::from_str(&document).expect("a configuration");
    dispatcher.apply(Duration::ZERO, &FeedEvent::Configuration(Arc::new(configuration)));
    dispatcher.apply(Duration::ZERO, &FeedEvent::Routers { live: day.routers as u32 });
    dispatcher.apply(Duration::ZERO, &FeedEvent::Synchronized);
    dispatcher
}
