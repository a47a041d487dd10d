//! The state that a planning round works on: demand, replicas and target of each model, and the endpoints that accept
//! orders.

use crate::catalog::Catalog;
use crate::demand_table::DemandTable;
use crate::drain_time::DrainTimeEstimate;
use crate::endpoint::Endpoint;
use crate::replica_target::{FleetLoad, ReplicaTarget};
use lanegate_config::mechanism::SwitchedOff;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// An endpoint is full at this multiple of an even share of the work.
const FULL_LOAD: f64 = 2.0;

/// The endpoints of a service by their ids.
pub(crate) type Endpoints = BTreeMap<Arc<str>, Endpoint>;

/// Demand and replicas of a model.
#[derive(Debug, Default, Clone)]
pub(crate) struct ModelStatus {
    pub target: ReplicaTarget,
    /// Endpoints that its recent demand would fill if all work were spread evenly.
    pub endpoints_needed: f64,
    /// Endpoints where it is resident, loading, or has memory reserved.
    pub replicas: usize,
    /// Endpoints that advertise it, so that requests are served there.
    pub serving: usize,
    /// Number of `replicas` in each zone.
    pub zones: BTreeMap<Arc<str>, usize>,
    /// Rate that is still expected, requests/s.
    pub expected_rate: f64,
    /// Recent rate, requests/s.
    pub recent_rate: f64,
    /// Work, tokens a second.
    pub work: f64,
    pub in_demand: bool,
    pub urgent: bool,
}

impl ModelStatus {
    /// Work of one replica, tokens/s.
    pub(crate) fn work_per_replica(&self) -> f64 {
        self.work / self.replicas.max(1) as f64
    }

    /// Requests/s at each endpoint that advertises it.
    pub(crate) fn rate_per_replica(&self) -> f64 {
        self.recent_rate / self.serving.max(1) as f64
    }

    /// Requests/s beyond what `replicas` can serve. Engines are seldom full: a replica serves twice the work of an
    /// even share, and requests beyond that wait too long.
    pub(crate) fn unserved(&self, replicas: usize) -> f64 {
        let needed = (self.endpoints_needed / FULL_LOAD).max(1.0);
        self.recent_rate * (1.0 - replicas as f64 / needed).max(0.0)
    }

    /// Requests/s that would wait too long with `replicas` replicas and that one more replica serves.
    pub(crate) fn served_by_next_replica(&self, replicas: usize) -> f64 {
        self.unserved(replicas) - self.unserved(replicas + 1)
    }

    /// Requests/s that each of `replicas` replicas is relieved of by one more replica.
    pub(crate) fn relief(&self, replicas: usize) -> f64 {
        let replicas = replicas.max(1) as f64;
        self.recent_rate / (replicas * (replicas + 1.0))
    }
}

/// The state of the service in one planning round; it is updated as orders are sent.
#[derive(Debug)]
pub(crate) struct PlanningView {
    pub now: Duration,
    pub fleet: FleetLoad,
    /// Estimate of how long evictions take.
    pub drain: DrainTimeEstimate,
    /// Mechanisms that are switched off.
    pub switched_off: SwitchedOff,
    /// Whether demand was observed long enough to conclude that a model without requests is not in demand.
    pub demand_established: bool,
    pub models: BTreeMap<Arc<str>, ModelStatus>,
    /// Endpoints that accept orders at the start of the round.
    pub available: Vec<AvailableEndpoint>,
}

/// An endpoint that accepts orders, as it is at the start of the round.
#[derive(Debug)]
pub(crate) struct AvailableEndpoint {
    pub endpoint: Arc<str>,
    pub free_mb: f64,
    /// Its share of the work, as a multiple of an even share.
    pub load: f64,
}

