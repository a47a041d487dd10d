//! The placers of a controller, one for each service whose shard lease it holds, and the execution of their actions.

use crate::controller::consensus::shards::shard_of;
use crate::controller::event::Event;
use crate::controller::placement::endpoint_client::EndpointClient;
use crate::controller::placement::recent_demand::RecentDemand;
use crate::registration::Registered;
use lanegate_config::configuration::Configuration;
use lanegate_config::demand::DemandReport;
use lanegate_config::mechanism::Mechanism;
use lanegate_config::settings::Settings;
use lanegate_placement::{
    Action, EndpointReport, InvariantViolations, Item, OrderAnswer, OrderId, Placer, PlacerSettings,
    StartMode,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The placers of the services whose shard leases this controller holds.
#[derive(Debug, Default)]
pub(crate) struct Placers {
    placers: BTreeMap<String, Placer>,
    /// Epoch of each shard lease that this controller holds.
    epochs: BTreeMap<u8, u64>,
    /// Violations counted by placers that were dropped.
    ended_violations: InvariantViolations,
}

/// An action of the placer of `service`.
#[derive(Debug)]
pub(crate) struct ServiceAction {
    pub service: String,
    pub shard: u8,
    pub action: Action,
}

impl Placers {
    /// Shards of the services in `configuration` whose endpoints are engines.
    pub(crate) fn wanted_shards(configuration: &Configuration) -> impl Iterator<Item = u8> {
        let engines = configuration.backends.iter().filter(|backend| backend.runtime.is_some());
        engines.map(|backend| shard_of(&backend.name))
    }

    /// This controller has acquired the lease of `shard`.
    pub(crate) fn tenure_began(&mut self, shard: u8, epoch: u64) {
        self.epochs.insert(shard, epoch);
    }

    /// The epoch of this controller's lease of `shard`, if it holds one.
    pub(crate) fn epoch(&self, shard: u8) -> Option<u64> {
        self.epochs.get(&shard).copied()
    }

    /// Whether this controller holds the lease of `shard`.
    pub(crate) fn acts_for(&self, shard: u8) -> bool {
        self.epochs.contains_key(&shard)
    }

    /// The lease of `shard` has ended: drops the placers of its services.
    pub(crate) fn tenure_ended(&mut self, shard: u8) {
        self.epochs.remove(&shard);
        self.retain_placers(|service| shard_of(service) != shard);
    }

    /// Creates missing placers, drops those whose service was removed, and configures all of them. New placers are
    /// created with `start` and receive the known `instances` and `demand`.
    pub(crate) fn configure<'a>(
        &mut self,
        now: Duration,
        configuration: &Configuration,
        settings: &Settings,
        start: StartMode,
        instances: impl Iterator<Item = &'a Registered> + Clone,
        demand: &RecentDemand,
    ) {
        let runtime = |service: &str| {
            let backend = configuration.backends.iter().find(|backend| backend.name == service)?;
            backend.runtime.as_ref()
        };
        self.retain_placers(|service| runtime(service).is_some());
        for backend in &configuration.backends {
            let shard = shard_of(&backend.name);
            let (Some(runtime), Some(epoch)) = (&backend.runtime, self.epochs.get(&shard)) else { continue };
            if let Some(placer) = self.placers.get_mut(&backend.name) {
                placer.configure(now, runtime);
                continue;
            }
            let placer_settings = PlacerSettings::new(settings, start);
            let mut placer = Placer::new(now, &backend.name, *epoch, &placer_settings);
            if start == StartMode::Takeover {
                placer.credit_predecessor_idle_time(Duration::from_secs_f64(
                    settings.bounds.lease_ms.max(0.0) / 1e3,
                ));
            }
            placer.configure(now, runtime);
            if settings.switched_off.allows(Mechanism::DemandHandover) {
                demand.reports().iter().for_each(|(at, report)| placer.restore_demand(*at, report));
            }
            for registered in instances.clone().filter(|r| r.instance.backend == backend.name) {
                placer.register(now, &registered.instance);
            }
            self.placers.insert(backend.name.clone(), placer);
        }
    }

    fn retain_placers(&mut self, keep: impl Fn(&str) -> bool) {
        let ended = self.placers.iter().filter(|(service, _)| !keep(service));
        ended.for_each(|(_, placer)| self.ended_violations += placer.violations());
        self.placers.retain(|service, _| keep(service));
    }

    /// Orders that placers of this process withheld because they would have violated a limit.
    pub(crate) fn violations(&self) -> InvariantViolations {
        let mut sum = self.ended_violations;
        self.placers.values().for_each(|placer| sum += placer.violations());
        sum
    }

    /// A registration was added or changed.
    pub(crate) fn update_instance(&mut self, now: Duration, registered: &Registered) {
        if let Some(placer) = self.placers.get_mut(&registered.instance.backend) {
            placer.register(now, &registered.instance);
        }
    }

    /// The item that an endpoint was ordered to evict and may not have evicted yet.
    pub(crate) fn evicting(&self, registered: &Registered) -> Option<Item> {
        let instance = &registered.instance;
        self.placers.get(&instance.backend)?.evicting(&instance.id).cloned()
    }

    /// An incarnation was removed.
    pub(crate) fn removed(&mut self, now: Duration, id: &str) {
        self.placers.values_mut().for_each(|placer| placer.remove_endpoint(now, id));
    }

    /// A router reported its demand.
    pub(crate) fn demand(&mut self, now: Duration, router: &str, report: &DemandReport) {
        self.placers.values_mut().for_each(|placer| placer.add_demand(now, router, report));
    }

    /// An order has completed, with an answer or a time-out.
    pub(crate) fn answered(&mut self, now: Duration, service: &str, order: OrderId, answer: OrderAnswer) {
        if let Some(placer) = self.placers.get_mut(service) {
            placer.order_answered(now, order, answer);
        }
    }

    /// An endpoint answered a report request.
    pub(crate) fn reported(&mut self, now: Duration, service: &str, instance: &str, report: &EndpointReport) {
        if let Some(placer) = self.placers.get_mut(service) {
            placer.apply_report(now, instance, report);
        }
    }

    /// Runs the placers that are due, and collects their actions.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<ServiceAction> {
        let mut actions = Vec::new();
        for (service, placer) in &mut self.placers {
            if placer.next_wake().is_some_and(|at| at <= now) {
                placer.wake(now);
            }
            let shard = shard_of(service);
            while let Some(action) = placer.next_action() {
                actions.push(ServiceAction { service: service.clone(), shard, action });
            }
        }
        actions
    }

    /// When [`Placers::due`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.placers.values().filter_map(Placer::next_wake).min()
    }

    /// Whether this controller has a placer for any service.
    pub(crate) fn is_active(&self) -> bool {
        !self.placers.is_empty()
    }
}

/// The lease tenure on whose behalf an endpoint is called.
#[derive(Debug)]
pub(crate) struct OrderTenure {
    pub owner: String,
    pub epoch: u64,
}

/// Executes an action of a placer and reports its outcome as an event. An order is not sent after `send_by`.
pub(crate) async fn execute_action(
    client: EndpointClient,
    action: ServiceAction,
    tenure: OrderTenure,
    send_by: Instant,
    events: tokio::sync::mpsc::UnboundedSender<Event>,
) {
    let ServiceAction { service, action, .. } = action;
    let event = match action {
        Action::Order(order) => {
            let answer = client.send_order(&order, &tenure.owner, tenure.epoch, send_by.into()).await;
            log::info!(
                "order completed operation={:?} model={} adapter={:?} instance={} answer={answer:?}",
                order.operation,
                order.model,
                order.adapter,
                order.instance
            );
            Event::OrderAnswered { service, order, answer }
        }
        Action::RequestReport { instance, address } => {
            let Some(report) = client.request_report(&instance, address).await else { return };
            Event::Reported { service, instance: instance.to_string(), report }
        }
    };
    let _ = events.send(event);
}
