//! On which of the endpoints that hold its model an adapter should be, and what gives way to it.

use crate::catalog::Catalog;
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::models::rendezvous;
use crate::need::{Fleet, Target};
use crate::rate::{DemandTable, Rates};
use crate::view::{Endpoints, View};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// An adapter that wants a copy on one more of the endpoints that hold its model.
#[derive(Debug, Clone)]
pub struct AdapterWish {
    pub item: Item,
    pub rank: AdapterRank,
    weight: f64,
}

/// How much a copy is wanted; the first is wanted most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdapterRank {
    /// In demand, and on no endpoint.
    First,
    /// Its copies are too few for its demand.
    Further,
    /// It was asked for before and is on no endpoint; it comes back where a place is free.
    Restore,
}

/// A chosen endpoint, and the adapter that first has to go there.
#[derive(Debug, Clone)]
pub struct AdapterSite {
    pub endpoint: Arc<str>,
    pub victim: Option<Item>,
}

/// On how many endpoints an adapter is.
#[derive(Debug, Clone, Copy, Default)]
struct Copies {
    /// Holding or loading it.
    all: usize,
    /// Showing it, so that requests are served there.
    serving: usize,
}

/// The endpoints that show a model.
#[derive(Default)]
struct Holders<'a> {
    all: usize,
    /// Those that may be given an order now.
    free: Vec<Holder<'a>>,
}

/// An endpoint that may be given an order, with the room that it has.
#[derive(Clone, Copy)]
struct Holder<'a> {
    endpoint: &'a Endpoint,
    free_mb: f64,
    adapters: usize,
}

/// What one round of placing adapters looks at.
pub struct AdapterView<'a> {
    copies: HashMap<Item, Copies>,
    holders: HashMap<Arc<str>, Holders<'a>>,
    pub now: Duration,
    pub fleet: Fleet,
    pub demand: &'a DemandTable,
    pub catalog: &'a Catalog,
    pub seed: u64,
}

