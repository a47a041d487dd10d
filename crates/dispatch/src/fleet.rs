//! The known endpoints and services, with their load and health, as endpoint selection sees them.

use crate::budget::BudgetBounds;
use crate::endpoints::{Endpoint, EndpointKey, EndpointTable, TableChange};
use crate::health::Failure;
use crate::interface::InstanceLoad;
use crate::load::{EndpointLoad, ResourceRequirement};
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

/// Relative jitter of the ejection backoff, so that routers do not send their trials at the same time.
const JITTER: f64 = 0.2;

/// The endpoints and services, and what was learned about them.
pub struct Fleet {
    /// Settings of the dispatcher.
    pub settings: DispatchSettings,
    /// Bounds of the retry budgets.
    pub budget_bounds: BudgetBounds,
    /// The known endpoints.
    pub table: EndpointTable,
    /// Number of live routers, once known.
    pub live_routers: Option<u32>,
    loads: HashMap<EndpointKey, EndpointLoad>,
    services: BTreeMap<Arc<str>, Service>,
    default_service: Service,
    idle_load: EndpointLoad,
    rng: SmallRng,
}

impl Fleet {
    /// A fleet without endpoints; `seed` is for the jitter of backoffs.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Fleet {
            budget_bounds: BudgetBounds::from(&settings.bounds),
            settings,
            table: EndpointTable::default(),
            live_routers: None,
            loads: HashMap::new(),
            services: BTreeMap::new(),
            default_service: Service::default(),
            idle_load: EndpointLoad::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether a mechanism is switched on.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.switched_off.allows(mechanism)
    }

    /// Applies a configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        for backend in &configuration.backends {
            self.service_mut(&backend.name.as_str().into()).configure(backend);
        }
    }

    /// Applies a registration; returns whether queued requests have to be assigned anew.
    pub fn register(&mut self, now: Duration, instance: &Instance) -> bool {
        let (key, change) = self.table.register(now, instance);
        if change == TableChange::Unchanged {
            return false;
        }
        self.loads.entry(key).or_default();
        self.record_loaded_artifacts(now, key);
        true
    }

    fn record_loaded_artifacts(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.table.get(key).filter(|endpoint| endpoint.takes_requests()) else {
            return;
        };
        let Some(service) = self.services.get_mut(&endpoint.backend) else {
            return;
        };
        for resident in &endpoint.models {
            let model: Arc<str> = resident.name.as_str().into();
            service.record_loaded(now, &Artifact { model: model.clone(), adapter: None });
            for adapter in &resident.adapters {
                service.record_loaded(
                    now,
                    &Artifact { model: model.clone(), adapter: Some(adapter.as_str().into()) },
                );
            }
        }
    }

    /// Removes an endpoint. Its load is kept until its last request ends.
    pub fn remove(&mut self, id: &str) -> Option<(EndpointKey, Endpoint)> {
        let (key, endpoint) = self.table.remove(id)?;
        self.remove_if_unused(key);
        Some((key, endpoint))
    }

    /// Removes a model or an adapter that the endpoint answered not to have.
    pub fn remove_artifact(&mut self, key: EndpointKey, artifact: &Artifact) {
        self.table.remove_model(key, &artifact.model, artifact.adapter.as_deref());
    }

    /// Records that a request was sent to an endpoint.
    pub fn begin_request(&mut self, now: Duration, key: EndpointKey, requirement: ResourceRequirement) {
        self.loads.entry(key).or_default().begin_request(now, requirement);
    }

    /// Records that a request at an endpoint ended or was abandoned.
    pub fn end_request(&mut self, key: EndpointKey, requirement: ResourceRequirement) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.end_request(requirement);
        }
        self.remove_if_unused(key);
    }

    fn remove_if_unused(&mut self, key: EndpointKey) {
        let idle = self.loads.get(&key).is_some_and(|load| load.in_flight == 0);
        if idle && self.table.get(key).is_none() {
            self.loads.remove(&key);
        }
    }

    /// The load of an endpoint; an idle one if it is unknown.
    pub fn load(&self, key: EndpointKey) -> &EndpointLoad {
        self.loads.get(&key).unwrap_or(&self.idle_load)
    }

    /// The load of a known endpoint, mutable.
    pub fn load_mut(&mut self, key: EndpointKey) -> Option<&mut EndpointLoad> {
        self.loads.get_mut(&key)
    }

    /// The state of a service; the default state if it is unknown.
    pub fn service(&self, backend: &str) -> &Service {
        self.services.get(backend).unwrap_or(&self.default_service)
    }

    /// The state of a service, mutable; created if needed.
    pub fn service_mut(&mut self, backend: &Arc<str>) -> &mut Service {
        self.services.entry(backend.clone()).or_default()
    }

    /// Number of live routers, at least 1.
    pub fn routers(&self) -> u32 {
        self.live_routers.unwrap_or(1).max(1)
    }

    /// Records the load that an endpoint reported.
    pub fn record_reported_load(&mut self, now: Duration, key: EndpointKey, load: Option<InstanceLoad>) {
        if let (Some(known), Some(load)) = (self.loads.get_mut(&key), load) {
            known.record_reported_load(now, load);
        }
    }

    /// Records a failure of an endpoint. It is ejected for a while, unless too many others of its service are ejected.
    pub fn record_failure(&mut self, now: Duration, key: EndpointKey, failure: Failure) {
        let may_eject = self.is_enabled(Mechanism::Ejection) && self.may_eject(key);
        let jitter = 1.0 + JITTER * (2.0 * self.rng.random::<f64>() - 1.0);
        if let Some(load) = self.loads.get_mut(&key) {
            load.health.record_failure(now, failure, may_eject, jitter);
        }
    }

    /// Whether one more endpoint may be ejected: at least half of the endpoints of a service stay in rotation.
    fn may_eject(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.table.get(key) else {
            return false;
        };
        let mut ready = 0;
        let mut ejected = 0;
        for (other, _) in self.table.ready(&endpoint.backend) {
            ready += 1;
            ejected += usize::from(other != key && self.load(other).health.is_ejected());
        }
        (ejected + 1) * 2 <= ready
    }

    /// Known endpoints by their health.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for (key, endpoint) in self.table.iter() {
            match (endpoint.takes_requests(), self.load(key).health.is_ejected()) {
                (false, _) => counts.draining += 1,
                (true, true) => counts.ejected += 1,
                (true, false) => counts.serving += 1,
            }
        }
        counts
    }

    /// Retries of all services since the start.
    pub fn retries(&self) -> u64 {
        self.services.values().map(|service| service.budget.total_retries()).sum()
    }

    /// Remaining retries of the service that has the fewest.
    pub fn min_retry_budget(&self, now: Duration) -> Option<u64> {
        let budgets = self.services.values().map(|service| &service.budget);
        budgets.map(|budget| budget.remaining(now, &self.budget_bounds, self.live_routers)).min()
    }

    /// Whether at least half of the slots of a service are taken, or requests queue at one of its endpoints.
    pub fn is_near_capacity(&self, now: Duration, backend: &str) -> bool {
        let mut slots = 0.0;
        let mut taken = 0.0;
        for (key, endpoint) in self.table.ready(backend) {
            let load = self.load(key);
            if load.other_waiting_requests(now) >= 1.0 || load.occupancy(now) > f64::from(endpoint.capacity) {
                return true;
            }
            slots += f64::from(endpoint.capacity);
            taken += load.occupancy(now);
        }
        taken * 2.0 >= slots && slots > 0.0
    }
}
