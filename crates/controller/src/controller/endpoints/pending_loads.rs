//! Accepted loads whose model is not resident yet. Routers are notified of a loaded model or adapter as soon as it can
//! be used, not with the endpoint's next heartbeat, which may be a second away.

use crate::controller::consensus::shards::shard_of;
use crate::message::ResidencyUpdate;
use lanegate_config::instance::ResidentModel;
use lanegate_placement::{Operation, Order};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an accepted adapter can be used; adapters arrive in some ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);
/// By how much an endpoint's report on itself lags, beyond a load's usual time.
const REPORT_LAG: Duration = Duration::from_millis(230);
/// Delay before an endpoint that still loads is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Report requests for one load, the last of which gets [`RETRY_DELAY`] for its answer; after that the heartbeat reports it.
const MAX_REPORT_REQUESTS: u32 = 4;

/// A load that an endpoint has accepted and has not reported as resident yet.
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

/// What is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PendingLoadStep {
    /// Publish to peers and subscribers.
    Publish(ResidencyUpdate),
    /// Ask the endpoint for its report.
    RequestReport { service: String, instance: Arc<str>, address: SocketAddr },
}

/// Accepted loads that are not reported as resident yet.
#[derive(Debug, Default)]
pub(crate) struct PendingLoads {
    pending: Vec<PendingLoad>,
}

impl PendingLoads {
    /// An order was accepted; `load_time` is the usual time of a load of the model from the store.
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

    /// What is due now.
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

    /// An endpoint reported its resident models. Returns the pending ones among them.
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

    /// The lease of a shard has ended: the loads of its services are another controller's now.
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

/// What is known of a model or adapter at an endpoint, as a message; its sequence and order come with its
/// publication.
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
