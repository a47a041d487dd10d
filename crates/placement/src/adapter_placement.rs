//! Chooses the endpoints on which an adapter is loaded, and what is evicted for it.
//!
//! An adapter can only be loaded where its model is resident. Adapters load in milliseconds and are small, so a
//! replica is placed where a slot is free if possible, and replaces another adapter otherwise.

use crate::catalog::Catalog;
use crate::demand_rate::DemandRates;
use crate::demand_table::DemandTable;
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::planning_view::{Endpoints, PlanningView};
use crate::rendezvous::rendezvous;
use crate::replica_target::{FleetLoad, ReplicaTarget};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Cost of an eviction before a load, apart from what the evicted adapter served.
const EVICTION_COST: f64 = 0.01;

/// An additional replica replaces the last replica of another adapter only if it serves this many times as many
/// requests.
const REPLACE_RATIO: f64 = 5.0;

/// An adapter that should get one more replica, on an endpoint that has its model resident.
#[derive(Debug, Clone)]
pub(crate) struct DesiredAdapter {
    pub item: Item,
    pub priority: AdapterPriority,
    weight: f64,
}

/// How urgently a replica is desired, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AdapterPriority {
    /// In demand and on no endpoint.
    First,
    /// Has fewer replicas than its demand needs.
    Additional,
    /// Was requested before and is on no endpoint; it is loaded only where a slot is free.
    Restore,
}

/// The endpoint chosen for a replica, and the adapter to be evicted there first.
#[derive(Debug, Clone)]
pub(crate) struct AdapterSite {
    pub endpoint: Arc<str>,
    pub victim: Option<Item>,
}

/// A site with its cost and the rendezvous hash of its endpoint.
struct ScoredSite {
    cost: f64,
    hash: u64,
    site: AdapterSite,
}

/// Number of replicas of an adapter.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaCount {
    /// Resident or loading.
    all: usize,
    /// Advertised, so that requests are served there.
    serving: usize,
}

/// The endpoints that advertise a model.
#[derive(Default)]
struct Hosts<'a> {
    all: usize,
    /// Those that accept an order now.
    available: Vec<Host<'a>>,
}

/// An endpoint that accepts an order, with its free capacity.
#[derive(Clone, Copy)]
struct Host<'a> {
    endpoint: &'a Endpoint,
    free_mb: f64,
    adapters: usize,
}

/// Plans the adapters of one planning round.
pub(crate) struct AdapterPlanner<'a> {
    replicas: HashMap<Item, ReplicaCount>,
    hosts: HashMap<Arc<str>, Hosts<'a>>,
    pub now: Duration,
    pub fleet: FleetLoad,
    pub demand: &'a DemandTable,
    pub catalog: &'a Catalog,
    pub seed: u64,
}

