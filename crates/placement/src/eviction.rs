//! Chooses the models that are evicted from an endpoint for another one.

use crate::catalog::Catalog;
use crate::contents::Resident;
use crate::desired_replica::{DesiredReplica, MISS_COST, Priority, REDISTRIBUTION_COST};
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::planning_view::{ModelStatus, PlanningView};
use lanegate_config::mechanism::Mechanism;
use std::sync::Arc;

/// Cost of evicting a surplus replica, and the additional cost for each request/s that it served.
const SURPLUS_COST: f64 = 0.02;

/// An additional replica replaces the last replica of another model only if its gain is this many times the cost.
const REPLACE_RATIO: f64 = 3.0;

/// A replica that may be evicted.
#[derive(Debug)]
pub(crate) struct Victim {
    pub model: Arc<str>,
    /// Cost of the eviction, apart from the order itself.
    pub cost: f64,
    /// Memory that it frees, MB.
    freed_mb: f64,
}

impl DesiredReplica {
    /// The models to evict from an endpoint to free `missing` MB, the cheapest first; `None` if that is not possible.
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

    /// Cost of waiting until the victim's running requests have ended: until then the desired replica serves
    /// no requests.
    fn drain_cost(&self, view: &PlanningView, resident: &Resident) -> f64 {
        if !view.switched_off.allows(Mechanism::DrainCost) {
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
            let missed = if view.switched_off.allows(Mechanism::RequiredReplicas) {
                other.served_by_next_replica(remaining)
            } else {
                0.0
            };
            let cost = REDISTRIBUTION_COST * other.relief(remaining) + MISS_COST * missed;
            return (other.replicas >= 2 && self.priority.urgent() && cost <= self.gain()).then_some(cost);
        }
        let cost = MISS_COST * other.expected_rate;
        let is_worthwhile = self.priority.urgent()
            || cost * REPLACE_RATIO < REDISTRIBUTION_COST * self.status.relief(self.status.replicas);
        is_worthwhile.then_some(cost)
    }
}
