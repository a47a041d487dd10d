//! The interface of the scheduler: settings, events, actions and the ids they use.
//! Plain data without behaviour; all decisions are made in [`crate::scheduler`].

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point on the courier's monotonic clock, as the time since an arbitrary origin.
pub type Time = Duration;

/// Id of a message, assigned by the courier; never reused by the same courier process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Id of an endpoint, assigned by the courier in the order in which endpoints become known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// Id of a destination: the receiver of a message, reached through its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DestinationId(pub u64);

/// Effect of delivering a message more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// None: repeats are harmless (idempotent).
    Repeatable,
    /// Deduplicated by the receivers in `scope` for `window`, from the first attempt that may have run.
    Keyed { scope: KeyScope, window: Duration },
    /// It takes effect again, so it is never repeated once an attempt may have run.
    Once,
}

/// Which endpoints of a destination share the record of seen keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyScope {
    All,
    Zone,
    /// Only the endpoint itself; also used for scopes that this crate does not know.
    Endpoint,
}

/// A message class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    /// Full value is earned when delivered within this time.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// Nothing is earned after this time.
    pub deadline: Duration,
    /// Value of a message delivered within the latency target.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Share of the value left at the deadline.
    #[serde(rename = "late_share")]
    pub late_value_share: f64,
    pub effect: Effect,
    /// Messages with the same key are delivered one at a time, in order of arrival.
    pub ordered: bool,
    /// The latency target grows by this multiple of the message's estimated work.
    #[serde(rename = "aim_stretch")]
    pub target_stretch: f64,
}

/// How the value falls between the latency target and the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueDecay {
    /// Linearly, down to `late_value_share`.
    #[serde(rename = "Line")]
    Linear,
    /// Halved with each further multiple of the latency target, but not below `late_value_share`.
    #[serde(rename = "Halves")]
    Halving,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Kind {
    /// Each endpoint is a separate route with its own limit, rate and outages.
    pub separate_routes: bool,
    /// Maximum number of messages per call.
    #[serde(rename = "bundle_max")]
    pub max_batch: usize,
}

/// Meaning of the weight of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightKind {
    None,
    /// Calls per second that the destination or route accepts from all couriers together.
    Nominal,
    /// The same, but up to half too high or too low.
    Rough,
}

/// Settings of the scheduler, fixed for the life of the process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Number of couriers that share the destinations, including this one.
    pub couriers: usize,
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    /// Number of tenants; if 0, fairness is between classes.
    pub tenants: usize,
    /// Maximum number of calls in flight.
    pub slots: usize,
    /// Maximum number of messages accepted and not yet answered, whether sent or not.
    pub max_held: usize,
    /// Maximum number of attempts per message.
    #[serde(rename = "attempt_cap")]
    pub max_attempts: u32,
    #[serde(rename = "worth_loss")]
    pub value_decay: ValueDecay,
    /// Cost of a new connection, in score points per message.
    pub handshake_cost: f64,
    /// Cost of a message on a separate route, by zone, in the same points.
    #[serde(rename = "zone_fees")]
    pub zone_costs: Vec<f64>,
    pub weights: WeightKind,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub keepalive: Duration,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// Longest retry delay that a refused client respects; none if clients are not given one.
    pub retry_after: Option<Duration>,
    /// List changes are sent only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// Minimum time between two calls of the scheduler.
    pub tick: Duration,
    /// From this long after an endpoint is reported as draining or removed, no new calls to it are allowed.
    pub drain_grace: Duration,
    /// Minimum share of its capacity that a destination has right after an outage.
    #[serde(rename = "cold_from")]
    pub cold_capacity: f64,
    /// Time after an outage until a destination has its full capacity again.
    #[serde(rename = "cold_span")]
    pub warm_up: Duration,
    /// While its capacity is reduced, a destination fails when it gets more than this multiple of its current
    /// capacity for `overload_span`.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// See `overload_factor`.
    #[serde(rename = "fall_span")]
    pub overload_span: Duration,
    /// Pause of an ordered key after an attempt that may still be running.
    #[serde(rename = "order_pause")]
    pub key_pause: Duration,
}

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    pub zone: usize,
    pub kind: usize,
    pub state: EndpointState,
    pub weight: f64,
}

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Delivered,
    /// The endpoint answered with an error; the attempt may have run.
    Error,
    /// Refused before processing because of a limit, possibly with a time to wait; it never ran.
    Full {
        wait: Option<Duration>,
    },
    /// No answer in time; the attempt may have run or may still be running.
    TimedOut,
    /// No connection could be established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Cancelled by this courier; the attempt may have run.
    Cancelled,
    /// Not sent: it never ran, but counts as an attempt.
    #[serde(rename = "Moot")]
    NotSent,
}

