//! The table of the endpoints that the feed announced, by service.

use crate::rendezvous::stable_hash;
use crate::units::milliseconds;
use lanegate_config::instance::{self, Instance, InstanceState, ResidentModel};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Heartbeats after which a replaced endpoint counts as alive again. One heartbeat is not enough: it may have been in
/// flight when the other incarnation answered.
const REVIVAL_HEARTBEATS: u64 = 2;

/// Key of an endpoint in the table; never reused in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub u64);

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Id of the incarnation.
    pub id: Arc<str>,
    /// Stable hash of the id; the same in every router.
    pub hash: u64,
    /// Name of its service.
    pub backend: Arc<str>,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Zone of its machine.
    pub zone: Arc<str>,
    /// Requests that it processes concurrently.
    pub capacity: u32,
    /// Whether it is ready or draining.
    pub state: InstanceState,
    /// When its warm-up ends.
    pub warm_at: Duration,
    /// Loaded models with their adapters.
    pub models: Vec<ResidentModel>,
    /// Sequence of the newest registration when another incarnation answered at its address; `None` unless replaced.
    pub replaced_at: Option<u64>,
    /// Sequence of the newest registration that was applied.
    pub sequence: u64,
}

impl Endpoint {
    /// Whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        self.state == InstanceState::Ready && self.replaced_at.is_none()
    }

    /// Whether it has loaded the model and, if one is given, the adapter.
    pub fn has_model(&self, model: &str, adapter: Option<&str>) -> bool {
        instance::is_resident(&self.models, model, adapter)
    }

    /// Applies a newer registration of the same incarnation. An endpoint that drains never becomes ready again.
    fn update(&mut self, now: Duration, instance: &Instance) -> TableChange {
        let is_draining = self.state == InstanceState::Draining || instance.state == InstanceState::Draining;
        let state = if is_draining { InstanceState::Draining } else { InstanceState::Ready };
        let was_replaced = self.replaced_at;
        self.replaced_at = was_replaced.filter(|&at| instance.sequence < at + REVIVAL_HEARTBEATS);
        let is_unchanged =
            self.state == state && self.models == instance.models && self.replaced_at == was_replaced;
        self.sequence = instance.sequence;
        self.state = state;
        self.address = instance.address;
        self.capacity = instance.capacity.max(1);
        self.warm_at = now + milliseconds(instance.warmup_remaining_ms);
        if is_unchanged {
            return TableChange::Unchanged;
        }
        self.models.clone_from(&instance.models);
        TableChange::Changed
    }
}

/// How a registration changed the routing table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableChange {
    /// No change that matters for routing.
    Unchanged,
    /// The state or the models of a known endpoint changed.
    Changed,
    /// The endpoint is new.
    Added,
}

/// All endpoints by their key, and the keys of each service in the order of their announcement.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: HashMap<EndpointKey, Endpoint>,
    keys: HashMap<Arc<str>, EndpointKey>,
    services: BTreeMap<Arc<str>, Vec<EndpointKey>>,
    next: u64,
}

impl EndpointTable {
    /// Applies a registration unless a newer one of the same incarnation is known. One with the same sequence may contain
    /// more: the feed adds the results of orders to the last heartbeat.
    pub fn register(&mut self, now: Duration, instance: &Instance) -> (EndpointKey, TableChange) {
        if let Some(&key) = self.keys.get(instance.id.as_str())
            && let Some(known) = self.endpoints.get_mut(&key)
        {
            let is_older = instance.sequence < known.sequence;
            let change = if is_older { TableChange::Unchanged } else { known.update(now, instance) };
            return (key, change);
        }
        (self.add(endpoint_from(now, instance)), TableChange::Added)
    }

    fn add(&mut self, endpoint: Endpoint) -> EndpointKey {
        let key = EndpointKey(self.next);
        self.next += 1;
        self.keys.insert(endpoint.id.clone(), key);
        self.services.entry(endpoint.backend.clone()).or_default().push(key);
        self.endpoints.insert(key, endpoint);
        key
    }

    /// Removes an endpoint and returns it.
    pub fn remove(&mut self, id: &str) -> Option<(EndpointKey, Endpoint)> {
        let key = self.keys.remove(id)?;
        let endpoint = self.endpoints.remove(&key)?;
        if let Some(keys) = self.services.get_mut(&endpoint.backend) {
            keys.retain(|&other| other != key);
        }
        Some((key, endpoint))
    }

    /// Removes a model, or one adapter of it, from an endpoint that answered that it does not have it.
    pub fn remove_model(&mut self, key: EndpointKey, model: &str, adapter: Option<&str>) {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        match adapter {
            None => endpoint.models.retain(|resident| resident.name != model),
            Some(name) => {
                let resident = endpoint.models.iter_mut().find(|resident| resident.name == model);
                resident.into_iter().for_each(|resident| resident.adapters.retain(|adapter| adapter != name));
            }
        }
    }

    /// Marks an endpoint as replaced: another incarnation answered at its address.
    pub fn mark_replaced(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.replaced_at = Some(endpoint.sequence);
        }
    }

    /// All known endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().map(|(key, endpoint)| (*key, endpoint))
    }

    /// The endpoint of a key, if it is known.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Keys of the endpoints of a service, in the order of their announcement.
    pub fn of_service(&self, backend: &str) -> &[EndpointKey] {
        self.services.get(backend).map_or(&[], Vec::as_slice)
    }

    /// The endpoints of a service that take requests.
    pub fn ready<'a>(&'a self, backend: &str) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + 'a {
        let known = self.of_service(backend).iter();
        let known = known.filter_map(|&key| Some((key, self.endpoints.get(&key)?)));
        known.filter(|(_, endpoint)| endpoint.takes_requests())
    }
}

fn endpoint_from(now: Duration, instance: &Instance) -> Endpoint {
    Endpoint {
        id: instance.id.as_str().into(),
        hash: stable_hash(&instance.id),
        backend: instance.backend.as_str().into(),
        address: instance.address,
        zone: instance.zone.as_str().into(),
        capacity: instance.capacity.max(1),
        state: instance.state,
        warm_at: now + milliseconds(instance.warmup_remaining_ms),
        models: instance.models.clone(),
        replaced_at: None,
        sequence: instance.sequence,
    }
}
