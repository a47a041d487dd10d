//! Registrations of endpoints: what one incarnation of an endpoint says of itself in a heartbeat.

use crate::lenient;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of an endpoint, as its newest heartbeat describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Instance {
    /// The `InstanceId`; it stands in the path of a heartbeat and may be missing from its body.
    #[serde(default)]
    pub id: String,
    /// The service under which the endpoint registers.
    pub backend: String,
    /// Address at which the endpoint takes requests and orders.
    pub address: SocketAddr,
    /// Zone of the endpoint; may be empty.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub zone: String,
    /// Release of the endpoint; may be empty.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub version: String,
    /// Requests that the endpoint works on at the same time.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub capacity: u32,
    /// Whether it takes new requests.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub state: InstanceState,
    /// Time during which the endpoint is still slow after its start, ms.
    #[serde(rename = "ColdLeftMs", default, deserialize_with = "lenient::null_as_default")]
    pub warmup_remaining_ms: f64,
    /// What the engine is doing; absent for endpoints without engines.
    #[serde(default)]
    pub phase: Option<String>,
    /// Resident models, with their adapters.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub models: Vec<ResidentModel>,
    /// Rises with each heartbeat, so that a late one is recognised.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub sequence: u64,
    /// Time until the endpoint is gone whatever it runs, ms; only in a short notice.
    #[serde(default)]
    pub remaining_ms: Option<f64>,
}

/// Whether a model and, where one is named, an adapter of it are among the held ones.
pub fn is_resident(models: &[ResidentModel], model: &str, adapter: Option<&str>) -> bool {
    let Some(held) = models.iter().find(|held| held.name == model) else {
        return false;
    };
    adapter.is_none_or(|name| held.adapters.iter().any(|held| held == name))
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes new requests.
    #[default]
    Ready,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
}

/// A model that an endpoint holds, with its adapters.
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
