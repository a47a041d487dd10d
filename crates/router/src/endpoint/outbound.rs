//! A client's request in the form in which it is sent to endpoints, and the destination of an attempt.

use crate::endpoint::lease::ConnectionNumber;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use lanegate_dispatch::interface::Decision;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A completely received request of a client, ready to be sent to endpoints.
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
    /// When the request has to be answered: the earlier end of the client's time and the route's, less a margin for the answer.
    pub deadline: Duration,
    /// Whether the endpoints of its service are inference engines.
    pub engine: bool,
    /// Whether the request may be executed more than once.
    pub retryable: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Connections on which the request was sent. It is never sent again on any of these, because a second answer to the earlier
    /// attempt could not be distinguished from the answer to the later one.
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
