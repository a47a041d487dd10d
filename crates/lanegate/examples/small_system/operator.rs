//! The operator: sends a configuration, then moves its route to another service.

use crate::{Outcome, POLL_INTERVAL};
use lanegate_control_http::{ClientRequest, ControlMethod, call};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

const CONFIGURATION: &str = r#"{"Version":1,
    "Routes":[{"Name":"chat","Hostname":"models.example","PathPrefix":"/chat/","RouteType":"idempotent",
               "TimeoutMs":2000,"TargetMs":500,"Backend":"small","MaxAttempts":2}],
    "Backends":[{"Name":"small"},{"Name":"large"}]}"#;

const MOVE_ROUTE: &str = r#"{"Version":2,"Upsert":{
    "Routes":[{"Name":"chat","Hostname":"models.example","PathPrefix":"/chat/","RouteType":"idempotent",
               "TimeoutMs":2000,"TargetMs":500,"Backend":"large","MaxAttempts":2}]}}"#;

/// Sends the first configuration; retries until the controller gives a definite answer.
pub(crate) async fn put(control: SocketAddr) -> Outcome<String> {
    send(control, ControlMethod::Put, 0, CONFIGURATION).await
}

/// Moves the route to the other service.
pub(crate) async fn patch(control: SocketAddr) -> Outcome<String> {
    send(control, ControlMethod::Patch, 1, MOVE_ROUTE).await
}

async fn send(
    control: SocketAddr,
    method: ControlMethod,
    version: u64,
    body: &'static str,
) -> Outcome<String> {
    let request =
        ClientRequest { method, if_match: Some(version), body: body.into(), ..ClientRequest::get("/config") };
    loop {
        match call(control, &request, CALL_TIMEOUT).await {
            Ok(answer) if answer.status < 500 => {
                return Ok(format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)));
            }
            // The outcome is unknown: the same change is sent again, which is safe to repeat.
            _ => sleep(POLL_INTERVAL).await,
        }
    }
}