impl<'a> AdapterView<'a> {
    /// Looks at what the endpoints hold.
    pub fn new(
        view: &View,
        demand: &'a DemandTable,
        endpoints: &'a Endpoints,
        catalog: &'a Catalog,
        seed: u64,
    ) -> Self {
        let (copies, holders) = (HashMap::new(), HashMap::new());
        let (now, fleet) = (view.now, view.fleet);
        let mut this = AdapterView { copies, holders, now, fleet, demand, catalog, seed };
        for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
            this.count(endpoint);
        }
        this
    }

    fn count(&mut self, endpoint: &'a Endpoint) {
        let holder = endpoint.free(self.now).then(|| Holder {
            endpoint,
            free_mb: endpoint.free_mb(self.catalog),
            adapters: endpoint.adapters(),
        });
        for item in endpoint.items() {
            let shown = endpoint.shows(&item);
            if !item.is_model() && endpoint.keeps(&item) {
                let copies = self.copies.entry(item).or_default();
                copies.all += 1;
                copies.serving += usize::from(shown);
            } else if item.is_model() && shown {
                let holders = self.holders.entry(item.model).or_default();
                holders.all += 1;
                holders.free.extend(holder);
            }
        }
    }

    /// The adapters that want a copy and may get one, the most wanted first.
    pub fn wishes(&self) -> Vec<AdapterWish> {
        let mut wishes = Vec::new();
        for (model, rates) in &self.demand.models {
            let Some(holders) = self.holders.get(model).filter(|holders| !holders.free.is_empty()) else {
                continue;
            };
            for (adapter, rates) in &rates.adapters {
                let item = Item::adapter(model.clone(), adapter.clone());
                wishes.extend(self.wish(item, rates, holders.all));
            }
        }
        wishes.sort_by(|a, b| a.rank.cmp(&b.rank).then(b.weight.total_cmp(&a.weight)));
        wishes
    }

    fn wish(&self, item: Item, rates: &Rates, holders: usize) -> Option<AdapterWish> {
        let copies = self.copies(&item).all;
        let rank = match copies {
            0 if rates.in_demand(self.now) => AdapterRank::First,
            0 => AdapterRank::Restore,
            _ if copies < holders && copies < self.target(&item, rates).order => AdapterRank::Further,
            _ => return None,
        };
        let weight = rates.remembered(self.now) / copies.max(1) as f64;
        Some(AdapterWish { item, rank, weight })
    }

    fn copies(&self, item: &Item) -> Copies {
        self.copies.get(item).copied().unwrap_or_default()
    }

    /// A copy is chosen to go.
    pub fn evicted(&mut self, victim: Option<&Item>) {
        let Some(copies) = victim.and_then(|victim| self.copies.get_mut(victim)) else { return };
        copies.all = copies.all.saturating_sub(1);
        copies.serving = copies.serving.saturating_sub(1);
    }

    fn target(&self, item: &Item, rates: &Rates) -> Target {
        let holders = self.holders.get(&item.model).map_or(0, |holders| holders.all);
        self.fleet.target(rates, holders, self.now)
    }

    /// The best endpoint for another copy, but for those taken in this round: a free place before an
    /// eviction, then the stable rank.
    pub fn site(&self, wish: &AdapterWish, taken: &[&Arc<str>]) -> Option<AdapterSite> {
        let holders = self.holders.get(&wish.item.model)?;
        let open = holders.free.iter().filter(|holder| !taken.contains(&&holder.endpoint.id));
        let sites = open.filter_map(|holder| self.rate_site(wish, *holder));
        let best = sites.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        best.map(|(_, _, site)| site)
    }

    fn rate_site(&self, wish: &AdapterWish, holder: Holder) -> Option<(f64, u64, AdapterSite)> {
        let endpoint = holder.endpoint;
        let making_room = endpoint.intended(self.now).is_some() && wish.rank != AdapterRank::First;
        if making_room || endpoint.counts(&wish.item) {
            return None;
        }
        let (cost, victim) = self.make_room(wish, holder)?;
        let adapter = wish.item.adapter.as_deref().unwrap_or_default();
        let stable = rendezvous(self.seed, &wish.item.model, adapter, &endpoint.id);
        Some((cost, stable, AdapterSite { endpoint: endpoint.id.clone(), victim }))
    }

    fn make_room(&self, wish: &AdapterWish, holder: Holder) -> Option<(f64, Option<Item>)> {
        let Holder { endpoint, free_mb, adapters } = holder;
        let size = self.catalog.size_mb(&wish.item);
        let places = self.catalog.max_adapters.checked_sub(adapters);
        if places.is_some_and(|places| places > 0) && free_mb >= size {
            return Some((0.0, None));
        }
        if places.is_none() || wish.rank == AdapterRank::Restore {
            return None;
        }
        let adapters = endpoint.items().filter(|item| !item.is_model() && endpoint.shows(item));
        let fitting = adapters.filter(|item| free_mb + self.catalog.size_mb(item) >= size);
        let costs = fitting.filter_map(|item| Some((self.cost_of(wish, &item)?, item)));
        let (cost, victim) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((cost + EVICTION_COST, Some(victim)))
    }

    /// What it costs to take this copy away; nothing if it may not be taken for this wish.
    fn cost_of(&self, wish: &AdapterWish, victim: &Item) -> Option<f64> {
        let rates = self.demand.models.get(&victim.model);
        let rates = rates.and_then(|model| model.adapters.get(victim.adapter.as_ref()?));
        let Copies { all, serving } = self.copies(victim);
        let Some(rates) = rates else {
            return (serving >= 2 || self.demand.watched(self.now)).then_some(0.0);
        };
        let each = rates.remembered(self.now) / all.max(1) as f64;
        if rates.in_demand(self.now) {
            let surplus = serving >= 2 && all > self.target(victim, rates).keep.max(1);
            let spare = serving >= 2 && wish.rank == AdapterRank::First;
            return (surplus || spare).then_some(if surplus { 0.0 } else { each });
        }
        let pays = wish.rank == AdapterRank::First || all >= 2 || each * REPLACE_RATIO < wish.weight;
        pays.then_some(each)
    }
}

/// What an eviction costs before a load, beside what is lost by it.
const EVICTION_COST: f64 = 0.01;

/// A further copy replaces a last one only if it serves this many times as many requests.
const REPLACE_RATIO: f64 = 5.0;
