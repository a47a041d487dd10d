//! How the registry sees the registration of an endpoint.

use crate::message::Holding;
use bytes::Bytes;
use lanegate_coordination::registry::Registration;
use lanegate_model::instance::{HeldModel, Instance};
use std::net::SocketAddr;

/// An endpoint's registration: read, and as it was sent.
#[derive(Debug, Clone)]
pub struct Registered {
    pub instance: Instance,
    /// The body of the heartbeat.
    pub body: Bytes,
    /// What the placer knows beyond it.
    holdings: Vec<Holding>,
}

impl Registered {
    /// Reads the body of a heartbeat of the incarnation `id`.
    pub fn parse(id: &str, body: Bytes) -> Result<Self, serde_json::Error> {
        let mut instance: Instance = serde_json::from_slice(&body)?;
        id.clone_into(&mut instance.id);
        Ok(Registered { instance, body, holdings: Vec::new() })
    }

    /// Takes what a placer knows of the endpoint's models. True if it is news.
    pub fn hold(&mut self, holding: Holding) -> bool {
        let same = |known: &Holding| known.model == holding.model && known.adapter == holding.adapter;
        let old = self.current_models();
        self.holdings.retain(|known| !same(known));
        self.holdings.push(holding);
        self.current_models() != old
    }

    /// What the placer knows beyond the newest heartbeat.
    pub fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    /// The instance with what the placer knows of its models.
    pub fn current_instance(&self) -> Instance {
        Instance { models: self.current_models(), ..self.instance.clone() }
    }

    fn current_models(&self) -> Vec<HeldModel> {
        let mut models = self.instance.models.clone();
        for holding in &self.holdings {
            apply(&mut models, holding);
        }
        models
    }
}

fn apply(models: &mut Vec<HeldModel>, holding: &Holding) {
    let (model, adapter) = (holding.model.text(), holding.adapter.text());
    let held = models.iter_mut().find(|held| held.name == model);
    match (held, holding.present == 1, adapter.is_empty()) {
        (None, true, true) => models.push(HeldModel { name: model, version: 0, adapters: Vec::new() }),
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
            || self.current_models() != new.models
            || old.address != new.address
            || old.backend != new.backend
            || old.zone != new.zone
            || old.capacity != new.capacity
            || old.phase != new.phase
            || old.remaining_ms.is_some() != new.remaining_ms.is_some()
    }
}