/// Load report of an endpoint about its rate limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Unused share of the limit.
    pub left: f64,
    /// The limit in calls per second; 0 if there is none.
    pub limit: f64,
}

/// A message accepted by the courier.
#[derive(Clone, Debug)]
pub struct Taken {
    pub message: MessageId,
    pub class: usize,
    pub tenant: usize,
    pub destination: DestinationId,
    pub key: Option<String>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Estimated processing time at the receiver, if known.
    pub estimated_work: Option<Duration>,
    /// Attempts from before a restart of this courier; the default for a new message.
    pub history: Past,
}

/// Recorded history of a message that was accepted before the courier restarted.
#[derive(Clone, Debug, Default)]
pub struct Past {
    /// The message was accepted before a restart and recovered from the journal.
    pub recovered: bool,
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_have_run: Option<Ran>,
}

/// An attempt that may have run: its endpoint and zone, and how long ago it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Ran {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub ago: Duration,
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub took: Duration,
    /// The message has its final answer, so no further attempt is needed.
    pub answered: bool,
    pub report: Option<Report>,
}

/// Input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changed entries of the endpoint list; the complete list if `whole` is set.
    Listed { whole: bool, entries: Vec<Entry> },
    /// A request for the list failed, or the subscription broke.
    ListFailed,
    /// A message was accepted and must get exactly one final answer.
    Taken(Taken),
    /// A streamed answer has started.
    Answering { message: MessageId },
    /// An attempt ended.
    Ended(Ended),
    /// The client no longer needs the message.
    Withdrawn { message: MessageId },
    /// Operators take an endpoint out of service, independent of the list, or put it back after a restart.
    Maintenance { endpoint: EndpointId, out: bool },
    /// A timer set with [`Action::Wake`] fired.
    Woken { token: u64 },
    /// A probe ended.
    Probed { endpoint: EndpointId, outcome: Outcome, took: Duration, report: Option<Report> },
    /// A message from another courier.
    Told { from: u64, note: Vec<u8> },
}

/// Output of the scheduler: what the courier is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        message: MessageId,
        endpoint: EndpointId,
        timeout: Duration,
    },
    /// End the message undelivered; the client may safely retry it.
    /// `wait` advises the client how long to wait before that.
    Refuse {
        message: MessageId,
        wait: Option<Duration>,
    },
    /// End the message as failed; whether it took effect is unknown.
    Fail {
        message: MessageId,
    },
    Probe {
        endpoint: EndpointId,
    },
    Cancel {
        message: MessageId,
        attempt: u32,
    },
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe {
        active: bool,
    },
    /// Request the complete endpoint list once.
    Fetch,
    /// Close all idle connections to an endpoint.
    Close {
        endpoint: EndpointId,
    },
    /// Drop an endpoint that was removed from the list long ago; nothing refers to its id any more.
    Forget {
        endpoint: EndpointId,
    },
    /// Send a message of at most 256 bytes to one courier, or to all.
    Tell {
        to: Option<u64>,
        note: Vec<u8>,
    },
    Wake {
        token: u64,
        after: Duration,
    },
    /// Write a line to the operators' log.
    Note {
        text: String,
    },
}
