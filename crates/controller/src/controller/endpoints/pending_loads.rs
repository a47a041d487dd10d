//! Accepted loads of models that are not resident yet. Routers are notified of a loaded model or adapter as soon as it
//! can be used, instead of with the endpoint's next heartbeat, which may be up to a second later.

use crate::controller::consensus::shards::shard_of;
use crate::message::ResidencyUpdate;
use lanegate_config::instance::ResidentModel;
use lanegate_placement::{Operation, Order};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an accepted adapter can be used; loading an adapter takes some milliseconds.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);
/// Delay after a load's usual time until the endpoint's report includes the model.
const REPORT_LAG: Duration = Duration::from_millis(230);
/// Delay before the report of an endpoint that is still loading is requested again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of report requests for one load. [`RETRY_DELAY`] after the last one the load is dropped, and the
/// endpoint's heartbeats report the model.
const MAX_REPORT_REQUESTS: u32 = 4;

/// A load that an endpoint has accepted but not reported as resident yet.
#[derive(Debug)]
struct PendingLoad {
    service: String,
    instance: Arc<str>,
    address: SocketAddr,
    model: Arc<str>,
    adapter: Option<Arc<str>>,
    at: Duration,
    requests: u32,
}

/// An action that is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PendingLoadStep {
    /// Publish the update to peers and subscribers.
    Publish(ResidencyUpdate),
    /// Request the report of the endpoint.
    RequestReport { service: String, instance: Arc<str>, address: SocketAddr },
}

/// Accepted loads that are not reported as resident yet.
#[derive(Debug, Default)]
pub(crate) struct PendingLoads {
    pending: Vec<PendingLoad>,
}

impl PendingLoads {
    /// Tracks an accepted load order; `load_time` is the usual time to load the model from the store.
    pub(crate) fn accepted(&mut self, now: Duration, service: &str, order: &Order, load_time: Duration) {
        if order.operation != Operation::Load {
            return;
        }
        let at = if order.adapter.is_some() { now + ADAPTER_LOAD_TIME } else { now + load_time + REPORT_LAG };
        self.pending.push(PendingLoad {
            service: service.to_owned(),
            instance: order.instance.clone(),
            address: order.address,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            at,
            requests: 0,
        });
    }

    /// Returns the actions that are due.
    pub(crate) fn due(&mut self, now: Duration) -> Vec<PendingLoadStep> {
        self.pending.retain(|pending| pending.requests < MAX_REPORT_REQUESTS || pending.at > now);
        let mut steps = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.at <= now) {
            if pending.adapter.is_some() {
                steps.push(PendingLoadStep::Publish(pending.residency_update()));
            } else {
                steps.push(pending.request_report());
                pending.requests += 1;
                pending.at = now + RETRY_DELAY;
            }
        }
        self.pending.retain(|pending| pending.at > now);
        steps
    }

    /// An endpoint reported its resident models. Completes the pending loads among them and returns their updates.
    pub(crate) fn reported(&mut self, instance: &str, models: &[ResidentModel]) -> Vec<ResidencyUpdate> {
        let is_resident = |pending: &PendingLoad| {
            *pending.instance == *instance
                && pending.adapter.is_none()
                && models.iter().any(|resident| *resident.name == *pending.model)
        };
        let updates = self
            .pending
            .iter()
            .filter(|pending| is_resident(pending))
            .map(PendingLoad::residency_update)
            .collect();
        self.pending.retain(|pending| !is_resident(pending));
        updates
    }

    /// The lease of a shard has ended: drops the loads of its services, which the next lease holder tracks.
    pub(crate) fn tenure_ended(&mut self, shard: u8) {
        self.pending.retain(|pending| shard_of(&pending.service) != shard);
    }

    /// When [`PendingLoads::due`] is to be called next.
    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.pending.iter().map(|pending| pending.at).min()
    }
}

impl PendingLoad {
    fn residency_update(&self) -> ResidencyUpdate {
        residency_update(&self.instance, &self.model, self.adapter.as_deref(), true)
    }

    fn request_report(&self) -> PendingLoadStep {
        let service = self.service.clone();
        PendingLoadStep::RequestReport { service, instance: self.instance.clone(), address: self.address }
    }
}

/// A residency update for a model or adapter at an endpoint. Its sequence and order are set when it is published.
pub(crate) fn residency_update(
    instance: &str,
    model: &str,
    adapter: Option<&str>,
    present: bool,
) -> ResidencyUpdate {
    ResidencyUpdate {
        id: instance.into(),
        model: model.into(),
        adapter: adapter.unwrap_or_default().into(),
        present: u8::from(present),
        sequence: 0,
        order: 0,
    }
}
