//! When an accepted order shows: routers hear of a loaded model or adapter as soon as it can be used, and
//! not with the endpoint's next heartbeat, which may be a second away.

use crate::message::ResidencyUpdate;
use lanegate_config::instance::ResidentModel;
use lanegate_placement::{Operation, Order};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an accepted adapter can be used; adapters arrive in some ms.
const ADAPTER_TIME: Duration = Duration::from_millis(25);
/// By how much an endpoint's report on itself lags, beyond a load's usual time.
const REPORT_LAG: Duration = Duration::from_millis(230);
/// Pause before an endpoint that still loads is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Questions about one load, the last of which gets [`RETRY_DELAY`] for its answer; a heartbeat tells the rest.
const MAX_QUESTIONS: u32 = 4;

/// A load that an endpoint has accepted and does not show yet.
#[derive(Debug)]
struct PendingLoad {
    service: String,
    instance: Arc<str>,
    address: SocketAddr,
    model: Arc<str>,
    adapter: Option<Arc<str>>,
    at: Duration,
    questions: u32,
}

/// What is due.
#[derive(Debug, PartialEq, Eq)]
pub enum PendingLoadStep {
    /// Tell everyone.
    Publish(ResidencyUpdate),
    /// Ask the endpoint for its report.
    Ask { service: String, instance: Arc<str>, address: SocketAddr },
}

/// Accepted loads that do not show yet.
#[derive(Debug, Default)]
pub struct PendingLoads {
    awaited: Vec<PendingLoad>,
}

impl PendingLoads {
    /// An order was accepted; `load_time` is the usual time of a load of the model from the store.
    pub fn accepted(&mut self, now: Duration, service: &str, order: &Order, load_time: Duration) {
        if order.operation != Operation::Load {
            return;
        }
        let at = if order.adapter.is_some() { now + ADAPTER_TIME } else { now + load_time + REPORT_LAG };
        self.awaited.push(PendingLoad {
            service: service.to_owned(),
            instance: order.instance.clone(),
            address: order.address,
            model: order.model.clone(),
            adapter: order.adapter.clone(),
            at,
            questions: 0,
        });
    }

    /// What is due now.
    pub fn due(&mut self, now: Duration) -> Vec<PendingLoadStep> {
        self.awaited.retain(|awaited| awaited.questions < MAX_QUESTIONS || awaited.at > now);
        let mut steps = Vec::new();
        for awaited in self.awaited.iter_mut().filter(|awaited| awaited.at <= now) {
            if awaited.adapter.is_some() {
                steps.push(PendingLoadStep::Publish(awaited.holding()));
            } else {
                steps.push(awaited.ask());
                awaited.questions += 1;
                awaited.at = now + RETRY_DELAY;
            }
        }
        self.awaited.retain(|awaited| awaited.at > now);
        steps
    }

    /// An endpoint reported what it holds. Tells which awaited models are among that.
    pub fn reported(&mut self, instance: &str, models: &[ResidentModel]) -> Vec<ResidencyUpdate> {
        let shown = |awaited: &PendingLoad| {
            *awaited.instance == *instance
                && awaited.adapter.is_none()
                && models.iter().any(|held| *held.name == *awaited.model)
        };
        let holdings =
            self.awaited.iter().filter(|awaited| shown(awaited)).map(PendingLoad::holding).collect();
        self.awaited.retain(|awaited| !shown(awaited));
        holdings
    }

    /// Forgets the loads of one service, for which another controller acts now.
    pub fn clear(&mut self) {
        self.awaited.clear();
    }

    /// When [`PendingLoads::due`] is to be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.awaited.iter().map(|awaited| awaited.at).min()
    }
}

impl PendingLoad {
    fn holding(&self) -> ResidencyUpdate {
        holding(&self.instance, &self.model, self.adapter.as_deref(), true)
    }

    fn ask(&self) -> PendingLoadStep {
        let service = self.service.clone();
        PendingLoadStep::Ask { service, instance: self.instance.clone(), address: self.address }
    }
}

/// What is known of a model or adapter at an endpoint, as a message; its sequence and order come with its
/// publication.
pub fn holding(instance: &str, model: &str, adapter: Option<&str>, present: bool) -> ResidencyUpdate {
    ResidencyUpdate {
        id: instance.into(),
        model: model.into(),
        adapter: adapter.unwrap_or_default().into(),
        present: u8::from(present),
        sequence: 0,
        order: 0,
    }
}
