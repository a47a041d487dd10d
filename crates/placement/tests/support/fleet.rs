//! Simulated endpoints, which execute orders.

use lanegate_config::configuration::Runtime;
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_placement::{EndpointReport, Operation, Order};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The order that an endpoint executes, and when it is done.
pub(crate) struct Work {
    pub operation: Operation,
    pub model: String,
    pub adapter: Option<String>,
    pub until_ms: u64,
}

/// The messages between an endpoint and the controllers that a partition stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Partition {
    /// Heartbeats, which are delayed.
    Heartbeats,
    /// Heartbeats, orders and report requests.
    All,
}

pub(crate) struct Endpoint {
    pub name: String,
    pub incarnation: u32,
    pub address: SocketAddr,
    pub zone: String,
    pub ready: bool,
    pub remaining_ms: Option<f64>,
    pub models: BTreeMap<String, BTreeSet<String>>,
    pub disk: BTreeSet<String>,
    pub work: Option<Work>,
    pub revision: u64,
    pub heartbeats: u64,
    pub next_heartbeat_ms: u64,
    pub up: bool,
    pub partition: Option<Partition>,
    /// When the partition ends.
    pub partition_ends_ms: u64,
    /// The delayed heartbeat. Each later one is dropped before it is sent, because the endpoint cannot connect.
    pub delayed_heartbeat: Option<Instance>,
}

impl Endpoint {
    pub(crate) fn id(&self) -> String {
        format!("{}-{}", self.name, self.incarnation)
    }

    pub(crate) fn is_resident(&self, model: &str, adapter: Option<&str>) -> bool {
        let adapters = self.models.get(model);
        adapters.is_some_and(|adapters| adapter.is_none_or(|adapter| adapters.contains(adapter)))
    }

    /// Whether the item is resident or loading, and is not being evicted.
    pub(crate) fn will_be_resident(&self, model: &str, adapter: Option<&str>) -> bool {
        let work = self.work.as_ref().filter(|work| work.model == model);
        match work {
            Some(work) if work.operation == Operation::Load => {
                work.adapter.as_deref() == adapter || self.is_resident(model, adapter)
            }
            Some(work) if work.adapter.is_none() || work.adapter.as_deref() == adapter => false,
            _ => self.is_resident(model, adapter),
        }
    }

    fn resident_models(&self) -> Vec<ResidentModel> {
        let resident_models = |(name, adapters): (&String, &BTreeSet<String>)| ResidentModel {
            name: name.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        };
        self.models.iter().map(resident_models).collect()
    }

    pub(crate) fn instance(&self, backend: &str) -> Instance {
        Instance {
            id: self.id(),
            backend: backend.into(),
            address: self.address,
            zone: self.zone.clone(),
            version: "v1".into(),
            capacity: 64,
            state: if self.ready { InstanceState::Ready } else { InstanceState::Draining },
            warmup_remaining_ms: 0.0,
            phase: None,
            models: self.resident_models(),
            sequence: self.heartbeats,
            remaining_ms: self.remaining_ms,
        }
    }

    pub(crate) fn report(&self) -> EndpointReport {
        EndpointReport {
            phase: None,
            models: self.resident_models(),
            busy: self.work.is_some(),
            sequence: self.revision,
            queued: 0,
            active: 0,
            kv_used: 0.0,
            kv_capacity: 0.0,
            handles: 0,
        }
    }

    /// Memory taken, MB.
    pub(crate) fn used_mb(&self, runtime: &Runtime) -> f64 {
        let sizes = self.models.iter().map(|(model, adapters)| {
            size(runtime, model, false) + adapters.len() as f64 * size(runtime, model, true)
        });
        sizes.sum()
    }

    pub(crate) fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// Completes the order in execution once its time has passed.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let Some(work) = self.work.take_if(|work| work.until_ms <= now_ms) else { return };
        match (work.operation, work.adapter) {
            (Operation::Load, None) => {
                self.disk.insert(work.model.clone());
                self.models.entry(work.model).or_default();
            }
            (Operation::Load, Some(adapter)) => {
                if let Some(adapters) = self.models.get_mut(&work.model) {
                    adapters.insert(adapter);
                }
            }
            (Operation::Evict, None) => {
                self.models.remove(&work.model);
            }
            (Operation::Evict, Some(adapter)) => {
                if let Some(adapters) = self.models.get_mut(&work.model) {
                    adapters.remove(&adapter);
                }
            }
        }
    }

    /// The status of an order that is rejected or already in effect, and therefore not executed.
    pub(crate) fn immediate_status(&self, order: &Order) -> Option<u16> {
        if self.id() != *order.instance {
            return Some(421);
        }
        if self.work.is_some() || order.if_revision != self.revision {
            return Some(409);
        }
        if order.adapter.is_some() && !self.models.contains_key(&*order.model) {
            return Some(400);
        }
        let holds = self.is_resident(&order.model, order.adapter.as_deref());
        (holds == (order.operation == Operation::Load)).then_some(200)
    }
}

pub(crate) fn size(runtime: &Runtime, model: &str, adapter: bool) -> f64 {
    let spec = runtime.models.iter().find(|spec| spec.name == model);
    spec.map_or(0.0, |spec| if adapter { spec.adapter_size_mb } else { spec.weights_mb })
}
