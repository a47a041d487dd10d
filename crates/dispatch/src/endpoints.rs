//! The endpoints that are known from the feed, by service.

use lanegate_model::instance::{HeldModel, Instance, InstanceState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of an endpoint in the table; never used twice in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub u64);

/// One incarnation of an endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub id: Arc<str>,
    pub backend: Arc<str>,
    pub address: SocketAddr,
    pub zone: Arc<str>,
    /// Requests that it works on at the same time.
    pub capacity: u32,
    pub state: InstanceState,
    /// When it is gone whatever it runs, after a short notice.
    pub gone_at: Option<Duration>,
    /// When it stops being slow after its start.
    pub warm_at: Duration,
    pub models: Vec<HeldModel>,
    /// Of the newest registration taken.
    pub sequence: u64,
}

impl Endpoint {
    /// Whether new requests may be sent to it.
    pub fn takes_requests(&self) -> bool {
        self.state == InstanceState::Ready
    }

    /// Whether it holds the model and, where one is asked for, the adapter.
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(held) = self.models.iter().find(|held| held.name == model) else {
            return false;
        };
        adapter.is_none_or(|name| held.adapters.iter().any(|held| held == name))
    }
}

/// All endpoints, by their key, and the keys of each service in order.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: HashMap<EndpointKey, Endpoint>,
    keys: HashMap<Arc<str>, EndpointKey>,
    services: BTreeMap<Arc<str>, Vec<EndpointKey>>,
    next: u64,
}

impl EndpointTable {
    /// Takes a registration in, unless a newer one of that incarnation is known; tells its key.
    pub fn register(&mut self, now: Duration, instance: &Instance) -> EndpointKey {
        if let Some(&key) = self.keys.get(instance.id.as_str()) {
            self.renew(now, key, instance);
            return key;
        }
        let key = EndpointKey(self.next);
        self.next += 1;
        let endpoint = endpoint_of(now, instance);
        self.keys.insert(endpoint.id.clone(), key);
        self.services.entry(endpoint.backend.clone()).or_default().push(key);
        self.endpoints.insert(key, endpoint);
        key
    }

    fn renew(&mut self, now: Duration, key: EndpointKey, instance: &Instance) {
        let Some(known) = self.endpoints.get_mut(&key) else {
            return;
        };
        if instance.sequence < known.sequence {
            return;
        }
        let left = known.state == InstanceState::Draining;
        let (id, backend, zone) = (known.id.clone(), known.backend.clone(), known.zone.clone());
        let gone_at = known.gone_at;
        *known = Endpoint { id, backend, zone, ..endpoint_of(now, instance) };
        if left {
            known.state = InstanceState::Draining;
            known.gone_at = gone_at.or(known.gone_at);
        }
    }

    /// Forgets an endpoint that is gone; tells its key.
    pub fn remove(&mut self, id: &str) -> Option<EndpointKey> {
        let key = self.keys.remove(id)?;
        if let Some(endpoint) = self.endpoints.remove(&key)
            && let Some(keys) = self.services.get_mut(&endpoint.backend)
        {
            keys.retain(|&other| other != key);
        }
        Some(key)
    }

    /// Takes a model out of what an endpoint is known to hold, after it said so itself.
    pub fn forget_model(&mut self, key: EndpointKey, model: &str, adapter: Option<&str>) {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        match adapter {
            None => endpoint.models.retain(|held| held.name != model),
            Some(name) => {
                let held = endpoint.models.iter_mut().find(|held| held.name == model);
                held.into_iter().for_each(|held| held.adapters.retain(|adapter| adapter != name));
            }
        }
    }

    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Keys of a service's endpoints, in the order in which they were first heard of.
    pub fn of_service(&self, backend: &str) -> &[EndpointKey] {
        self.services.get(backend).map_or(&[], Vec::as_slice)
    }
}

fn endpoint_of(now: Duration, instance: &Instance) -> Endpoint {
    Endpoint {
        id: instance.id.as_str().into(),
        backend: instance.backend.as_str().into(),
        address: instance.address,
        zone: instance.zone.as_str().into(),
        capacity: instance.capacity.max(1),
        state: instance.state,
        gone_at: instance.remaining_ms.map(|left| now + milliseconds(left)),
        warm_at: now + milliseconds(instance.cold_left_ms),
        models: instance.models.clone(),
        sequence: instance.sequence,
    }
}

/// A time given in ms; what is no time counts as none.
pub fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}
