//! Configuration changes that simulated operators send, and how the change in force is identified.

use crate::controller::Method;
use bytes::Bytes;
use lanegate_config::configuration::Configuration;
use serde_json::{Value, json};

/// Name of the route whose prefix identifies the change that made a configuration.
const MARKER_ROUTE: &str = "mark";
/// Services with engines; their shards differ.
pub(super) const SERVICES: [&str; 2] = ["engines-one", "engines-two"];
/// Duration of a model load, in seconds.
pub(super) const LOAD_TIME_S: f64 = 0.6;

/// How a change is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// The complete configuration.
    Put,
    /// A patch with only the changed items.
    Patch,
    /// A complete configuration that is not valid.
    Invalid,
}

/// A change as it is sent.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) form: Form,
    /// The version on which it builds.
    pub(super) base: u64,
    pub(super) version: u64,
    pub(super) body: Bytes,
}

impl Change {
    /// The change with this number in the history.
    pub(super) fn new(number: usize, form: Form, base: u64, version: u64) -> Self {
        let body = match form {
            Form::Put => complete_configuration(number, version),
            Form::Patch => patch(number, version),
            Form::Invalid => {
                let mut body = complete_configuration(number, version);
                body["Routes"][0]["Backend"] = json!("unknown-service");
                body
            }
        };
        Change { form, base, version, body: body.to_string().into() }
    }

    pub(super) fn method(&self) -> Method {
        match self.form {
            Form::Put | Form::Invalid => Method::Put,
            Form::Patch => Method::Patch,
        }
    }
}

fn marker(number: usize) -> Value {
    json!({
        "Name": MARKER_ROUTE,
        "Hostname": "mark.example",
        "PathPrefix": format!("/{number}/"),
        "TimeoutMs": 1_000,
        "Backend": SERVICES[0],
    })
}

fn complete_configuration(number: usize, version: u64) -> Value {
    let backends: Vec<Value> = SERVICES.iter().map(|service| engines(service)).collect();
    json!({ "Version": version, "Routes": [marker(number)], "Backends": backends })
}

fn patch(number: usize, version: u64) -> Value {
    let backends: Vec<Value> = SERVICES.iter().map(|service| engines(service)).collect();
    json!({ "Version": version, "Upsert": { "Routes": [marker(number)], "Backends": backends } })
}

fn engines(service: &str) -> Value {
    let model = |name: &str| json!({ "Name": name, "WeightsMb": 100, "LoadTimeS": LOAD_TIME_S });
    json!({
        "Name": service,
        "Runtime": {
            "Capacity": 4,
            "KvCacheTokens": 1_000,
            "WeightsMb": 250,
            "MaxAdapters": 2,
            "LoadsPerS": 2.0,
            "Models": [model("first"), model("second"), model("third")],
        },
    })
}

/// The number of the change that produced a configuration, read from its marker route.
pub(super) fn maker(configuration: &Configuration) -> Option<usize> {
    let marker = configuration.routes.iter().find(|route| route.name == MARKER_ROUTE)?;
    marker.path_prefix.trim_matches('/').parse().ok()
}
