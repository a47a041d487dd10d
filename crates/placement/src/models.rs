//! Where a model that wants another copy should be loaded, and what gives way to it.

use crate::catalog::Catalog;
use crate::contents::Held;
use crate::endpoint::Endpoint;
use crate::interface::Item;
use crate::view::{Endpoints, Room, Standing, View};
use lanegate_config::mechanism::Mechanism;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// What the loss of a model's last copy costs with each request that comes for it: a load and lateness.
const MISS_COST: f64 = 1.4;

/// What the loss of a further copy costs with each request that the others have to take on.
const SPARE_COST: f64 = 0.3;

/// What the loss of a copy that is not needed costs, and with each request that it served.
const SURPLUS_COST: f64 = 0.02;

/// What an eviction costs before a load: an order and some time.
const EVICTION_COST: f64 = 0.15;

/// What a load from the weight store costs beyond one from the endpoint's own disk.
const STORE_COST: f64 = 0.2;

/// What it costs to put all copies into one zone.
const ZONE_COST: f64 = 0.3;

/// What it costs to load onto an endpoint that carries an even share of the work.
const LOAD_COST: f64 = 0.1;

/// A model that requests wait for is worth at least so many requests a second.
const LEAST_RATE: f64 = 0.25;

/// A further copy replaces a last one only if it is worth this many times as much.
const REPLACE_RATIO: f64 = 3.0;

/// Requests a second from which a model that lost its last copy is loaded before it is asked for again.
const RESTORE_RATE: f64 = 0.008;

/// A chosen endpoint, and what it first has to evict.
#[derive(Debug, Clone)]
pub struct Site {
    pub endpoint: Arc<str>,
    pub victim: Option<Arc<str>>,
}

/// A model that wants a copy.
#[derive(Debug, Clone)]
pub struct Wish {
    pub model: Arc<str>,
    pub rank: Rank,
    standing: Standing,
}

/// How much a copy is wanted; the first is wanted most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Requests find no endpoint.
    Unplaced,
    /// No endpoint holds it, and it is in demand.
    First,
    /// Its copies carry more than twice what they should.
    Short,
    /// Its copies are too few for its demand.
    Further,
    /// It has lost its last copy and may be asked for again.
    Restore,
}

impl Rank {
    /// Wishes of one group compete by what a copy gains; an earlier group goes first.
    fn group(self) -> u8 {
        match self {
            Rank::Unplaced | Rank::First | Rank::Short => 0,
            Rank::Further => 1,
            Rank::Restore => 2,
        }
    }

    /// Whether requests wait for the load.
    pub fn urgent(self) -> bool {
        self <= Rank::Short
    }
}

/// The models that want a copy, the most wanted first.
pub fn wishes(view: &View) -> Vec<Wish> {
    let mut wishes: Vec<Wish> =
        view.models.iter().filter_map(|(model, standing)| wish(model, standing)).collect();
    wishes.retain(|wish| wish.rank != Rank::Restore || view.switched_off.leaves(Mechanism::Restore));
    wishes.sort_by(|a, b| a.rank.group().cmp(&b.rank.group()).then(b.gain().total_cmp(&a.gain())));
    wishes
}

/// What a model wants as it stands, if anything.
pub fn wish(model: &Arc<str>, standing: &Standing) -> Option<Wish> {
    let rank = match standing.copies {
        0 if standing.urgent => Rank::Unplaced,
        0 if standing.in_demand => Rank::First,
        0 if standing.remembered >= RESTORE_RATE => Rank::Restore,
        copies if copies > 0 && copies * 2 < standing.target.order => Rank::Short,
        copies if copies > 0 && copies < standing.target.order => Rank::Further,
        _ => return None,
    };
    Some(Wish { model: model.clone(), rank, standing: standing.clone() })
}

impl Wish {
    /// A wish for a copy whose place is chosen already.
    pub fn chosen(model: Arc<str>, standing: Standing) -> Wish {
        let rank = match standing.copies {
            0..=1 if standing.urgent => Rank::Unplaced,
            0..=1 if standing.in_demand => Rank::First,
            0..=1 => Rank::Restore,
            copies if (copies - 1) * 2 < standing.target.order => Rank::Short,
            _ => Rank::Further,
        };
        Wish { model, rank, standing }
    }

    /// What another copy is worth, in requests a second times what a miss of one costs.
    fn gain(&self) -> f64 {
        let standing = &self.standing;
        match self.rank {
            Rank::Unplaced | Rank::First | Rank::Restore => {
                MISS_COST * standing.fast.max(standing.remembered).max(LEAST_RATE)
            }
            Rank::Short => MISS_COST * standing.served_by_one_more(standing.copies).max(LEAST_RATE),
            Rank::Further => SPARE_COST * standing.relief(standing.copies),
        }
    }

