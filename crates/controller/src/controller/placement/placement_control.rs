//! Placement for the services whose shard leases this controller holds: candidacy for leases, input for the placers, and
//! sending of orders.

use crate::controller::consensus::shards;
use crate::controller::endpoints::pending_loads::{PendingLoadStep, residency_update};
use crate::controller::placement::endpoint_client::{CONNECT_TIMEOUT, ORDER_WIRE_TIME};
use crate::controller::placement::placers::{Placers, ServiceAction};
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use crate::message::{Message, ResidencyUpdate, RouterDemand, ShardMessage};
use lanegate_config::demand::DemandReport;
use lanegate_config::mechanism::Mechanism;
use lanegate_coordination::lease::Output;
use lanegate_coordination::register::Input;
use lanegate_invariants::Invariant;
use lanegate_placement::{Action, Operation, Order, OrderAnswer, StartMode};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time limit for the allocation of an epoch.
const EPOCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The first epoch of a shard.
const FIRST_EPOCH: u64 = 1;

impl Controller {
    /// Sets for which leases this controller is a candidate: those of shards that have services with engines and that it
    /// owns or already holds the lease of, while it is in contact with a majority and not draining.
    pub(crate) fn campaign_for_leases(&mut self) {
        let Some(configuration) = self.configuration.clone() else { return };
        let now = self.now();
        let wanted: BTreeSet<u8> = Placers::wanted_shards(&configuration).collect();
        for shard in shards::all().filter(|shard| *shard != shards::CONFIGURATION) {
            // A lease holder remains a candidate even if it is no longer the owner: moving the lease to the owner would
            // cost a quiet period.
            let acts = self.placers.acts_for(shard);
            let is_candidate = wanted.contains(&shard) && (acts || self.owns(shard));
            let is_candidate = is_candidate && self.has_contact(shard) && !self.is_draining();
            let outputs = self.leases.set_candidate(now, u32::from(shard), is_candidate);
            self.lease_outputs(outputs);
        }
    }

