//! One round of planning: from demand and what the endpoints hold to orders.

use crate::adapters::{AdapterRank, AdapterSite, AdapterView, AdapterWish};
use crate::answers::ASK_AGAIN;
use crate::endpoint::Verification;
use crate::interface::{Action, Item, Operation, Order, OrderId};
use crate::models::{Rank, Site, Wish, load_lasts, wish, wishes};
use crate::order_log::{self, Belief};
use crate::placer::Placer;
use crate::underway::Underway;
use crate::view::View;
use std::sync::Arc;
use std::time::Duration;

/// Loads of a window that are left for models that no endpoint holds.
const RESERVED_LOADS: usize = 3;

/// Loads that requests wait for may go so far beyond what the store serves at full speed.
const URGENT_BEYOND: usize = 1;

/// Share of a window's loads up to which models are loaded that may be asked for again.
const RESTORE_SHARE: f64 = 0.5;

/// How long an adapter's load should take.
const ADAPTER_LOAD: Duration = Duration::from_millis(100);

/// What an endpoint is to be ordered.
#[derive(Debug)]
struct Assignment {
    operation: Operation,
    item: Item,
    /// Whether requests wait for what the order makes possible.
    urgent: bool,
    /// Requests a second that the item gets there, where that matters.
    rate: f64,
}

impl Assignment {
    fn new(operation: Operation, item: Item, urgent: bool) -> Assignment {
        Assignment { operation, item, urgent, rate: 0.0 }
    }
}

impl Placer {
    /// Looks at everything and gives what orders are worth giving.
    pub(crate) fn plan(&mut self, now: Duration) {
        self.planned = Some(now);
        self.plan_at = None;
        self.blocked = false;
        if self.fenced {
            return;
        }
        self.demand.forget(now);
        let (drain, switched_off) = (self.drain, self.switched_off);
        let mut view = View::new(now, &self.demand, &self.endpoints, &self.catalog, drain, switched_off);
        self.follow_intents(&mut view);
        self.place_models(&mut view);
        self.place_adapters(&view);
    }

