//! All that is known of endpoints and services, for the choice among them.

use crate::budget::BudgetBounds;
use crate::endpoints::{Endpoint, EndpointKey, EndpointTable, TableChange};
use crate::health::Fault;
use crate::interface::InstanceLoad;
use crate::load::{EndpointLoad, Footprint};
use crate::service::{Artifact, Service};
use crate::settings::DispatchSettings;
use crate::summary::EndpointCounts;
use lanegate_config::configuration::Configuration;
use lanegate_config::instance::Instance;
use lanegate_config::mechanism::Mechanism;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Spread of the pauses of several routers, a share of them to either side.
const JITTER: f64 = 0.2;

/// Endpoints, services and what was learned of them.
pub struct Fleet {
    pub settings: DispatchSettings,
    pub budget_bounds: BudgetBounds,
    pub table: EndpointTable,
    /// Live routers, once told.
    pub live_routers: Option<u32>,
    loads: HashMap<EndpointKey, EndpointLoad>,
    services: BTreeMap<Arc<str>, Service>,
    unknown: Service,
    idle: EndpointLoad,
    rng: SmallRng,
}

impl Fleet {
    /// Nothing is known yet.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Fleet {
            budget_bounds: BudgetBounds::from(&settings.bounds),
            settings,
            table: EndpointTable::default(),
            live_routers: None,
            loads: HashMap::new(),
            services: BTreeMap::new(),
            unknown: Service::default(),
            idle: EndpointLoad::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether a mechanism works here.
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        self.settings.switched_off.leaves(mechanism)
    }

    /// Takes a configuration in.
    pub fn configure(&mut self, configuration: &Configuration) {
        for backend in &configuration.backends {
            self.service_mut(&backend.name.as_str().into()).configure(backend);
        }
    }

    /// Takes a registration in; tells whether requests may go elsewhere by it.
    pub fn register(&mut self, now: Duration, instance: &Instance) -> bool {
        let (key, change) = self.table.register(now, instance);
        if change == TableChange::Unchanged {
            return false;
        }
        self.loads.entry(key).or_default();
        self.note_placed(now, key);
        true
    }

    fn note_placed(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.table.get(key).filter(|endpoint| endpoint.takes_requests()) else {
            return;
        };
        let Some(service) = self.services.get_mut(&endpoint.backend) else {
            return;
        };
        for held in &endpoint.models {
            let model: Arc<str> = held.name.as_str().into();
            service.placed(now, &Artifact { model: model.clone(), adapter: None });
            for adapter in &held.adapters {
                service
                    .placed(now, &Artifact { model: model.clone(), adapter: Some(adapter.as_str().into()) });
            }
        }
    }

    /// Forgets an endpoint; what it still runs is kept in mind until it ends.
    pub fn remove(&mut self, id: &str) -> Option<(EndpointKey, Endpoint)> {
        let (key, endpoint) = self.table.remove(id)?;
        self.tidy(key);
        Some((key, endpoint))
    }

    /// An endpoint said that it doesn't hold a model, or an adapter of one that it does hold.
    pub fn forget_artifact(&mut self, key: EndpointKey, artifact: &Artifact) {
        self.table.forget_model(key, &artifact.model, artifact.adapter.as_deref());
    }

    /// A request was sent there.
    pub fn enter(&mut self, now: Duration, key: EndpointKey, footprint: Footprint) {
        self.loads.entry(key).or_default().enter(now, footprint);
    }

    /// A request there ended or was given up.
    pub fn leave(&mut self, key: EndpointKey, footprint: Footprint) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.leave(footprint);
        }
        self.tidy(key);
    }

    fn tidy(&mut self, key: EndpointKey) {
        let idle = self.loads.get(&key).is_some_and(|load| load.in_flight == 0);
        if idle && self.table.get(key).is_none() {
            self.loads.remove(&key);
        }
    }

    /// The load of an endpoint; an idle one for what isn't known.
    pub fn load(&self, key: EndpointKey) -> &EndpointLoad {
        self.loads.get(&key).unwrap_or(&self.idle)
    }

    /// The load of a known endpoint, to be changed.
    pub fn load_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointLoad> {
        self.loads.get_mut(&key)
    }

    /// The service, or one of which nothing is known.
    pub fn service(&self, backend: &str) -> &Service {
        self.services.get(backend).unwrap_or(&self.unknown)
    }

    /// The service, to be changed.
    pub fn service_mut(&mut self, backend: &Arc<str>) -> &mut Service {
        self.services.entry(backend.clone()).or_default()
    }

    /// Live routers, at least this one.
    pub fn routers(&self) -> u32 {
        self.live_routers.unwrap_or(1).max(1)
    }

    /// Takes in what an endpoint told of its load.
    pub fn told(&mut self, now: Duration, key: EndpointKey, load: Option<InstanceLoad>) {
        if let (Some(known), Some(load)) = (self.loads.get_mut(&key), load) {
            known.told(now, load);
        }
    }

    /// An endpoint failed; it is left out for a while, unless too many others of its service are.
    pub fn failed(&mut self, now: Duration, key: EndpointKey, fault: Fault) {
        let may_eject = self.uses(Mechanism::Ejection) && self.may_eject(key);
        let jitter = 1.0 + JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
        if let Some(load) = self.loads.get_mut(&key) {
            load.health.failed(now, fault, may_eject, jitter);
        }
    }

    /// Whether one more endpoint may be left out: at least half of a service's endpoints stay in.
    fn may_eject(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.table.get(key) else {
            return false;
        };
        let mut ready = 0;
        let mut out = 0;
        for (other, _) in self.table.ready(&endpoint.backend) {
            ready += 1;
            out += usize::from(other != key && self.load(other).health.is_out());
        }
        (out + 1) * 2 <= ready
    }

    /// Known endpoints by their standing.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for (key, endpoint) in self.table.iter() {
            match (endpoint.takes_requests(), self.load(key).health.is_out()) {
                (false, _) => counts.leaving += 1,
                (true, true) => counts.ejected += 1,
                (true, false) => counts.serving += 1,
            }
        }
        counts
    }

    /// Repeats of all services since the start.
    pub fn retries(&self) -> u64 {
        self.services.values().map(|service| service.budget.total_repeats()).sum()
    }

    /// Repeats that are left to the service that has the fewest.
    pub fn least_retry_budget(&self, now: Duration) -> Option<u64> {
        let budgets = self.services.values().map(|service| &service.budget);
        budgets.map(|budget| budget.left(now, &self.budget_bounds, self.live_routers)).min()
    }

    /// Whether at least half of the places of a service are taken, or requests wait somewhere.
    pub fn is_crowded(&self, now: Duration, backend: &str) -> bool {
        let mut places = 0.0;
        let mut taken = 0.0;
        for (key, endpoint) in self.table.ready(backend) {
            let load = self.load(key);
            if load.others_waiting(now) >= 1.0 || load.occupancy(now) > f64::from(endpoint.capacity) {
                return true;
            }
            places += f64::from(endpoint.capacity);
            taken += load.occupancy(now);
        }
        taken * 2.0 >= places && places > 0.0
    }
}
