//! Simulates messages in flight, heartbeats and demand reports around a placer.

mod faults;
mod network;

use super::check::{Checks, OVERSHOOT, WINDOW_MS};
use super::decision_digest::DecisionDigest;
use super::fleet::{Endpoint, size};
use super::random::Random;
use lanegate_config::configuration::{Model, Runtime};
use lanegate_config::demand::{DemandReport, ModelDemand};
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::SwitchedOff;
use lanegate_placement::{Action, EndpointReport, Order, Placer, PlacerSettings, StartMode};
use network::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const BACKEND: &str = "models";
const HEARTBEAT_MS: u64 = 1_200;
const DEMAND_MS: u64 = 1_000;
const REPORT_LAG_MS: u64 = 300;
const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;
/// Time without a heartbeat after which an endpoint that is not known to have crashed is removed.
const REMOVAL_TIMEOUT_MS: u64 = 4_200;
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Probability that an unanswered order, or a delayed heartbeat, still arrives.
const LATE_ARRIVAL_PROBABILITY: f64 = 0.5;
/// Time after its sending until which an unanswered order may arrive.
const LATEST_ARRIVAL_MS: u64 = 1_400;

/// Requests a second for one item.
#[derive(Clone)]
pub(crate) struct ItemDemand {
    pub model: String,
    pub adapter: Option<String>,
    pub rate: f64,
}

/// The newest registration of an incarnation.
struct Registration {
    instance: Instance,
    last_heartbeat_ms: u64,
}

pub(crate) struct Simulation {
    pub now_ms: u64,
    pub runtime: Runtime,
    pub placer: Placer,
    pub endpoints: Vec<Endpoint>,
    pub demand: Vec<ItemDemand>,
    pub checks: Checks,
    pub orders: Vec<(u64, Order)>,
    /// Digest of the placer's actions and their times.
    pub decisions: DecisionDigest,
    pub conflicts: u64,
    /// Report requests beyond the first from a placer to an incarnation.
    pub report_requests: u64,
    /// Incarnations from which a report was requested, by generation of the placer.
    pub first_report_requests: BTreeSet<(u32, String)>,
    pub unplaced: Vec<(u64, String, u32)>,
    pub requests: u64,
    pub loss: f64,
    /// Largest delay of a registration, ms.
    pub max_heartbeat_delay_ms: u64,
    pub routers: usize,
    pub random: Random,
    pub generation: u32,
    switched_off: SwitchedOff,
    messages: BTreeMap<(u64, u64), (u32, Message)>,
    sent: u64,
    past_reports: BTreeMap<(u64, String), EndpointReport>,
    /// The newest registration of each incarnation, which every controller has.
    registry: BTreeMap<String, Registration>,
}

pub(crate) fn runtime(models: usize, size_mb: f64, load_s: f64, adapters: u32, adapter_mb: f64) -> Runtime {
    let model = |number: usize| Model {
        name: format!("m{number}"),
        weights_mb: size_mb,
        load_time_s: load_s,
        adapters,
        adapter_size_mb: adapter_mb,
    };
    Runtime {
        capacity: 64,
        kv_cache_tokens: 233_000.0,
        stride: None,
        models: (1..=models).map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 8,
        loads_per_s: 2.8,
    }
}

fn settings(start: StartMode, switched_off: SwitchedOff) -> PlacerSettings {
    PlacerSettings {
        rate_limit_window: Duration::from_millis(WINDOW_MS),
        rate_limit_overshoot: OVERSHOOT,
        start,
        switched_off,
    }
}

impl Simulation {
    pub(crate) fn new(runtime: Runtime, endpoints: usize, zones: usize, seed: u64) -> Simulation {
        Simulation::without(SwitchedOff::default(), runtime, endpoints, zones, seed)
    }

