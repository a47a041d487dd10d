//! Chooses the endpoint on which a model is loaded, and what is evicted for it.
//!
//! Costs and gains are in requests/s, weighted by what a miss of one costs.

use crate::catalog::Catalog;
use crate::contents::Resident;
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::planning_view::{AvailableEndpoint, Endpoints, ModelStatus, PlanningView};
use lanegate_config::mechanism::Mechanism;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Cost of evicting a model's last replica, for each request/s: a load and a late answer.
const MISS_COST: f64 = 1.4;

/// Cost of evicting a further replica, for each request/s that the others take over.
const SPARE_COST: f64 = 0.3;

/// Cost of evicting a surplus replica, and for each request/s that it served.
const SURPLUS_COST: f64 = 0.02;

/// Cost of an eviction before a load: an order and some time.
const EVICTION_COST: f64 = 0.15;

/// Cost of a load from the weight store beyond one from the endpoint's disk.
const STORE_COST: f64 = 0.2;

/// Cost of having all replicas in one zone.
const ZONE_COST: f64 = 0.3;

/// Cost of loading onto an endpoint that carries an even share of the work.
const LOAD_COST: f64 = 0.1;

/// Lowest rate that is assumed for a model that requests wait for, requests/s.
const MIN_RATE: f64 = 0.25;

/// An additional replica replaces a last one only if it gains this many times as much.
const REPLACE_RATIO: f64 = 3.0;

/// From this expected rate on, requests/s, a model without a replica is loaded before it is requested again.
const RESTORE_RATE: f64 = 0.008;

/// The endpoint chosen for a replica, and the model to be evicted there first.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub endpoint: Arc<str>,
    pub victim: Option<Arc<str>>,
}

/// A model that should get one more replica.
#[derive(Debug, Clone)]
pub(crate) struct DesiredReplica {
    pub model: Arc<str>,
    pub priority: Priority,
    status: ModelStatus,
}

/// How urgently a replica is desired, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Requests find no endpoint.
    Unplaced,
    /// On no endpoint, and in demand.
    First,
    /// Has less than half of its target.
    Underprovisioned,
    /// Has fewer replicas than its target.
    Additional,
    /// Has lost its last replica and may be requested again.
    Restore,
}

impl Priority {
    /// Priorities of one group compete by gain; a lower group goes first.
    fn group(self) -> u8 {
        match self {
            Priority::Unplaced | Priority::First | Priority::Underprovisioned => 0,
            Priority::Additional => 1,
            Priority::Restore => 2,
        }
    }

    /// Whether requests wait for the load.
    pub(crate) fn urgent(self) -> bool {
        self <= Priority::Underprovisioned
    }
}

/// The models that should get a replica, the most urgent first.
pub(crate) fn desired_replicas(view: &PlanningView) -> Vec<DesiredReplica> {
    let mut desired_replicas: Vec<DesiredReplica> =
        view.models.iter().filter_map(|(model, status)| desired_replica(model, status)).collect();
    desired_replicas.retain(|desired| {
        desired.priority != Priority::Restore || view.switched_off.leaves(Mechanism::Restore)
    });
    desired_replicas
        .sort_by(|a, b| a.priority.group().cmp(&b.priority.group()).then(b.gain().total_cmp(&a.gain())));
    desired_replicas
}

/// Whether the model should get one more replica, and how urgently.
pub(crate) fn desired_replica(model: &Arc<str>, status: &ModelStatus) -> Option<DesiredReplica> {
    let priority = match status.replicas {
        0 if status.urgent => Priority::Unplaced,
        0 if status.in_demand => Priority::First,
        0 if status.expected_rate >= RESTORE_RATE => Priority::Restore,
        replicas if replicas > 0 && replicas * 2 < status.target.minimum => Priority::Underprovisioned,
        replicas if replicas > 0 && replicas < status.target.minimum => Priority::Additional,
        _ => return None,
    };
    Some(DesiredReplica { model: model.clone(), priority, status: status.clone() })
}

impl DesiredReplica {
    /// A replica whose endpoint has been chosen and reserved already, and is counted in `status`.
    pub(crate) fn at_reserved_site(model: Arc<str>, status: ModelStatus) -> DesiredReplica {
        let priority = match status.replicas {
            0..=1 if status.urgent => Priority::Unplaced,
            0..=1 if status.in_demand => Priority::First,
            0..=1 => Priority::Restore,
            replicas if (replicas - 1) * 2 < status.target.minimum => Priority::Underprovisioned,
            _ => Priority::Additional,
        };
        DesiredReplica { model, priority, status }
    }

    /// Gain of another replica.
    fn gain(&self) -> f64 {
        let status = &self.status;
        match self.priority {
            Priority::Unplaced | Priority::First | Priority::Restore => {
                MISS_COST * status.recent_rate.max(status.expected_rate).max(MIN_RATE)
            }
            Priority::Underprovisioned => {
                MISS_COST * status.served_by_next_replica(status.replicas).max(MIN_RATE)
            }
            Priority::Additional => SPARE_COST * status.relief(status.replicas),
        }
    }

