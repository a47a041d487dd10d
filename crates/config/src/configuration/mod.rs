//! The operator's configuration: routes, services and limits, as the control interface accepts it.
//!
//! These types are the fields that the system reads; the document itself is stored and returned as it was sent.

mod document;
mod members;
mod patch;
mod reading;
mod validation;

pub use document::Document;
pub use reading::version_of;
pub use validation::{validate, warnings};

use crate::lenient;
use serde::Deserialize;

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Configuration {
    /// Rises with every change, in uneven steps; 0 before the first configuration.
    #[serde(deserialize_with = "lenient::required_integer")]
    pub version: u64,
    /// Routes, in the order of the document.
    #[serde(default, deserialize_with = "lenient::objects")]
    pub routes: Vec<Route>,
    /// Services, in the order of the document.
    #[serde(default, deserialize_with = "lenient::objects")]
    pub backends: Vec<Backend>,
    /// Limits for requests of clients.
    #[serde(default, deserialize_with = "lenient::object_or_default")]
    pub limits: Limits,
}

/// Where requests of one host and path prefix go, and how they may be handled.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests, compared without regard to case.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// Which requests may be sent more than once.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub route_type: RouteType,
    /// Time-out of a request, ms.
    pub timeout_ms: f64,
    /// Latency target: time within which an answer (of a stream, its first event) earns its full value, ms.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub target_ms: f64,
    /// Priority; 0 is the highest.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub priority: u8,
    /// The only service of the route, unless `traffic_split` names several.
    #[serde(default)]
    pub backend: Option<String>,
    /// Services with their weights; empty if `backend` names the only one.
    #[serde(default, deserialize_with = "lenient::objects")]
    pub traffic_split: Vec<WeightedBackend>,
    /// Maximum number of endpoints to which one request of a client is sent.
    #[serde(default = "one", deserialize_with = "lenient::integer_or_one")]
    pub max_attempts: u32,
    /// `Sticky` of the route; not read.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub sticky: bool,
    /// Whether a stream may be resumed at another endpoint with `Last-Event-Id`.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub resumable: bool,
    /// Latency target of the gap between two events of a stream, ms.
    #[serde(default, rename = "gap_aim_ms")]
    pub token_gap_target_ms: Option<f64>,
}

fn one() -> u32 {
    1
}

impl Route {
    /// The service of `backend`; an empty name counts as none.
    pub fn named_backend(&self) -> Option<&str> {
        self.backend.as_deref().filter(|backend| !backend.is_empty())
    }
}

/// Whether the requests of a route may be sent more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request of a client.
    #[default]
    NonIdempotent,
    /// Answers with events; runs at most once unless it may be resumed.
    Streaming,
}

/// A weighted part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WeightedBackend {
    /// Name of the service.
    pub backend: String,
    /// Weight of the service, relative to the sum of the split.
    pub weight: f64,
}

/// A service: a set of endpoints that register under its name.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Backend {
    /// Name of the service.
    pub name: String,
    /// Path of the endpoints' health check; not read, as health is learned from answers.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Connections that one endpoint accepts from all clients together.
    #[serde(default, deserialize_with = "lenient::optional_integer")]
    pub max_conns: Option<u32>,
    /// Present if the endpoints are model engines.
    #[serde(default, deserialize_with = "lenient::object_or_none")]
    pub runtime: Option<Runtime>,
}

/// The engines of a service and the models that may be loaded on them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Runtime {
    /// Requests that an endpoint runs in one batch.
    #[serde(deserialize_with = "lenient::integer")]
    pub capacity: u32,
    /// Memory shared by running requests and cached prompt parts, tokens.
    pub kv_cache_tokens: f64,
    /// Tokens in one event of a stream.
    #[serde(default, rename = "stride")]
    pub stride: Option<f64>,
    /// Models that may be placed.
    #[serde(default, deserialize_with = "lenient::objects")]
    pub models: Vec<Model>,
    /// Memory of an endpoint for weights and adapters together, MB.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub weights_mb: f64,
    /// Adapters that may be resident on an endpoint.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub max_adapters: u32,
    /// Loads a second that the weight store allows over all endpoints.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub loads_per_s: f64,
}

/// A model and the adapters that may be loaded for it (`a1`, `a2`, ...).
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Memory of the weights, MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store, s.
    pub load_time_s: f64,
    /// Number of adapters.
    #[serde(default, deserialize_with = "lenient::integer")]
    pub adapters: u32,
    /// Memory of one adapter, MB.
    #[serde(default, deserialize_with = "lenient::null_as_default")]
    pub adapter_size_mb: f64,
}

/// Limits on the requests of clients.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    /// Largest head of a request, bytes.
    #[serde(deserialize_with = "lenient::integer")]
    pub max_header_bytes: usize,
    /// Largest body of a request, bytes.
    #[serde(deserialize_with = "lenient::integer")]
    pub max_body_bytes: usize,
    /// Time within which the head has to arrive, ms.
    pub header_timeout_ms: f64,
    /// Time after which an idle connection is closed, ms.
    pub idle_timeout_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000.0,
            idle_timeout_ms: 15_000.0,
        }
    }
}
