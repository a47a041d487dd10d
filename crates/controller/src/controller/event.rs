//! Events that a controller handles one at a time: messages, calls, and completed writes.

use crate::controller::operator::unavailable::Unavailable;
use crate::link::Outbox;
use crate::message::{Hello, Message};
use bytes::Bytes;
use lanegate_placement::{EndpointReport, Order, OrderAnswer};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Method of a call on the control interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Method {
    Get,
    Put,
    Patch,
    Delete,
    Other,
}

/// A complete call on the control interface.
#[derive(Debug)]
pub(crate) struct Call {
    pub method: Method,
    pub path: String,
    /// The version in `If-Match`; `Err` holds the header text if it is not a number.
    pub if_match: Option<Result<u64, String>>,
    pub body: Bytes,
    pub reply: oneshot::Sender<Answer>,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub status: u16,
    pub body: Bytes,
    /// The reason for a status of 503; `None` for any other status.
    pub unavailable: Option<Unavailable>,
}

impl Answer {
    /// An answer with a body of JSON.
    pub(crate) fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Answer { status, body: body.into(), unavailable: None }
    }

    /// An answer with status 503 for `reason`.
    pub(crate) fn unavailable(reason: Unavailable) -> Self {
        Answer { unavailable: Some(reason), ..Answer::error(503, reason.text()) }
    }

    /// An error as JSON: `{"Error": text}`.
    pub(crate) fn error(status: u16, text: &str) -> Self {
        Answer::new(status, serde_json::json!({ "Error": text }).to_string())
    }
}

/// An event that a controller handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// The link to another controller is up.
    PeerUp {
        peer: SocketAddr,
        outbox: Outbox,
    },
    /// That link has ended; it is redialled automatically.
    PeerDown {
        peer: SocketAddr,
    },
    /// Another controller opened a link.
    PeerHello {
        hello: Hello,
    },
    PeerMessage {
        peer: SocketAddr,
        message: Message,
    },
    /// An agent opened a link.
    AgentUp {
        agent: u64,
        hello: Hello,
        outbox: Outbox,
    },
    AgentMessage {
        agent: u64,
        message: Message,
    },
    AgentDown {
        agent: u64,
    },
    Call(Call),
    /// An order has completed; `answer` also states if no answer arrived.
    OrderAnswered {
        service: String,
        order: Order,
        answer: OrderAnswer,
    },
    /// An endpoint answered a report request.
    Reported {
        service: String,
        instance: String,
        report: EndpointReport,
    },
    /// A version of the tombstone log is on disk, or could not be written.
    TombstonesWritten {
        version: u64,
        durable: bool,
    },
    /// A record of a shard is on disk, or could not be written.
    Written {
        shard: u8,
        token: u64,
        durable: bool,
    },
}
