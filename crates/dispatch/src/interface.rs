//! The vocabulary between the dispatcher and the I/O around it. Times are on the process's steady clock,
//! as the time since its start.

use lanegate_config::configuration::RouteType;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number that the I/O side gives to a client's request; never used twice in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request of a client, read whole, whose route is known.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub id: RequestId,
    /// Name of the service that the route (and its traffic split) picked.
    pub backend: Arc<str>,
    /// Name of the route, which stands for the class of the request.
    pub route: Arc<str>,
    pub route_type: RouteType,
    pub resumable: bool,
    /// Most endpoints to which the request may be sent.
    pub max_attempts: u32,
    /// Rank of the route, 0 is the highest.
    pub priority: u8,
    /// When the first byte of the request arrived.
    pub arrived: Duration,
    /// When an answer stops earning its full worth.
    pub target: Duration,
    /// When the client gives up or the route's time-out ends, whichever is earlier.
    pub deadline: Duration,
    /// Size of the body, bytes.
    pub body_bytes: u64,
    /// What the request asks of an engine; absent where the service has none.
    pub generation: Option<Generation>,
}

/// What a request asks of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    pub model: Arc<str>,
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of output.
    pub output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prefix: Vec<PromptPart>,
}

/// One part of a prompt, shared with other requests or the request's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    pub id: u64,
    pub tokens: u32,
}

/// What the I/O side is to do now.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to this endpoint, with `Expect-Instance` and, for engines, `Priority`.
    Send {
        request: RequestId,
        /// Counts the sends of this request, from 1; given back in reports so that late ones are recognised.
        attempt: u32,
        instance: Arc<str>,
        address: SocketAddr,
        /// Rank for the engine, 0 to 9.
        engine_priority: u8,
        /// `Last-Event-Id` with which a broken stream is taken up, where some events were passed on.
        resume: bool,
    },
    /// Answer 503 with `Retry-After`: the request has not run and never will.
    Refuse { request: RequestId, retry_after: Duration },
    /// Answer 502 or 504: the request may have run.
    Fail { request: RequestId, reason: FailReason },
}

/// Why a request is given up though it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailReason {
    /// Its time is over.
    Deadline,
    /// An attempt failed that may have run, and it may not run again.
    MayHaveRun,
    /// No attempt is left.
    Attempts,
}

/// Load that an endpoint tells in `Instance-Load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// News of an attempt before its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The head of the endpoint's answer arrived.
    Head { load: Option<InstanceLoad> },
    /// The first event, or the first byte of the body, arrived.
    FirstByte,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer arrived and was passed on (any status that says the request ran).
    Answered { success: bool, load: Option<InstanceLoad> },
    /// The endpoint said that it did not run the request (`Not-Executed`, 421).
    NotExecuted { status: u16, load: Option<InstanceLoad>, wrong_instance: bool },
    /// No connection, or nothing was sent on it.
    NotSent,
    /// The connection broke after the request was sent and before any of the answer was passed on.
    Broken,
    /// The answer broke off after some of it was passed on to the client.
    BrokenMidway,
    /// Bytes that are no answer, or an answer that belongs to another request.
    Garbled,
    /// The client left, or the I/O side gave the request up.
    Cancelled,
}
