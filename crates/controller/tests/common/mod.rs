//! Messages as controllers send them.

use lanegate_controller::message::{Message, Registered, Removed, ResidencyUpdate};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The control plane's machine `number`.
pub(crate) fn controller(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// The body of a heartbeat of an endpoint on `port` that holds `models`.
pub(crate) fn body(port: u16, sequence: u64, state: &str, models: &[&str]) -> String {
    let models: Vec<_> = models.iter().map(|name| serde_json::json!({ "Name": name })).collect();
    serde_json::json!({
        "Backend": "tiles",
        "Address": format!("10.1.0.1:{port}"),
        "State": state,
        "Sequence": sequence,
        "Models": models,
    })
    .to_string()
}

pub(crate) fn registered(id: &str, port: u16, sequence: u64, models: &[&str]) -> Message {
    let body = body(port, sequence, "ready", models);
    Message::Registered(Registered { id: id.into(), sequence, body: body.as_str().into() })
}

pub(crate) fn removed(id: &str, sequence: u64) -> Message {
    Message::Removed(Removed { id: id.into(), sequence })
}

/// What was published first of the first registration.
pub(crate) fn residency_update(id: &str, model: &str, present: bool) -> Message {
    residency_update_of(id, model, present, 1, 1)
}

/// What was published in `order` of the registration with `sequence`.
pub(crate) fn residency_update_of(
    id: &str,
    model: &str,
    present: bool,
    sequence: u64,
    order: u64,
) -> Message {
    Message::ResidencyUpdate(ResidencyUpdate {
        id: id.into(),
        model: model.into(),
        adapter: "".into(),
        present: u8::from(present),
        sequence,
        order,
    })
}