    /// The best endpoint for another copy.
    pub fn site(&self, view: &View, endpoints: &Endpoints, catalog: &Catalog, seed: u64) -> Option<Site> {
        let open = view.rooms.iter().filter_map(|room| Some((room, endpoints.get(&room.endpoint)?)));
        let sites = open.filter_map(|(room, endpoint)| self.rate_site(view, room, endpoint, catalog, seed));
        sites.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, site)| site)
    }

    fn rate_site(
        &self,
        view: &View,
        room: &Room,
        endpoint: &Endpoint,
        catalog: &Catalog,
        seed: u64,
    ) -> Option<(f64, Site)> {
        let item = Item::model(self.model.clone());
        let open = endpoint.free(view.now) && endpoint.open_to(self.rank.urgent(), view.now);
        if !open || endpoint.counts(&item) {
            return None;
        }
        let missing = catalog.size_mb(&item) - room.free_mb;
        let victims = self.victims(view, endpoint, catalog, missing)?;
        let lost: f64 = victims.iter().map(|victim| victim.cost).sum();
        let evictions = victims.len() as f64 * EVICTION_COST;
        let store = if endpoint.on_disk.contains(&self.model) { 0.0 } else { STORE_COST };
        let near = self.standing.zones.get(&endpoint.zone).copied().unwrap_or(0);
        let zone = ZONE_COST * near as f64 / self.standing.copies.max(1) as f64;
        let load = LOAD_COST * room.load;
        let cost = lost + evictions + store + zone + load + tie(seed, &self.model, &endpoint.id);
        let victim = victims.into_iter().next().map(|victim| victim.model);
        Some((cost, Site { endpoint: endpoint.id.clone(), victim }))
    }

    /// What has to go from an endpoint for `missing` MB of room; nothing if that can't be had.
    pub fn victims(
        &self,
        view: &View,
        endpoint: &Endpoint,
        catalog: &Catalog,
        missing: f64,
    ) -> Option<Vec<Victim>> {
        if missing <= 0.0 {
            return Some(Vec::new());
        }
        if self.rank == Rank::Restore {
            return None;
        }
        let held = endpoint.contents.models().filter(|held| endpoint.shows_model(&held.model));
        let mut candidates: Vec<Victim> = held.filter_map(|held| self.victim(view, held, catalog)).collect();
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

    fn victim(&self, view: &View, held: &Held, catalog: &Catalog) -> Option<Victim> {
        let cost = match view.models.get(&held.model) {
            Some(standing) => self.cost_of(view, standing)?,
            None => self.cost_of(view, &Standing::default())?,
        };
        let cost = cost + self.drain_cost(view, held);
        let adapters = held.adapters.iter().map(|adapter| Item::adapter(held.model.clone(), adapter.clone()));
        let adapters_mb: f64 = adapters.map(|item| catalog.size_mb(&item)).sum();
        let freed_mb = catalog.size_mb(&Item::model(held.model.clone())) + adapters_mb;
        Some(Victim { model: held.model.clone(), cost, freed_mb })
    }

    /// What it costs that the room comes free only when the last run of the victim has ended: until then, requests
    /// for this model miss.
    fn drain_cost(&self, view: &View, held: &Held) -> f64 {
        if !view.switched_off.leaves(Mechanism::DrainCost) {
            return 0.0;
        }
        let rate = view.models.get(&held.model).map_or(0.0, Standing::rate_per_copy);
        self.gain() * view.drain.expected_s(rate)
    }

    /// What it costs to take a copy from a model; nothing if it may not be taken for this wish.
    fn cost_of(&self, view: &View, other: &Standing) -> Option<f64> {
        if !view.watched || (other.in_demand && other.serving <= 1) {
            return None;
        }
        if other.copies > other.target.keep.max(1) {
            return Some(SURPLUS_COST * (1.0 + other.remembered / other.copies as f64));
        }
        if other.in_demand {
            let left = other.copies - 1;
            let missed = match view.switched_off.leaves(Mechanism::NeededCopies) {
                true => other.served_by_one_more(left),
                false => 0.0,
            };
            let cost = SPARE_COST * other.relief(left) + MISS_COST * missed;
            return (other.copies >= 2 && self.rank.urgent() && cost <= self.gain()).then_some(cost);
        }
        let cost = MISS_COST * other.remembered;
        let pays = self.rank.urgent()
            || cost * REPLACE_RATIO < SPARE_COST * self.standing.relief(self.standing.copies);
        pays.then_some(cost)
    }
}

/// A copy that may be given up.
#[derive(Debug)]
pub struct Victim {
    pub model: Arc<str>,
    cost: f64,
    freed_mb: f64,
}

/// A small share of a cost that spreads equal choices, the same in every round.
fn tie(seed: u64, model: &str, endpoint: &str) -> f64 {
    const SHARE: f64 = 0.01;
    rendezvous(seed, model, "", endpoint) as f64 / u64::MAX as f64 * SHARE
}

/// Rank of an endpoint for an item: stable as endpoints come and go.
pub fn rendezvous(seed: u64, model: &str, adapter: &str, endpoint: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, model, adapter, endpoint).hash(&mut hasher);
    hasher.finish()
}

/// Time that a load should take, with some allowance for requests that run there.
pub fn load_lasts(catalog: &Catalog, model: &str) -> Duration {
    catalog.load_time(model).mul_f64(1.2) + Duration::from_millis(100)
}
