//! How the registry sees the registration of an endpoint.

use crate::message::ResidencyUpdate;
use bytes::Bytes;
use lanegate_config::instance::{self, Instance, ResidentModel};
use lanegate_coordination::registry::Registration;
use std::net::SocketAddr;

/// An endpoint's registration: read, and as it was sent.
#[derive(Debug, Clone)]
pub struct Registered {
    pub instance: Instance,
    /// The body of the heartbeat.
    pub body: Bytes,
    /// What the placer knows beyond it.
    holdings: Vec<ResidencyUpdate>,
    /// Sequence of the first heartbeat that said what this one says.
    changed_at: u64,
}

impl Registered {
    /// Reads the body of a heartbeat of the incarnation `id`.
    pub fn parse(id: &str, body: Bytes) -> Result<Self, serde_json::Error> {
        let mut instance: Instance = serde_json::from_slice(&body)?;
        id.clone_into(&mut instance.id);
        let changed_at = instance.sequence;
        Ok(Registered { instance, body, holdings: Vec::new(), changed_at })
    }

    /// This registration after `previous`: it keeps what was published of this heartbeat or a later one.
    pub fn following(mut self, previous: Option<&Registered>) -> Self {
        let Some(previous) = previous else { return self };
        let sequence = self.instance.sequence;
        let newer = previous.holdings.iter().filter(|holding| holding.sequence >= sequence);
        self.holdings = newer.cloned().collect();
        if !previous.differs(&self) {
            self.changed_at = previous.changed_at;
        }
        self
    }

    /// The order of what is published next of this registration.
    pub fn next_order(&self) -> u64 {
        self.holdings.iter().map(|holding| holding.order + 1).max().unwrap_or(1)
    }

    /// Takes what a placer knows of the endpoint's models, unless it was published before this registration or
    /// before what is known of the same model. True if it is news.
    pub fn hold(&mut self, holding: ResidencyUpdate) -> bool {
        let same = |known: &ResidencyUpdate| known.model == holding.model && known.adapter == holding.adapter;
        let known = self.holdings.iter().find(|known| same(known));
        if holding.sequence < self.changed_at || known.is_some_and(|known| rank(known) >= rank(&holding)) {
            return false;
        }
        let old = self.current_models();
        self.holdings.retain(|known| !same(known));
        self.holdings.push(holding);
        self.current_models() != old
    }

    /// What the placer knows beyond the newest heartbeat.
    pub fn holdings(&self) -> &[ResidencyUpdate] {
        &self.holdings
    }

    /// The instance with what the placer knows of its models.
    pub fn current_instance(&self) -> Instance {
        Instance { models: self.current_models(), ..self.instance.clone() }
    }

    /// Whether it holds a model, or an adapter of it, by what is known now.
    pub fn shows(&self, model: &str, adapter: Option<&str>) -> bool {
        instance::is_resident(&self.current_models(), model, adapter)
    }

    fn current_models(&self) -> Vec<ResidentModel> {
        let mut models = self.instance.models.clone();
        for holding in &self.holdings {
            apply(&mut models, holding);
        }
        models
    }
}

/// What counts of two holdings of one model: the later one; of two published at once, that it is dropped.
fn rank(holding: &ResidencyUpdate) -> (u64, u64, bool) {
    (holding.sequence, holding.order, holding.present == 0)
}

fn apply(models: &mut Vec<ResidentModel>, holding: &ResidencyUpdate) {
    let (model, adapter) = (holding.model.text(), holding.adapter.text());
    let held = models.iter_mut().find(|held| held.name == model);
    match (held, holding.present == 1, adapter.is_empty()) {
        (None, true, true) => models.push(ResidentModel { name: model, version: 0, adapters: Vec::new() }),
        (Some(held), true, false) if !held.adapters.contains(&adapter) => held.adapters.push(adapter),
        (Some(_), false, true) => models.retain(|held| held.name != model),
        (Some(held), false, false) => held.adapters.retain(|held| *held != adapter),
        _ => {}
    }
}

impl Registration for Registered {
    fn service(&self) -> &str {
        &self.instance.backend
    }

    fn address(&self) -> SocketAddr {
        self.instance.address
    }

    /// The sequence, and the time left of a cold start or a notice, run on by themselves.
    fn differs(&self, newer: &Self) -> bool {
        let (old, new) = (&self.instance, &newer.instance);
        old.state != new.state
            || self.current_models() != newer.current_models()
            || old.address != new.address
            || old.backend != new.backend
            || old.zone != new.zone
            || old.capacity != new.capacity
            || old.phase != new.phase
            || old.remaining_ms.is_some() != new.remaining_ms.is_some()
    }
}