    /// The endpoint with the lowest cost for another replica.
    pub(crate) fn site(
        &self,
        view: &PlanningView,
        endpoints: &Endpoints,
        catalog: &Catalog,
        seed: u64,
    ) -> Option<Site> {
        let open = view
            .available
            .iter()
            .filter_map(|available| Some((available, endpoints.get(&available.endpoint)?)));
        let sites = open
            .filter_map(|(available, endpoint)| self.score_site(view, available, endpoint, catalog, seed));
        sites.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, site)| site)
    }

    fn score_site(
        &self,
        view: &PlanningView,
        available: &AvailableEndpoint,
        endpoint: &Endpoint,
        catalog: &Catalog,
        seed: u64,
    ) -> Option<(f64, Site)> {
        let item = Item::model(self.model.clone());
        let open =
            endpoint.accepts_orders(view.now) && endpoint.accepts_load(self.priority.urgent(), view.now);
        if !open || endpoint.occupies(&item) {
            return None;
        }
        let missing = catalog.size_mb(&item) - available.free_mb;
        let victims = self.victims(view, endpoint, catalog, missing)?;
        let lost: f64 = victims.iter().map(|victim| victim.cost).sum();
        let evictions = victims.len() as f64 * EVICTION_COST;
        let store = if endpoint.on_disk.contains(&self.model) { 0.0 } else { STORE_COST };
        let in_zone = self.status.zones.get(&endpoint.zone).copied().unwrap_or(0);
        let zone = ZONE_COST * in_zone as f64 / self.status.replicas.max(1) as f64;
        let load = LOAD_COST * available.load;
        let cost = lost + evictions + store + zone + load + tie(seed, &self.model, &endpoint.id);
        let victim = victims.into_iter().next().map(|victim| victim.model);
        Some((cost, Site { endpoint: endpoint.id.clone(), victim }))
    }

    /// What to evict from an endpoint to free `missing` MB, the cheapest first; `None` if that is not possible.
    pub(crate) fn victims(
        &self,
        view: &PlanningView,
        endpoint: &Endpoint,
        catalog: &Catalog,
        missing: f64,
    ) -> Option<Vec<Victim>> {
        if missing <= 0.0 {
            return Some(Vec::new());
        }
        if self.priority == Priority::Restore {
            return None;
        }
        let resident =
            endpoint.contents.models().filter(|resident| endpoint.advertises_model(&resident.model));
        let mut candidates: Vec<Victim> =
            resident.filter_map(|resident| self.victim(view, resident, catalog)).collect();
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut freed = 0.0;
        let mut victims = Vec::new();
        for victim in candidates {
            if freed >= missing {
                break;
            }
            freed += victim.freed_mb;
            victims.push(victim);
        }
        (freed >= missing).then_some(victims)
    }

    fn victim(&self, view: &PlanningView, resident: &Resident, catalog: &Catalog) -> Option<Victim> {
        let cost = match view.models.get(&resident.model) {
            Some(status) => self.eviction_cost(view, status)?,
            None => self.eviction_cost(view, &ModelStatus::default())?,
        };
        let cost = cost + self.drain_cost(view, resident);
        let adapters =
            resident.adapters.iter().map(|adapter| Item::adapter(resident.model.clone(), adapter.clone()));
        let adapters_mb: f64 = adapters.map(|item| catalog.size_mb(&item)).sum();
        let freed_mb = catalog.size_mb(&Item::model(resident.model.clone())) + adapters_mb;
        Some(Victim { model: resident.model.clone(), cost, freed_mb })
    }

    /// Cost of waiting until the victim's running requests have ended: until then requests for this model miss.
    fn drain_cost(&self, view: &PlanningView, resident: &Resident) -> f64 {
        if !view.switched_off.leaves(Mechanism::DrainCost) {
            return 0.0;
        }
        let rate = view.models.get(&resident.model).map_or(0.0, ModelStatus::rate_per_replica);
        self.gain() * view.drain.expected_s(rate)
    }

    /// Cost of evicting a replica of another model; `None` if it may not be evicted for this one.
    fn eviction_cost(&self, view: &PlanningView, other: &ModelStatus) -> Option<f64> {
        if !view.demand_established || (other.in_demand && other.serving <= 1) {
            return None;
        }
        if other.replicas > other.target.maximum.max(1) {
            return Some(SURPLUS_COST * (1.0 + other.expected_rate / other.replicas as f64));
        }
        if other.in_demand {
            let remaining = other.replicas - 1;
            let missed = if view.switched_off.leaves(Mechanism::NeededCopies) {
                other.served_by_next_replica(remaining)
            } else {
                0.0
            };
            let cost = SPARE_COST * other.relief(remaining) + MISS_COST * missed;
            return (other.replicas >= 2 && self.priority.urgent() && cost <= self.gain()).then_some(cost);
        }
        let cost = MISS_COST * other.expected_rate;
        let pays = self.priority.urgent()
            || cost * REPLACE_RATIO < SPARE_COST * self.status.relief(self.status.replicas);
        pays.then_some(cost)
    }
}

/// A replica that may be evicted.
#[derive(Debug)]
pub(crate) struct Victim {
    pub model: Arc<str>,
    cost: f64,
    freed_mb: f64,
}

/// A small cost that breaks ties, the same in every round.
fn tie(seed: u64, model: &str, endpoint: &str) -> f64 {
    const SHARE: f64 = 0.01;
    rendezvous(seed, model, "", endpoint) as f64 / u64::MAX as f64 * SHARE
}

/// Rendezvous hash of an endpoint for an item: stable as other endpoints come and go.
pub(crate) fn rendezvous(seed: u64, model: &str, adapter: &str, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, model, adapter, endpoint).hash(&mut hasher);
    hasher.finish()
}

/// Expected time of a load, with an allowance for requests that run on the endpoint.
pub(crate) fn expected_load_time(catalog: &Catalog, model: &str) -> Duration {
    catalog.load_time(model).mul_f64(1.2) + Duration::from_millis(100)
}