    /// Executes the outputs of the leases.
    pub(crate) fn lease_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => match message.encode() {
                    Ok(bytes) => {
                        let message = Message::Lease(ShardMessage { shard: 0, body: bytes.into() });
                        self.peers.send(to, &message);
                    }
                    Err(error) => log::error!("lease message not encoded error={error}"),
                },
                Output::AcquireEpoch { shard, tenure } => {
                    let now = self.now();
                    let request = self.request_number();
                    self.in_flight.insert(request, InFlightRequest::Epoch(shard, tenure));
                    let input =
                        Input::Propose { request, command: Vec::new(), deadline: now + EPOCH_TIMEOUT };
                    let outputs = self.shards.handle(now, shard as u8, input);
                    self.execute_outputs(shard as u8, outputs);
                }
                Output::Began { shard, epoch, .. } => {
                    log::info!("lease acquired shard={shard} epoch={epoch}");
                    self.counters.tenures += 1;
                    let newest = self.newest_epochs.insert(shard, epoch).unwrap_or_default();
                    self.violations.check(Invariant::EpochRises, epoch > newest);
                    self.placers.tenure_began(shard as u8, epoch);
                    self.configure_placements(epoch);
                }
                Output::Ended { .. } if self.has_fault(ControllerFault::OrderWithoutLease) => {}
                Output::Ended { shard, .. } => {
                    log::info!("lease ended shard={shard}");
                    self.placers.tenure_ended(shard as u8);
                    self.pending_loads.tenure_ended(shard as u8);
                }
            }
        }
    }

    /// Configures the placers; `epoch` is the epoch of a tenure that has just begun, or 0.
    pub(crate) fn configure_placements(&mut self, epoch: u64) {
        let Some(configuration) = self.configuration.clone() else { return };
        let first = self.first_start && epoch == FIRST_EPOCH;
        let start = if first { StartMode::First } else { StartMode::Takeover };
        let now = self.now();
        let instances = self.endpoints.live().map(|(_, registered)| registered);
        let demand = &self.recent_demand;
        self.placers.configure(now, &configuration, &self.settings, start, instances, demand);
    }

    /// A router reported its demand.
    pub(crate) fn on_demand(&mut self, demand: &RouterDemand) {
        let now = self.now();
        let router = demand.router.text();
        self.recent_demand.record(now, demand);
        self.routers.record_report(now, router.clone());
        if demand.age_ms > 0 || !self.placers.is_active() {
            return;
        }
        match serde_json::from_slice::<DemandReport>(&demand.report.bytes) {
            Ok(report) => self.placers.demand(now, &router, &report),
            Err(error) => log::warn!("demand report not parsed router={router} error={error}"),
        }
    }

    /// Executes the due actions of the placers and of pending loads.
    pub(crate) fn run_placers(&mut self, now: Duration) {
        for action in self.placers.due(now) {
            self.start_action(action);
        }
        for step in self.pending_loads.due(now) {
            match step {
                PendingLoadStep::Publish(residency_update) => self.publish(residency_update),
                PendingLoadStep::RequestReport { service, instance, address } => {
                    let shard = shards::shard_of(&service);
                    let action = Action::RequestReport { instance, address };
                    self.start_action(ServiceAction { service, shard, action });
                }
            }
        }
    }

    /// An order has completed, with an answer or a time-out.
    pub(crate) fn order_answered(&mut self, service: &str, order: &Order, answer: OrderAnswer) {
        let now = self.now();
        self.counters.order_answered(order.operation, answer);
        if answer == OrderAnswer::Accepted {
            let load_time = self.load_time(service, &order.model);
            self.pending_loads.accepted(now, service, order, load_time);
        }
        self.placers.answered(now, service, order.id, answer);
    }

    fn load_time(&self, service: &str, model: &str) -> Duration {
        let configuration = self.configuration.as_ref();
        let backends = configuration.into_iter().flat_map(|configuration| &configuration.backends);
        let runtime = backends.filter(|b| b.name == service).find_map(|backend| backend.runtime.as_ref());
        let model = runtime.and_then(|runtime| runtime.models.iter().find(|m| m.name == model));
        model.map_or(Duration::ZERO, |model| Duration::from_secs_f64(model.load_time_s))
    }

    /// Publishes a residency update to peers and subscribers.
    pub(crate) fn publish(&mut self, residency_update: ResidencyUpdate) {
        if let Some(residency_update) = self.endpoints.publish(residency_update) {
            let message = Message::ResidencyUpdate(residency_update);
            self.subscribers.append(&message);
            self.peers.broadcast(&message);
        }
    }

    fn start_action(&mut self, action: ServiceAction) {
        // The clock is read again: this process may have stalled since the tick began.
        let now = self.now();
        let shard = u32::from(action.shard);
        let epoch = match &action.action {
            Action::Order(_) => self.leases.authorize(now, shard, ORDER_WIRE_TIME),
            Action::RequestReport { .. } => self.leases.current_epoch(now, shard, ORDER_WIRE_TIME),
        };
        let ignores_lease = self.has_fault(ControllerFault::OrderWithoutLease);
        let epoch = if ignores_lease { self.placers.epoch(action.shard) } else { epoch };
        match (epoch, &action.action) {
            (Some(epoch), action_kind) => {
                if matches!(action_kind, Action::Order(_)) {
                    self.counters.order_sent();
                }
                self.announce_eviction(&action.action);
                self.environment.execute_action(
                    action,
                    &self.settings.node_name,
                    epoch,
                    now + CONNECT_TIMEOUT,
                );
            }
            (None, Action::Order(order)) => {
                let id = order.id;
                self.counters.order_withheld(order.operation);
                self.placers.answered(now, &action.service, id, OrderAnswer::Unavailable);
            }
            (None, Action::RequestReport { .. }) => {}
        }
    }

    /// Notifies routers that an endpoint is about to evict a model, before the order is sent to the endpoint.
    fn announce_eviction(&mut self, action: &Action) {
        let Action::Order(order) = action else { return };
        if order.operation == Operation::Evict {
            self.publish(residency_update(&order.instance, &order.model, order.adapter.as_deref(), false));
        }
    }

    /// Updates the placers with the registered state of an endpoint.
    pub(crate) fn update_placers(&mut self, id: &str) {
        if !self.placers.is_active() {
            return;
        }
        let now = self.now();
        match self.endpoints.registration(id) {
            Some(registered) => self.placers.update_instance(now, registered),
            None => self.placers.removed(now, id),
        }
        self.republish_evictions(id);
    }

    /// Notifies the placers of the incarnations that these messages remove.
    pub(crate) fn update_placers_of_removed(&mut self, messages: &[Message]) {
        for message in messages {
            if let Message::Removed(removed) = message {
                self.update_placers(&removed.id.text());
            }
        }
    }

    /// Publishes a pending eviction again after a heartbeat. An endpoint lists an evicted model until the last run with
    /// it has ended, but refuses requests for it all that time. Otherwise its heartbeats would make routers send requests
    /// for the model again.
    fn republish_evictions(&mut self, id: &str) {
        if !self.settings.switched_off.allows(Mechanism::EvictionHiding) {
            return;
        }
        let Some(registered) = self.endpoints.registration(id) else { return };
        let Some(item) = self.placers.evicting(registered) else { return };
        if registered.has_resident(&item.model, item.adapter.as_deref()) {
            self.publish(residency_update(id, &item.model, item.adapter.as_deref(), false));
        }
    }
}
