//! One planning round: derives orders from demand and from the contents of the endpoints.

use crate::adapter_placement::{AdapterPlanner, AdapterPriority, AdapterSite, DesiredAdapter};
use crate::desired_replica::{DesiredReplica, Priority, desired_replica, desired_replicas};
use crate::endpoint::Verification;
use crate::in_flight::InFlightOrder;
use crate::interface::{Action, Item, Operation, Order, OrderId};
use crate::model_placement::{Site, expected_load_time};
use crate::order_completion::REPORT_RETRY_DELAY;
use crate::order_log::{self, EndpointState};
use crate::placer::Placer;
use crate::planning_view::PlanningView;
use std::sync::Arc;
use std::time::Duration;

/// Loads of a window that are reserved for models without a replica.
const RESERVED_LOADS: usize = 3;

/// Urgent loads may exceed the concurrency limit by this many.
const URGENT_EXTRA_LOADS: usize = 1;

/// Models that are not in demand but may be requested again are loaded only while less than this fraction of the
/// window is used.
const RESTORE_FRACTION: f64 = 0.5;

/// Expected time of an adapter load.
const ADAPTER_LOAD: Duration = Duration::from_millis(100);

/// An order that is to be sent.
#[derive(Debug)]
struct Assignment {
    operation: Operation,
    item: Item,
    /// Whether requests wait for this load, or for the load that this eviction makes room for.
    urgent: bool,
    /// Rate of the item at the endpoint, requests/s; only for evictions of models.
    request_rate: f64,
}

impl Assignment {
    fn new(operation: Operation, item: Item, urgent: bool) -> Assignment {
        Assignment { operation, item, urgent, request_rate: 0.0 }
    }
}

impl Placer {
    /// Plans all models and adapters, and sends the resulting orders.
    pub(crate) fn plan(&mut self, now: Duration) {
        self.last_plan = Some(now);
        self.next_plan = None;
        self.load_blocked = false;
        if self.fenced {
            return;
        }
        self.demand.expire(now);
        let (drain, switched_off) = (self.drain, self.switched_off);
        let mut view =
            PlanningView::new(now, &self.demand, &self.endpoints, &self.catalog, drain, switched_off);
        self.continue_reservations(&mut view);
        self.place_models(&mut view);
        self.place_adapters(&view);
    }

