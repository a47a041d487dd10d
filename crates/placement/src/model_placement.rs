//! Chooses the endpoint on which a model is loaded.

use crate::catalog::Catalog;
use crate::desired_replica::DesiredReplica;
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::planning_view::{AvailableEndpoint, Endpoints, PlanningView};
use crate::rendezvous::tie_breaker;
use std::sync::Arc;
use std::time::Duration;

/// Cost of an eviction before a load, which takes one more order and delays the load.
const EVICTION_COST: f64 = 0.15;

/// Additional cost of a load from the weight store, compared with one from the endpoint's disk.
const STORE_COST: f64 = 0.2;

/// Cost of having all replicas in one zone.
const ZONE_COST: f64 = 0.3;

/// Cost of loading onto an endpoint that carries an even share of the work.
const LOAD_COST: f64 = 0.1;

/// The endpoint chosen for a replica, and the model to be evicted there first.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub endpoint: Arc<str>,
    pub victim: Option<Arc<str>>,
}

/// A site with its cost.
struct ScoredSite {
    cost: f64,
    site: Site,
}

impl DesiredReplica {
    /// The endpoint with the lowest cost for another replica.
    pub(crate) fn site(
        &self,
        view: &PlanningView,
        endpoints: &Endpoints,
        catalog: &Catalog,
        seed: u64,
    ) -> Option<Site> {
        let candidates = view
            .available
            .iter()
            .filter_map(|available| Some((available, endpoints.get(&available.endpoint)?)));
        let scored = candidates
            .filter_map(|(available, endpoint)| self.score_site(view, available, endpoint, catalog, seed));
        scored.min_by(|a, b| a.cost.total_cmp(&b.cost)).map(|scored| scored.site)
    }

    fn score_site(
        &self,
        view: &PlanningView,
        available: &AvailableEndpoint,
        endpoint: &Endpoint,
        catalog: &Catalog,
        seed: u64,
    ) -> Option<ScoredSite> {
        let item = Item::model(self.model.clone());
        let is_available =
            endpoint.accepts_orders(view.now) && endpoint.accepts_load(self.priority.urgent(), view.now);
        if !is_available || endpoint.occupies(&item) {
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
        let cost = lost + evictions + store + zone + load + tie_breaker(seed, &self.model, &endpoint.id);
        let victim = victims.into_iter().next().map(|victim| victim.model);
        Some(ScoredSite { cost, site: Site { endpoint: endpoint.id.clone(), victim } })
    }
}

/// Expected time of a load, with a margin for the slowdown by requests that run on the endpoint.
pub(crate) fn expected_load_time(catalog: &Catalog, model: &str) -> Duration {
    catalog.load_time(model).mul_f64(1.2) + Duration::from_millis(100)
}
