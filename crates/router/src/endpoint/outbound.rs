//! A request on its way to endpoints.

use crate::endpoint::lease::ConnectionNumber;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use lanegate_dispatch::interface::Decision;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request of a client, ready to be sent.
#[derive(Debug)]
pub struct Outbound {
    /// Method as the client sent it.
    pub method: Method,
    /// Path and query as the client sent them.
    pub target: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// `Attempt-Id` of the client.
    pub attempt_id: Option<HeaderValue>,
    /// When the time of the client or of the route ends.
    pub deadline: Duration,
    /// Whether its service has engines.
    pub engine: bool,
    /// Whether it may be executed more than once.
    pub retryable: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Connections on which it was sent. It is never sent again on one of these: a second answer to the earlier attempt could
    /// not be distinguished from the answer to the later one.
    pub used_connections: RefCell<Vec<ConnectionNumber>>,
}

/// Where the dispatcher sends a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Number of the attempt.
    pub attempt: u32,
    /// Id of the endpoint.
    pub instance: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Priority for an engine, 0 (first) to 9.
    pub engine_priority: u8,
    /// Whether the attempt resumes a stream.
    pub resume: bool,
}

impl Destination {
    /// The destination of a decision; `None` for decisions that end the request.
    pub fn of(decision: Decision) -> Option<Self> {
        match decision {
            Decision::Send { attempt, instance, address, engine_priority, resume, .. } => {
                Some(Destination { attempt, instance, address, engine_priority, resume })
            }
            Decision::Refuse { .. } | Decision::Fail { .. } => None,
        }
    }
}