    /// A simulation with some mechanisms switched off.
    pub(crate) fn without(
        switched_off: SwitchedOff,
        runtime: Runtime,
        endpoints: usize,
        zones: usize,
        seed: u64,
    ) -> Simulation {
        let mut placer =
            Placer::new(Duration::ZERO, BACKEND, seed, &settings(StartMode::First, switched_off));
        placer.configure(Duration::ZERO, &runtime);
        let mut random = Random::new(seed);
        let endpoints = (0..endpoints).map(|number| endpoint(number, zones, &mut random)).collect();
        Simulation {
            now_ms: 0,
            runtime,
            placer,
            endpoints,
            demand: Vec::new(),
            checks: Checks::default(),
            orders: Vec::new(),
            decisions: DecisionDigest::default(),
            conflicts: 0,
            report_requests: 0,
            first_report_requests: BTreeSet::new(),
            unplaced: Vec::new(),
            requests: 0,
            loss: 0.0,
            max_heartbeat_delay_ms: 100,
            routers: 3,
            random,
            generation: 0,
            switched_off,
            messages: BTreeMap::new(),
            sent: 0,
            past_reports: BTreeMap::new(),
            registry: BTreeMap::new(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 10;
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        for endpoint in &mut self.endpoints {
            endpoint.advance(now_ms);
        }
        self.heartbeats();
        self.end_partitions();
        self.remove_unresponsive_endpoints();
        self.deliver();
        if now_ms.is_multiple_of(100) {
            self.record_reports();
        }
        for router in 0..self.routers {
            if now_ms % DEMAND_MS == router as u64 * DEMAND_MS / self.routers as u64 / 10 * 10 {
                self.report_demand(router);
            }
        }
        if self.placer.next_wake().is_some_and(|at| at <= self.now()) {
            self.placer.wake(self.now());
        }
        self.process_actions();
        self.decisions.record_placer(
            &self.placer,
            self.endpoints.iter().map(|endpoint| (&*endpoint.name, endpoint.id())),
        );
        self.checks.record_concurrent_loads(&self.endpoints);
        self.checks.check_blocked_orders(now_ms, self.placer.violations());
    }

    fn process_actions(&mut self) {
        while let Some(action) = self.placer.next_action() {
            self.decisions.record_action(self.now_ms, &action);
            match action {
                Action::Order(order) => self.order_sent(order),
                Action::RequestReport { instance, address } => {
                    let first = self.first_report_requests.insert((self.generation, instance.to_string()));
                    self.report_requests += u64::from(!first);
                    let delay = self.delay();
                    self.send(delay, Message::ReportRequest(address, instance.to_string()));
                }
            }
        }
    }

    fn record_reports(&mut self) {
        let now_ms = self.now_ms;
        self.past_reports.retain(|(at, _), _| *at + 2_000 > now_ms);
        for endpoint in self.endpoints.iter().filter(|endpoint| endpoint.up) {
            self.past_reports.insert((now_ms, endpoint.id()), endpoint.report());
        }
    }

    fn heartbeats(&mut self) {
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            if !endpoint.up || self.now_ms < endpoint.next_heartbeat_ms {
                continue;
            }
            endpoint.next_heartbeat_ms = self.now_ms + HEARTBEAT_MS;
            endpoint.heartbeats += 1;
            let instance = endpoint.instance(BACKEND);
            let delay = 10 + self.random.below(self.max_heartbeat_delay_ms / 10) * 10;
            if self.random.unit() >= self.loss {
                self.send(delay, Message::Instance(Box::new(instance)));
            }
        }
    }

    fn report_demand(&mut self, router: usize) {
        let mut models = Vec::new();
        for demanded in self.demand.clone() {
            let requests = self.random.poisson(demanded.rate / self.routers as f64);
            if requests == 0 {
                continue;
            }
            let placed = self.replicas(&demanded.model, demanded.adapter.as_deref()) > 0;
            let unplaced = if placed { 0 } else { requests };
            self.requests += u64::from(requests);
            self.checks.requested(self.now_ms, &demanded.model);
            if unplaced > 0 {
                let name = format!("{}/{}", demanded.model, demanded.adapter.as_deref().unwrap_or(""));
                self.unplaced.push((self.now_ms, name, unplaced));
            }
            models.push(ModelDemand {
                backend: BACKEND.into(),
                model: demanded.model,
                adapter: demanded.adapter,
                requests,
                tokens: u64::from(requests) * 3_000,
                unplaced,
            });
        }
        let report = DemandReport { period_ms: DEMAND_MS as u32, models };
        self.placer.add_demand(self.now(), &format!("router-{router}"), &report);
        self.process_actions();
    }

    /// Ready endpoints that have an item resident.
    pub(crate) fn replicas(&self, model: &str, adapter: Option<&str>) -> usize {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.up && endpoint.ready);
        ready.filter(|endpoint| endpoint.is_resident(model, adapter)).count()
    }

    pub(crate) fn zones(&self, model: &str) -> usize {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.up && endpoint.ready);
        let zones: BTreeSet<&str> = ready
            .filter(|endpoint| endpoint.is_resident(model, None))
            .map(|endpoint| &*endpoint.zone)
            .collect();
        zones.len()
    }

    pub(crate) fn place(&mut self, name: &str, models: &[&str]) {
        if let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) {
            for model in models {
                endpoint.models.entry((*model).into()).or_default();
                endpoint.disk.insert((*model).into());
            }
        }
    }

    /// Places models on the endpoints at the start: those in demand on many endpoints, the others on one each.
    pub(crate) fn fill(&mut self) {
        let mut models: Vec<ItemDemand> =
            self.demand.iter().filter(|demanded| demanded.adapter.is_none()).cloned().collect();
        models.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        let total: f64 = models.iter().map(|demanded| demanded.rate).sum();
        for replica in 1..=self.endpoints.len() {
            for demanded in &models {
                let target_replicas = (demanded.rate / total * self.endpoints.len() as f64).ceil();
                if replica as f64 <= target_replicas {
                    self.place_on_emptiest(&demanded.model);
                }
            }
        }
    }

    fn place_on_emptiest(&mut self, model: &str) {
        let size = size(&self.runtime, model, false);
        let capacity_mb = self.runtime.weights_mb;
        let runtime = &self.runtime;
        let fitting = self.endpoints.iter_mut().filter(|endpoint| {
            !endpoint.models.contains_key(model) && endpoint.used_mb(runtime) + size <= capacity_mb
        });
        if let Some(endpoint) = fitting.min_by_key(|endpoint| endpoint.models.len()) {
            endpoint.models.insert(model.into(), BTreeSet::new());
            endpoint.disk.insert(model.into());
        }
    }
}

fn endpoint(number: usize, zones: usize, random: &mut Random) -> Endpoint {
    Endpoint {
        name: format!("e{}", number + 1),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 9_000 + number as u16)),
        zone: format!("z{}", number % zones + 1),
        ready: true,
        remaining_ms: None,
        models: BTreeMap::new(),
        disk: BTreeSet::new(),
        work: None,
        revision: 0,
        heartbeats: 0,
        next_heartbeat_ms: random.below(120) * 10,
        up: true,
        partition: None,
        partition_ends_ms: 0,
        delayed_heartbeat: None,
    }
}
