//! Demand that routers report to the control plane.

use serde::{Deserialize, Serialize};

/// Requests for a model, or for an adapter of it, that a router received since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Name of the service.
    pub backend: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the request named one.
    pub adapter: Option<String>,
    /// Requests that arrived.
    pub requests: u32,
    /// Prompt and output tokens that those requests asked for.
    pub tokens: u64,
    /// Requests for which no endpoint had the model (and adapter): some of `requests`, and earlier ones that are still
    /// waiting.
    pub unplaced: u32,
}

/// Demand that a router received in one period.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Length of the period, ms.
    pub period_ms: u32,
    /// Demand by model and adapter.
    pub models: Vec<ModelDemand>,
}