impl PlanningView {
    /// The state of the service now.
    pub(crate) fn new(
        now: Duration,
        demand: &DemandTable,
        endpoints: &Endpoints,
        catalog: &Catalog,
        drain: DrainTimeEstimate,
        switched_off: SwitchedOff,
    ) -> PlanningView {
        let ready = endpoints.values().filter(|endpoint| endpoint.ready).count();
        let work =
            demand.models.values().map(|rates| rates.total.recent_rate(now) * rates.total.mean_work()).sum();
        let fleet = FleetLoad { endpoints: ready, work };
        let mut view = PlanningView {
            now,
            fleet,
            drain,
            switched_off,
            demand_established: demand.is_established(now),
            models: BTreeMap::new(),
            available: Vec::new(),
        };
        view.add_demand(demand, catalog);
        for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
            view.add_resident_replicas(endpoint);
        }
        let available = endpoints.values().filter(|endpoint| endpoint.accepts_orders(now));
        view.available = available.map(|endpoint| view.available_endpoint(endpoint, catalog)).collect();
        view
    }

    fn available_endpoint(&self, endpoint: &Endpoint, catalog: &Catalog) -> AvailableEndpoint {
        AvailableEndpoint {
            endpoint: endpoint.id.clone(),
            free_mb: endpoint.free_mb(catalog),
            load: self.load(endpoint),
        }
    }

    fn add_demand(&mut self, demand: &DemandTable, catalog: &Catalog) {
        for (model, rates) in &demand.models {
            let total = &rates.total;
            let mut target = self.fleet.target(total, self.fleet.endpoints, self.now);
            let adapters = rates.adapters.values().filter(|rates| rates.in_demand(self.now)).count();
            let endpoints = adapters.div_ceil(catalog.max_adapters.max(1)).min(self.fleet.endpoints);
            target.minimum = target.minimum.max(endpoints);
            target.maximum = target.maximum.max(endpoints);
            let status = ModelStatus {
                target,
                endpoints_needed: self.fleet.endpoints_for(total.recent_rate(self.now), total.mean_work()),
                expected_rate: total.expected_rate(self.now),
                recent_rate: total.recent_rate(self.now),
                work: total.recent_rate(self.now) * total.mean_work(),
                in_demand: total.in_demand(self.now),
                urgent: total.urgent(self.now),
                ..ModelStatus::default()
            };
            self.models.insert(model.clone(), status);
        }
    }

    fn add_resident_replicas(&mut self, endpoint: &Endpoint) {
        let items = endpoint.items().filter(|item| item.is_model() && endpoint.retains(item));
        let mut models: Vec<Arc<str>> = items.map(|item| item.model).collect();
        let reserved_model =
            endpoint.reserved_model(self.now).filter(|reserved_model| !models.contains(reserved_model));
        models.extend(reserved_model.cloned());
        for model in &models {
            self.add_replica(model, &endpoint.zone);
            if endpoint.advertises_model(model)
                && let Some(status) = self.models.get_mut(model)
            {
                status.serving += 1;
            }
        }
    }

    /// Counts a replica that was ordered or for which memory is being freed.
    pub(crate) fn add_replica(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        let status = self.models.entry(model.clone()).or_default();
        status.replicas += 1;
        *status.zones.entry(zone.clone()).or_default() += 1;
    }

    /// No longer counts a replica whose eviction was ordered.
    pub(crate) fn evict_replica(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        self.remove_replica(model, zone);
        if let Some(status) = self.models.get_mut(model) {
            status.serving = status.serving.saturating_sub(1);
        }
    }

    /// No longer counts a replica for which memory was to be freed.
    pub(crate) fn remove_replica(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        let Some(status) = self.models.get_mut(model) else { return };
        status.replicas = status.replicas.saturating_sub(1);
        if let Some(replicas) = status.zones.get_mut(zone) {
            *replicas = replicas.saturating_sub(1);
        }
    }

    /// The status of a model; one without demand if it was not requested.
    pub(crate) fn status(&self, model: &str) -> ModelStatus {
        self.models.get(model).cloned().unwrap_or_default()
    }

    fn load(&self, endpoint: &Endpoint) -> f64 {
        if self.fleet.work <= 0.0 {
            return 0.0;
        }
        let resident = endpoint.contents.models().filter_map(|resident| self.models.get(&resident.model));
        let work: f64 = resident.map(ModelStatus::work_per_replica).sum();
        work * self.fleet.endpoints as f64 / self.fleet.work
    }
}