impl<'a> AdapterPlanner<'a> {
    /// Counts the replicas and hosts of all ready endpoints.
    pub(crate) fn new(
        view: &PlanningView,
        demand: &'a DemandTable,
        endpoints: &'a Endpoints,
        catalog: &'a Catalog,
        seed: u64,
    ) -> Self {
        let (replicas, hosts) = (HashMap::new(), HashMap::new());
        let (now, fleet) = (view.now, view.fleet);
        let mut this = AdapterPlanner { replicas, hosts, now, fleet, demand, catalog, seed };
        for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
            this.count(endpoint);
        }
        this
    }

    fn count(&mut self, endpoint: &'a Endpoint) {
        let host = endpoint.accepts_orders(self.now).then(|| Host {
            endpoint,
            free_mb: endpoint.free_mb(self.catalog),
            adapters: endpoint.adapters(),
        });
        for item in endpoint.items() {
            let advertised = endpoint.advertises(&item);
            if !item.is_model() && endpoint.retains(&item) {
                let replicas = self.replicas.entry(item).or_default();
                replicas.all += 1;
                replicas.serving += usize::from(advertised);
            } else if item.is_model() && advertised {
                let hosts = self.hosts.entry(item.model).or_default();
                hosts.all += 1;
                hosts.available.extend(host);
            }
        }
    }

    /// The adapters that should get a replica, the most urgent first.
    pub(crate) fn desired(&self) -> Vec<DesiredAdapter> {
        let mut desired = Vec::new();
        for (model, rates) in &self.demand.models {
            let Some(hosts) = self.hosts.get(model).filter(|hosts| !hosts.available.is_empty()) else {
                continue;
            };
            for (adapter, rates) in &rates.adapters {
                let item = Item::adapter(model.clone(), adapter.clone());
                desired.extend(self.desired_adapter(item, rates, hosts.all));
            }
        }
        desired.sort_by(|a, b| a.priority.cmp(&b.priority).then(b.weight.total_cmp(&a.weight)));
        desired
    }

    fn desired_adapter(&self, item: Item, rates: &DemandRates, hosts: usize) -> Option<DesiredAdapter> {
        let replicas = self.replicas(&item).all;
        let priority = match replicas {
            0 if rates.in_demand(self.now) => AdapterPriority::First,
            0 => AdapterPriority::Restore,
            _ if replicas < hosts && replicas < self.target(&item, rates).minimum => {
                AdapterPriority::Additional
            }
            _ => return None,
        };
        let weight = rates.expected_rate(self.now) / replicas.max(1) as f64;
        Some(DesiredAdapter { item, priority, weight })
    }

    fn replicas(&self, item: &Item) -> ReplicaCount {
        self.replicas.get(item).copied().unwrap_or_default()
    }

    /// No longer counts a replica that is about to be evicted.
    pub(crate) fn record_eviction(&mut self, victim: Option<&Item>) {
        let Some(replicas) = victim.and_then(|victim| self.replicas.get_mut(victim)) else { return };
        replicas.all = replicas.all.saturating_sub(1);
        replicas.serving = replicas.serving.saturating_sub(1);
    }

    fn target(&self, item: &Item, rates: &DemandRates) -> ReplicaTarget {
        let hosts = self.hosts.get(&item.model).map_or(0, |hosts| hosts.all);
        self.fleet.target(rates, hosts, self.now)
    }

    /// The best endpoint for another replica, apart from those excluded: a free slot before an eviction, then the
    /// highest rendezvous hash.
    pub(crate) fn site(&self, desired: &DesiredAdapter, excluded: &[&Arc<str>]) -> Option<AdapterSite> {
        let hosts = self.hosts.get(&desired.item.model)?;
        let open = hosts.available.iter().filter(|host| !excluded.contains(&&host.endpoint.id));
        let scored = open.filter_map(|host| self.score_site(desired, *host));
        let best = scored.min_by(|a, b| a.cost.total_cmp(&b.cost).then(b.hash.cmp(&a.hash)));
        best.map(|scored| scored.site)
    }

    fn score_site(&self, desired: &DesiredAdapter, host: Host) -> Option<ScoredSite> {
        let endpoint = host.endpoint;
        let is_reserved =
            endpoint.reserved_model(self.now).is_some() && desired.priority != AdapterPriority::First;
        if is_reserved || endpoint.occupies(&desired.item) {
            return None;
        }
        let (cost, victim) = self.free_capacity(desired, host)?;
        let adapter = desired.item.adapter.as_deref().unwrap_or_default();
        let hash = rendezvous(self.seed, &desired.item.model, adapter, &endpoint.id);
        Some(ScoredSite { cost, hash, site: AdapterSite { endpoint: endpoint.id.clone(), victim } })
    }

    /// Cost of the capacity for an adapter on a host, and the adapter to be evicted for it.
    fn free_capacity(&self, desired: &DesiredAdapter, host: Host) -> Option<(f64, Option<Item>)> {
        let Host { endpoint, free_mb, adapters } = host;
        let size = self.catalog.size_mb(&desired.item);
        let free_slots = self.catalog.max_adapters.checked_sub(adapters);
        if free_slots.is_some_and(|free_slots| free_slots > 0) && free_mb >= size {
            return Some((0.0, None));
        }
        if free_slots.is_none() || desired.priority == AdapterPriority::Restore {
            return None;
        }
        let adapters = endpoint.items().filter(|item| !item.is_model() && endpoint.advertises(item));
        let fitting = adapters.filter(|item| free_mb + self.catalog.size_mb(item) >= size);
        let costs = fitting.filter_map(|item| Some((self.eviction_cost(desired, &item)?, item)));
        let (cost, victim) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((cost + EVICTION_COST, Some(victim)))
    }

    /// The cost of evicting `victim` for `desired`; `None` if it may not be evicted for that.
    fn eviction_cost(&self, desired: &DesiredAdapter, victim: &Item) -> Option<f64> {
        let rates = self.demand.models.get(&victim.model);
        let rates = rates.and_then(|model| model.adapters.get(victim.adapter.as_ref()?));
        let ReplicaCount { all, serving } = self.replicas(victim);
        let Some(rates) = rates else {
            return (serving >= 2 || self.demand.is_established(self.now)).then_some(0.0);
        };
        let each = rates.expected_rate(self.now) / all.max(1) as f64;
        if rates.in_demand(self.now) {
            let is_surplus = serving >= 2 && all > self.target(victim, rates).maximum.max(1);
            let is_redundant = serving >= 2 && desired.priority == AdapterPriority::First;
            return (is_surplus || is_redundant).then_some(if is_surplus { 0.0 } else { each });
        }
        let is_worthwhile =
            desired.priority == AdapterPriority::First || all >= 2 || each * REPLACE_RATIO < desired.weight;
        is_worthwhile.then_some(each)
    }
}
