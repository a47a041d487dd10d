//! How the registry sees the registration of an endpoint.

use bytes::Bytes;
use lanegate_coordination::registry::Registration;
use lanegate_model::instance::Instance;
use std::net::SocketAddr;

/// An endpoint's registration: read, and as it was sent.
#[derive(Debug, Clone)]
pub struct Registered {
    pub instance: Instance,
    /// The body of the heartbeat.
    pub body: Bytes,
}

impl Registered {
    /// Reads the body of a heartbeat of the incarnation `id`.
    pub fn parse(id: &str, body: Bytes) -> Result<Self, serde_json::Error> {
        let mut instance: Instance = serde_json::from_slice(&body)?;
        id.clone_into(&mut instance.id);
        Ok(Registered { instance, body })
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
            || old.models != new.models
            || old.address != new.address
            || old.backend != new.backend
            || old.zone != new.zone
            || old.capacity != new.capacity
            || old.phase != new.phase
            || old.remaining_ms.is_some() != new.remaining_ms.is_some()
    }
}
