//! What one round of planning looks at: for each model its demand, its copies and its target.

use crate::catalog::Catalog;
use crate::drain::DrainTime;
use crate::endpoint::Endpoint;
use crate::need::{Fleet, Target};
use crate::rate::DemandTable;
use lanegate_config::mechanism::SwitchedOff;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Work at which an endpoint is full, as a multiple of an even share.
const FULL_LOAD: f64 = 2.0;

/// The endpoints of a service by their ids.
pub type Endpoints = BTreeMap<Arc<str>, Endpoint>;

/// How a model stands.
#[derive(Debug, Default, Clone)]
pub struct Standing {
    pub target: Target,
    /// Endpoints that its demand of late would fill if all work were spread evenly.
    pub need: f64,
    /// Endpoints that hold it, load it, or make room for it.
    pub copies: usize,
    /// Endpoints that show it, so that requests are served there.
    pub serving: usize,
    /// Of `copies`, those in each zone.
    pub zones: BTreeMap<Arc<str>, usize>,
    /// Requests a second that are still to be expected.
    pub remembered: f64,
    /// Requests a second of late.
    pub fast: f64,
    /// Work, tokens a second.
    pub work: f64,
    pub in_demand: bool,
    pub urgent: bool,
}

impl Standing {
    /// Work that one copy carries, tokens a second.
    pub fn work_per_copy(&self) -> f64 {
        self.work / self.copies.max(1) as f64
    }

    /// Requests a second that each endpoint with a copy gets.
    pub fn rate_per_copy(&self) -> f64 {
        self.fast / self.serving.max(1) as f64
    }

    /// Requests a second that are more than `copies` can serve. Engines are seldom full: so many copies serve twice
    /// the work of an even share, and what comes beyond that waits for too long.
    pub fn unserved(&self, copies: usize) -> f64 {
        let needed = (self.need / FULL_LOAD).max(1.0);
        self.fast * (1.0 - copies as f64 / needed).max(0.0)
    }

    /// Requests a second that one more copy than `copies` serves, and that would else wait for too long.
    pub fn served_by_one_more(&self, copies: usize) -> f64 {
        self.unserved(copies) - self.unserved(copies + 1)
    }

    /// Requests a second that one more copy than `copies` takes from each of the others.
    pub fn relief(&self, copies: usize) -> f64 {
        let copies = copies.max(1) as f64;
        self.fast / (copies * (copies + 1.0))
    }
}

/// One round's look at the service.
#[derive(Debug)]
pub struct View {
    pub now: Duration,
    pub fleet: Fleet,
    /// How long endpoints take to drop a model.
    pub drain: DrainTime,
    /// Mechanisms that do not work.
    pub switched_off: SwitchedOff,
    /// Whether demand is known well enough to tell what is not wanted.
    pub watched: bool,
    pub models: BTreeMap<Arc<str>, Standing>,
    /// Endpoints that may be given an order, as they are at the start of the round.
    pub rooms: Vec<Room>,
}

/// The room of an endpoint that may be given an order; it has changed once it was given one.
#[derive(Debug)]
pub struct Room {
    pub endpoint: Arc<str>,
    pub free_mb: f64,
    /// Work that it carries, as a multiple of an even share.
    pub load: f64,
}

impl View {
    /// Looks at the service as it stands now.
    pub fn new(
        now: Duration,
        demand: &DemandTable,
        endpoints: &Endpoints,
        catalog: &Catalog,
        drain: DrainTime,
        switched_off: SwitchedOff,
    ) -> View {
        let ready = endpoints.values().filter(|endpoint| endpoint.ready).count();
        let work = demand.models.values().map(|rates| rates.total.fast(now) * rates.total.mean_work()).sum();
        let fleet = Fleet { endpoints: ready, work };
        let mut view = View {
            now,
            fleet,
            drain,
            switched_off,
            watched: demand.watched(now),
            models: BTreeMap::new(),
            rooms: Vec::new(),
        };
        view.take_demand(demand, catalog);
        for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
            view.take_copies(endpoint);
        }
        let free = endpoints.values().filter(|endpoint| endpoint.free(now));
        view.rooms = free.map(|endpoint| view.room(endpoint, catalog)).collect();
        view
    }

    fn room(&self, endpoint: &Endpoint, catalog: &Catalog) -> Room {
        Room { endpoint: endpoint.id.clone(), free_mb: endpoint.free_mb(catalog), load: self.load(endpoint) }
    }

    fn take_demand(&mut self, demand: &DemandTable, catalog: &Catalog) {
        for (model, rates) in &demand.models {
            let total = &rates.total;
            let mut target = self.fleet.target(total, self.fleet.endpoints, self.now);
            let adapters = rates.adapters.values().filter(|rates| rates.in_demand(self.now)).count();
            let places = adapters.div_ceil(catalog.max_adapters.max(1)).min(self.fleet.endpoints);
            target.order = target.order.max(places);
            target.keep = target.keep.max(places);
            let standing = Standing {
                target,
                need: self.fleet.endpoints_for(total.fast(self.now), total.mean_work()),
                remembered: total.remembered(self.now),
                fast: total.fast(self.now),
                work: total.fast(self.now) * total.mean_work(),
                in_demand: total.in_demand(self.now),
                urgent: total.urgent(self.now),
                ..Standing::default()
            };
            self.models.insert(model.clone(), standing);
        }
    }

    fn take_copies(&mut self, endpoint: &Endpoint) {
        let items = endpoint.items().filter(|item| item.is_model() && endpoint.keeps(item));
        let mut models: Vec<Arc<str>> = items.map(|item| item.model).collect();
        let intended = endpoint.intended(self.now).filter(|intended| !models.contains(intended));
        models.extend(intended.cloned());
        for model in &models {
            self.add_copy(model, &endpoint.zone);
            if endpoint.shows_model(model)
                && let Some(standing) = self.models.get_mut(model)
            {
                standing.serving += 1;
            }
        }
    }

    /// Counts a copy that was just ordered or is being made room for.
    pub fn add_copy(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        let standing = self.models.entry(model.clone()).or_default();
        standing.copies += 1;
        *standing.zones.entry(zone.clone()).or_default() += 1;
    }

    /// No longer counts a copy that was just ordered away.
    pub fn evict_copy(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        self.remove_copy(model, zone);
        if let Some(standing) = self.models.get_mut(model) {
            standing.serving = standing.serving.saturating_sub(1);
        }
    }

    /// No longer counts a copy for which room was to be made.
    pub fn remove_copy(&mut self, model: &Arc<str>, zone: &Arc<str>) {
        let Some(standing) = self.models.get_mut(model) else { return };
        standing.copies = standing.copies.saturating_sub(1);
        if let Some(copies) = standing.zones.get_mut(zone) {
            *copies = copies.saturating_sub(1);
        }
    }

    /// How the model stands; one that nobody asked for has no demand.
    pub fn standing(&self, model: &str) -> Standing {
        self.models.get(model).cloned().unwrap_or_default()
    }

    fn load(&self, endpoint: &Endpoint) -> f64 {
        if self.fleet.work <= 0.0 {
            return 0.0;
        }
        let held = endpoint.contents.models().filter_map(|held| self.models.get(&held.model));
        let work: f64 = held.map(Standing::work_per_copy).sum();
        work * self.fleet.endpoints as f64 / self.fleet.work
    }
}