    /// Continues the reservations: loads the reserved model once enough memory is free, and evicts more until then.
    fn continue_reservations(&mut self, view: &mut PlanningView) {
        let now = view.now;
        let reservations: Vec<(Arc<str>, Arc<str>)> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.accepts_orders(now))
            .filter_map(|endpoint| Some((endpoint.id.clone(), endpoint.reserved_model(now)?.clone())))
            .collect();
        for (id, model) in reservations {
            self.continue_reservation(view, &id, model);
        }
    }

    fn continue_reservation(&mut self, view: &mut PlanningView, id: &Arc<str>, model: Arc<str>) {
        let status = view.status(&model);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let surplus = status.replicas > status.target.maximum.max(1);
        if surplus || status.expected_rate <= 0.0 || self.catalog.get(&model).is_none() {
            endpoint.reservation = None;
            view.remove_replica(&model, &endpoint.zone);
            return;
        }
        let desired = DesiredReplica::at_reserved_site(model, status);
        let missing =
            self.catalog.size_mb(&Item::model(desired.model.clone())) - endpoint.free_mb(&self.catalog);
        match desired.victims(view, endpoint, &self.catalog, missing) {
            None => {
                endpoint.reservation = None;
                let zone = endpoint.zone.clone();
                view.remove_replica(&desired.model, &zone);
            }
            Some(victims) => {
                let victim = victims.into_iter().next().map(|victim| victim.model);
                let site = Site { endpoint: id.clone(), victim };
                self.send_next_order(view, &desired, &site);
            }
        }
    }

    fn place_models(&mut self, view: &mut PlanningView) {
        for desired in desired_replicas(view) {
            let status = view.status(&desired.model);
            let missing = status.target.minimum.max(1).saturating_sub(status.replicas);
            for _ in 0..missing {
                if !self.place_model(view, &desired.model) {
                    break;
                }
            }
        }
    }

    fn place_model(&mut self, view: &mut PlanningView, model: &Arc<str>) -> bool {
        let status = view.status(model);
        let Some(desired) = desired_replica(model, &status) else { return false };
        let Some(site) = desired.site(view, &self.endpoints, &self.catalog, self.seed) else { return false };
        let Some(endpoint) = self.endpoints.get(&site.endpoint) else { return false };
        let zone = endpoint.zone.clone();
        let uses_store = !endpoint.on_disk.contains(model);
        let reserves = site.victim.is_some() || endpoint.revision().is_none();
        if uses_store && !self.may_load(view.now, desired.priority) {
            self.load_blocked = true;
            return false;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&site.endpoint) {
            if let Some(reservation) =
                endpoint.reservation.take().filter(|reservation| view.now < reservation.until)
            {
                view.remove_replica(&reservation.model, &zone);
            }
            if reserves {
                endpoint.reserve_for(model.clone(), desired.priority.urgent(), view.now);
            }
        }
        view.add_replica(model, &zone);
        self.send_next_order(view, &desired, &site);
        true
    }

    /// Whether the weight store's limits allow a load of this priority.
    fn may_load(&mut self, now: Duration, priority: Priority) -> bool {
        match priority {
            Priority::Unplaced | Priority::First | Priority::Underprovisioned => {
                self.load_limiter.available(now, 0, URGENT_EXTRA_LOADS) > 0
            }
            Priority::Additional => self.load_limiter.available(now, RESERVED_LOADS, 0) > 0,
            Priority::Restore => {
                self.load_limiter.utilization(now) < RESTORE_FRACTION
                    && self.load_limiter.available(now, 0, 0) > 0
            }
        }
    }

    /// Sends the next order for a replica at a site: an eviction, or the load.
    fn send_next_order(&mut self, view: &mut PlanningView, desired: &DesiredReplica, site: &Site) {
        if !self.ensure_verified(view.now, &site.endpoint) {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&site.endpoint) else { return };
        let urgent = desired.priority.urgent();
        if let Some(victim) = &site.victim {
            let zone = endpoint.zone.clone();
            let request_rate = view.status(victim).rate_per_replica();
            view.evict_replica(victim, &zone);
            let eviction = Assignment {
                request_rate,
                ..Assignment::new(Operation::Evict, Item::model(victim.clone()), urgent)
            };
            self.send_order(view.now, &site.endpoint, eviction);
            return;
        }
        let uses_store = !endpoint.on_disk.contains(&desired.model);
        if uses_store && !self.may_load(view.now, desired.priority) {
            self.load_blocked = true;
            return;
        }
        let load = Assignment::new(Operation::Load, Item::model(desired.model.clone()), urgent);
        self.send_order(view.now, &site.endpoint, load);
    }

    fn place_adapters(&mut self, view: &PlanningView) {
        let now = view.now;
        let mut adapters = AdapterPlanner::new(view, &self.demand, &self.endpoints, &self.catalog, self.seed);
        let mut chosen: Vec<(DesiredAdapter, AdapterSite)> = Vec::new();
        for desired in adapters.desired() {
            let excluded: Vec<&Arc<str>> = chosen.iter().map(|(_, site)| &site.endpoint).collect();
            if let Some(site) = adapters.site(&desired, &excluded) {
                adapters.record_eviction(site.victim.as_ref());
                chosen.push((desired, site));
            }
        }
        for (desired, site) in chosen {
            self.place_adapter(now, &desired, &site);
        }
    }

    fn place_adapter(&mut self, now: Duration, desired: &DesiredAdapter, site: &AdapterSite) {
        if !self.ensure_verified(now, &site.endpoint) {
            return;
        }
        let urgent = desired.priority == AdapterPriority::First;
        let assignment = match &site.victim {
            Some(victim) => Assignment::new(Operation::Evict, victim.clone(), urgent),
            None => Assignment::new(Operation::Load, desired.item.clone(), urgent),
        };
        self.send_order(now, &site.endpoint, assignment);
    }

    /// Whether the contents of an endpoint are verified; otherwise a report is requested.
    fn ensure_verified(&mut self, now: Duration, id: &Arc<str>) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        match endpoint.verification {
            Verification::Verified { .. } => true,
            Verification::Unverified { not_before } if now >= not_before => {
                endpoint.verification = Verification::Requested { at: now };
                let address = endpoint.address;
                self.actions.push_back(Action::RequestReport { instance: id.clone(), address });
                false
            }
            Verification::Unverified { .. } | Verification::Requested { .. } => false,
        }
    }

    /// Sends an order to an endpoint that accepts orders and has verified contents.
    fn send_order(&mut self, now: Duration, id: &Arc<str>, assignment: Assignment) {
        let Assignment { operation, item, urgent, request_rate } = assignment;
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
            log::error!(
                "order blocked instance={id} operation={operation:?} item={item} violation=\"{violation}\""
            );
            endpoint.invalidate(now + REPORT_RETRY_DELAY);
            return;
        }
        let in_flight = self.in_flight_order(now, &order, urgent, request_rate);
        if in_flight.uses_store {
            self.load_limiter.start(order.id, in_flight.expected);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.order = Some(in_flight);
            order_log::sent(now, &order, &EndpointState { endpoint, catalog: &self.catalog });
        }
        self.orders.insert(order.id, id.clone());
        self.actions.push_back(Action::Order(order));
    }

    fn in_flight_order(
        &self,
        now: Duration,
        order: &Order,
        urgent: bool,
        request_rate: f64,
    ) -> InFlightOrder {
        let loads_model = order.operation == Operation::Load && order.adapter.is_none();
        let load_time =
            if loads_model { expected_load_time(&self.catalog, &order.model) } else { ADAPTER_LOAD };
        let on_disk = self
            .endpoints
            .get(&order.instance)
            .is_some_and(|endpoint| endpoint.on_disk.contains(&order.model));
        let mut in_flight = InFlightOrder::new(order, now, load_time);
        in_flight.urgent = urgent;
        in_flight.request_rate = request_rate;
        in_flight.uses_store = loads_model && !on_disk;
        in_flight
    }
}
