//! Registrations of endpoints, as they are sent in heartbeats.

use crate::lenient;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of an endpoint, as its newest heartbeat describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Instance {
    /// The `InstanceId`; it is in the path of a heartbeat and may be missing from its body.
    #[serde(default)]
    pub id: String,
    /// The service under which the endpoint registers.
    pub backend: String,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Zone of the endpoint; may be empty.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub zone: String,
    /// Release of the endpoint; may be empty.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub version: String,
    /// Requests that the endpoint runs concurrently.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub capacity: u32,
    /// Whether the endpoint accepts new requests.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub state: InstanceState,
    /// Remaining warm-up time after the start of the endpoint, ms.
    #[serde(rename = "ColdLeftMs", default, deserialize_with = "lenient::null_as_default")]
    pub warmup_remaining_ms: f64,
    /// What the engine is doing; absent for endpoints without engines.
    #[serde(default)]
    pub phase: Option<String>,
    /// Resident models, with their adapters.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub models: Vec<ResidentModel>,
    /// Rises with each heartbeat, so that a delayed one is recognised.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub sequence: u64,
    /// Time until the endpoint is terminated whatever it runs, ms; only in a termination notice.
    #[serde(default)]
    pub remaining_ms: Option<f64>,
}

/// Whether a model and, if one is named, its adapter are among the resident ones.
pub fn is_resident(models: &[ResidentModel], model: &str, adapter: Option<&str>) -> bool {
    let Some(held) = models.iter().find(|held| held.name == model) else {
        return false;
    };
    adapter.is_none_or(|name| held.adapters.iter().any(|held| held == name))
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new requests.
    #[default]
    Ready,
    /// Finishes its open requests and accepts no new ones.
    Draining,
}

/// A model that an endpoint has in memory, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ResidentModel {
    /// Name of the model.
    pub name: String,
    /// Version of the model.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub version: u64,
    /// Names of the resident adapters.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub adapters: Vec<String>,
}
