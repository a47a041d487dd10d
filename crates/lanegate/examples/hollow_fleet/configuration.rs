//! The configuration that the operator puts in force: many routes, one service with many models.

use crate::layout::Layout;
use serde_json::{Value, json};

/// Name of the service.
pub const SERVICE: &str = "engines";
/// Time of a load, s.
pub const LOAD_TIME_S: f64 = 2.0;
/// Room of an endpoint, MB, and what one model takes of it.
const ROOM_MB: f64 = 220_000.0;
const WEIGHTS_MB: f64 = 70_000.0;

/// Name of a model.
pub fn model_name(index: usize) -> String {
    format!("model-{index:04}")
}

/// Name of an adapter; they count from 1.
pub fn adapter_name(index: usize) -> String {
    format!("a{}", index + 1)
}

/// The whole configuration as its first version.
pub fn first(layout: &Layout) -> String {
    let routes: Vec<Value> = (0..layout.routes).map(|index| route(index, 0)).collect();
    let adapters = layout.adapters / layout.models.max(1);
    let models: Vec<Value> = (0..layout.models).map(|index| model(index, adapters)).collect();
    let runtime = json!({
        "Capacity": 64, "KvCacheTokens": 230_000, "stride": 6, "WeightsMb": ROOM_MB, "MaxAdapters": 8,
        "LoadsPerS": 26, "Models": models,
    });
    let backend = json!({
        "Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 730, "Protocol": "h1", "Tls": false,
        "Runtime": runtime,
    });
    json!({"Version": 1, "Routes": routes, "Backends": [backend]}).to_string()
}

/// A change of one route.
pub fn change(version: u64) -> String {
    json!({"Version": version, "Upsert": {"Routes": [route(0, version)]}}).to_string()
}

fn route(index: usize, extra_ms: u64) -> Value {
    json!({
        "Name": format!("route-{index:05}"), "Hostname": format!("h{}.example", index % 50),
        "PathPrefix": format!("/p{index}/"), "RouteType": "streaming", "TimeoutMs": 15_000 + extra_ms,
        "TargetMs": 1_300, "Priority": index % 2, "Backend": SERVICE, "MaxAttempts": 2, "Sticky": true,
        "Resumable": true,
    })
}

fn model(index: usize, adapters: usize) -> Value {
    json!({
        "Name": model_name(index), "WeightsMb": WEIGHTS_MB, "LoadTimeS": LOAD_TIME_S, "Adapters": adapters,
        "AdapterSizeMb": 66,
    })
}