    /// Goes on where room is being made: loads once there is room, evicts more while there is not.
    fn follow_intents(&mut self, view: &mut View) {
        let now = view.now;
        let intents: Vec<(Arc<str>, Arc<str>)> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.free(now))
            .filter_map(|endpoint| Some((endpoint.id.clone(), endpoint.intended(now)?.clone())))
            .collect();
        for (id, model) in intents {
            self.follow_intent(view, &id, model);
        }
    }

    fn follow_intent(&mut self, view: &mut View, id: &Arc<str>, model: Arc<str>) {
        let standing = view.standing(&model);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let surplus = standing.copies > standing.target.keep.max(1);
        if surplus || standing.remembered <= 0.0 || self.catalog.get(&model).is_none() {
            endpoint.intent = None;
            view.remove_copy(&model, &endpoint.zone);
            return;
        }
        let wish = Wish::chosen(model, standing);
        let missing =
            self.catalog.size_mb(&Item::model(wish.model.clone())) - endpoint.free_mb(&self.catalog);
        match wish.victims(view, endpoint, &self.catalog, missing) {
            None => {
                endpoint.intent = None;
                let zone = endpoint.zone.clone();
                view.remove_copy(&wish.model, &zone);
            }
            Some(victims) => {
                let victim = victims.into_iter().next().map(|victim| victim.model);
                let site = Site { endpoint: id.clone(), victim };
                self.carry_out(view, &wish, &site);
            }
        }
    }

    fn place_models(&mut self, view: &mut View) {
        for wanted in wishes(view) {
            let standing = view.standing(&wanted.model);
            let missing = standing.target.order.max(1).saturating_sub(standing.copies);
            for _ in 0..missing {
                if !self.place_model(view, &wanted.model) {
                    break;
                }
            }
        }
    }

    fn place_model(&mut self, view: &mut View, model: &Arc<str>) -> bool {
        let standing = view.standing(model);
        let Some(wish) = wish(model, &standing) else { return false };
        let Some(site) = wish.site(view, &self.endpoints, &self.catalog, self.seed) else { return false };
        let Some(endpoint) = self.endpoints.get(&site.endpoint) else { return false };
        let zone = endpoint.zone.clone();
        let counted = !endpoint.on_disk.contains(model);
        let later = site.victim.is_some() || endpoint.revision().is_none();
        if counted && !self.permitted(view.now, wish.rank) {
            self.blocked = true;
            return false;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&site.endpoint) {
            if let Some(intent) = endpoint.intent.take().filter(|intent| view.now < intent.until) {
                view.remove_copy(&intent.model, &zone);
            }
            if later {
                endpoint.intend(model.clone(), wish.rank.urgent(), view.now);
            }
        }
        view.add_copy(model, &zone);
        self.carry_out(view, &wish, &site);
        true
    }

    /// Whether the weight store may be asked for a load that is wanted this much.
    fn permitted(&mut self, now: Duration, rank: Rank) -> bool {
        match rank {
            Rank::Unplaced | Rank::First | Rank::Short => self.store.available(now, 0, URGENT_BEYOND) > 0,
            Rank::Further => self.store.available(now, RESERVED_LOADS, 0) > 0,
            Rank::Restore => self.store.used(now) < RESTORE_SHARE && self.store.available(now, 0, 0) > 0,
        }
    }

    /// Gives the order that comes next for a copy at a site.
    fn carry_out(&mut self, view: &mut View, wish: &Wish, site: &Site) {
        if !self.verified(view.now, &site.endpoint) {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&site.endpoint) else { return };
        let urgent = wish.rank.urgent();
        if let Some(victim) = &site.victim {
            let zone = endpoint.zone.clone();
            let rate = view.standing(victim).rate_per_copy();
            view.evict_copy(victim, &zone);
            let eviction =
                Assignment { rate, ..Assignment::new(Operation::Evict, Item::model(victim.clone()), urgent) };
            self.give(view.now, &site.endpoint, eviction);
            return;
        }
        let counted = !endpoint.on_disk.contains(&wish.model);
        if counted && !self.permitted(view.now, wish.rank) {
            self.blocked = true;
            return;
        }
        let load = Assignment::new(Operation::Load, Item::model(wish.model.clone()), urgent);
        self.give(view.now, &site.endpoint, load);
    }

    fn place_adapters(&mut self, view: &View) {
        let now = view.now;
        let mut adapters = AdapterView::new(view, &self.demand, &self.endpoints, &self.catalog, self.seed);
        let mut given: Vec<(AdapterWish, AdapterSite)> = Vec::new();
        for wish in adapters.wishes() {
            let taken: Vec<&Arc<str>> = given.iter().map(|(_, site)| &site.endpoint).collect();
            if let Some(site) = adapters.site(&wish, &taken) {
                adapters.evicted(site.victim.as_ref());
                given.push((wish, site));
            }
        }
        for (wish, site) in given {
            self.place_adapter(now, &wish, &site);
        }
    }

    fn place_adapter(&mut self, now: Duration, wish: &AdapterWish, site: &AdapterSite) {
        if !self.verified(now, &site.endpoint) {
            return;
        }
        let urgent = wish.rank == AdapterRank::First;
        let assignment = match &site.victim {
            Some(victim) => Assignment::new(Operation::Evict, victim.clone(), urgent),
            None => Assignment::new(Operation::Load, wish.item.clone(), urgent),
        };
        self.give(now, &site.endpoint, assignment);
    }

    /// Whether an endpoint may be given an order; otherwise it is asked what it holds.
    fn verified(&mut self, now: Duration, id: &Arc<str>) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        match endpoint.verification {
            Verification::Settled { .. } => true,
            Verification::Wanted { not_before } if now >= not_before => {
                endpoint.verification = Verification::Asked { at: now };
                let address = endpoint.address;
                self.actions.push_back(Action::RequestReport { instance: id.clone(), address });
                false
            }
            Verification::Wanted { .. } | Verification::Asked { .. } => false,
        }
    }

    /// Gives an order to an endpoint that is free and of which it is known what it holds.
    fn give(&mut self, now: Duration, id: &Arc<str>, assignment: Assignment) {
        let Assignment { operation, item, urgent, rate } = assignment;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let Some(if_revision) = endpoint.revision() else { return };
        self.last_order += 1;
        let order = Order {
            id: OrderId(self.last_order),
            instance: id.clone(),
            address: endpoint.address,
            operation,
            model: item.model.clone(),
            adapter: item.adapter.clone(),
            if_revision,
        };
        if let Err(violation) = self.guard.permit(now, &order, &self.catalog) {
            log::error!("held back: {operation:?} {item} at {id}: {violation}");
            endpoint.doubt(now + ASK_AGAIN);
            return;
        }
        let lasts = match (operation, item.is_model()) {
            (Operation::Load, true) => load_lasts(&self.catalog, &item.model),
            _ => ADAPTER_LOAD,
        };
        let mut underway = Underway::new(&order, now, lasts);
        underway.urgent = urgent;
        underway.rate = rate;
        underway.counted =
            operation == Operation::Load && item.is_model() && !endpoint.on_disk.contains(&item.model);
        if underway.counted {
            self.store.ordered(order.id, now + lasts);
        }
        endpoint.order = Some(underway);
        order_log::given(now, &order, &Belief { endpoint, catalog: &self.catalog });
        self.orders.insert(order.id, id.clone());
        self.actions.push_back(Action::Order(order));
    }
}
