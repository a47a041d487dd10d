//! The registration of an endpoint as the registry stores it.

use crate::message::ResidencyUpdate;
use bytes::Bytes;
use lanegate_config::instance::{self, Instance, ResidentModel};
use lanegate_coordination::registry::Registration;
use std::net::SocketAddr;

/// An endpoint's registration, parsed and as it was sent, with residency updates from placers.
#[derive(Debug, Clone)]
pub struct Registered {
    /// The registration, parsed.
    pub instance: Instance,
    /// The body of the heartbeat.
    pub body: Bytes,
    /// Residency updates that apply on top of the heartbeat's contents.
    residency_updates: Vec<ResidencyUpdate>,
    /// Sequence of the first heartbeat with the same contents as this one.
    content_sequence: u64,
}

impl Registered {
    /// Parses the body of a heartbeat of the incarnation `id`.
    ///
    /// # Errors
    /// If the body is not a valid registration.
    pub fn parse(id: &str, body: Bytes) -> Result<Self, serde_json::Error> {
        let mut instance: Instance = serde_json::from_slice(&body)?;
        id.clone_into(&mut instance.id);
        let content_sequence = instance.sequence;
        Ok(Registered { instance, body, residency_updates: Vec::new(), content_sequence })
    }

    /// Carries over from `previous` the residency updates that were published for this heartbeat or a later one, and the
    /// sequence at which the contents last changed.
    pub fn carry_over_from(mut self, previous: Option<&Registered>) -> Self {
        let Some(previous) = previous else { return self };
        let sequence = self.instance.sequence;
        let newer = previous.residency_updates.iter().filter(|update| update.sequence >= sequence);
        self.residency_updates = newer.cloned().collect();
        if !previous.differs(&self) {
            self.content_sequence = previous.content_sequence;
        }
        self
    }

    /// The order number for the next residency update of this registration.
    pub fn next_order(&self) -> u64 {
        self.residency_updates.iter().map(|update| update.order + 1).max().unwrap_or(1)
    }

    /// Applies a residency update, unless it is older than the contents of this registration or than a known update for
    /// the same model. Returns whether the resident models changed.
    pub fn apply_residency(&mut self, update: ResidencyUpdate) -> bool {
        let same = |known: &ResidencyUpdate| known.model == update.model && known.adapter == update.adapter;
        let known = self.residency_updates.iter().find(|known| same(known));
        if update.sequence < self.content_sequence || known.is_some_and(|known| rank(known) >= rank(&update))
        {
            return false;
        }
        let old = self.current_models();
        self.residency_updates.retain(|known| !same(known));
        self.residency_updates.push(update);
        self.current_models() != old
    }

    /// Residency updates that apply on top of the heartbeat's contents.
    pub fn residency_updates(&self) -> &[ResidencyUpdate] {
        &self.residency_updates
    }

    /// The instance with the residency updates applied to its models.
    pub fn current_instance(&self) -> Instance {
        Instance { models: self.current_models(), ..self.instance.clone() }
    }

    /// Whether a model, or an adapter of it, is resident, with the residency updates applied.
    pub fn has_resident(&self, model: &str, adapter: Option<&str>) -> bool {
        instance::is_resident(&self.current_models(), model, adapter)
    }

    fn current_models(&self) -> Vec<ResidentModel> {
        let mut models = self.instance.models.clone();
        for update in &self.residency_updates {
            apply(&mut models, update);
        }
        models
    }
}

/// Orders residency updates for the same model: the later one wins, and of two with the same sequence and order the one
/// that drops the model.
fn rank(update: &ResidencyUpdate) -> (u64, u64, bool) {
    (update.sequence, update.order, update.present == 0)
}

fn apply(models: &mut Vec<ResidentModel>, update: &ResidencyUpdate) {
    let (model, adapter) = (update.model.text(), update.adapter.text());
    let resident = models.iter_mut().find(|resident| resident.name == model);
    match (resident, update.present == 1, adapter.is_empty()) {
        (None, true, true) => models.push(ResidentModel { name: model, version: 0, adapters: Vec::new() }),
        (Some(resident), true, false) if !resident.adapters.contains(&adapter) => {
            resident.adapters.push(adapter)
        }
        (Some(_), false, true) => models.retain(|resident| resident.name != model),
        (Some(resident), false, false) => resident.adapters.retain(|resident| *resident != adapter),
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

    /// Ignores values that change with every heartbeat: the sequence, and the remaining time of a cold start or of a
    /// notice.
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
