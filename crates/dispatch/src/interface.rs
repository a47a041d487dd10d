//! The types that the dispatcher and the I/O code exchange. Times are on the monotonic clock of the process, as the
//! duration since its start.

use lanegate_config::configuration::RouteType;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Id of a client request, assigned by the I/O code; never reused in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A completely received request of a client, with its route.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the service that the route, and its traffic split, selected.
    pub backend: Arc<str>,
    /// Name of the route; it is the class of the request for Fair-EDF.
    pub route: Arc<str>,
    /// Whether the request is idempotent or a stream.
    pub route_type: RouteType,
    /// Whether a broken stream may be resumed by another attempt.
    pub resumable: bool,
    /// Maximum number of endpoints to which the request may be sent.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// When the first byte of the request arrived.
    pub arrived: Duration,
    /// Latency target: when the first byte of the answer is due.
    pub target: Duration,
    /// When the client gives up or the time-out of the route ends, whichever is earlier.
    pub deadline: Duration,
    /// Size of the body, bytes.
    pub body_bytes: u64,
    /// The requested generation; `None` if the endpoints of the service are not engines.
    pub generation: Option<Generation>,
}

/// The generation that a request asks an inference engine for.
#[derive(Debug, Clone, PartialEq)]
pub struct Generation {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter, if one is requested.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Parts of the prompt, in order.
    pub prefix: Vec<PromptPart>,
}

/// A part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A decision that the I/O code has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to this endpoint, with `Expect-Instance` and, for engines, `Priority`.
    Send {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 1. Reports repeat it, so that late reports about earlier attempts are recognised.
        attempt: u32,
        /// Id of the endpoint.
        instance: Arc<str>,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Priority for the engine, 0 (first) to 9.
        engine_priority: u8,
        /// Whether the attempt resumes a stream by `Last-Event-Id` after some events were forwarded.
        resume: bool,
    },
    /// Answer 503 with `Retry-After`: the request has not run and never will.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Duration,
    },
    /// Answer 502 or 504: the request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it failed.
        reason: FailReason,
    },
}

/// Why a request that may have run failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailReason {
    /// Its deadline has passed.
    Deadline,
    /// An attempt that may have run failed, and the request must not run twice.
    MayHaveRun,
    /// All attempts are used.
    Attempts,
}

/// The load that an endpoint reports in `Instance-Load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
}

/// Progress of an attempt before its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// The head of the endpoint's answer arrived.
    Head {
        /// The load that the head reports.
        load: Option<InstanceLoad>,
    },
    /// The first event, or the first byte of the body, arrived.
    FirstByte,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// The complete answer was forwarded, with any status that means that the request ran.
    Answered {
        /// Whether the status indicates success.
        success: bool,
        /// The load that the answer reports.
        load: Option<InstanceLoad>,
    },
    /// The endpoint answered that it did not run the request (`Not-Executed`, 421).
    NotExecuted {
        /// HTTP status of the answer.
        status: u16,
        /// The load that the answer reports.
        load: Option<InstanceLoad>,
        /// Whether another incarnation answered.
        wrong_instance: bool,
    },
    /// No connection was established, or nothing was sent on it.
    NotSent,
    /// The connection broke after the request was sent, before any of the answer was forwarded.
    Broken,
    /// The answer broke off after some of it was forwarded to the client.
    BrokenMidway,
    /// An invalid response, or the response to another request.
    InvalidResponse,
    /// The client disconnected, or the I/O code abandoned the request.
    Cancelled,
}
