//! Deliberate faults for mutation testing: a test enables one and must detect it. Production code never enables any.

/// A deliberate fault of the router.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// An answer is accepted whatever its `Attempt-Id` is.
    AcceptAnyAttemptId,
    /// A connection is reused without a check for unread bytes or a closed peer.
    SkipConnectionCheck,
    /// A request is retried after a connection reset if the connection had been used before.
    RetryAfterReset,
    /// Every attempt sends the original `Deadline-Ms` of the client instead of the remaining time.
    SendOriginalDeadline,
    /// Late responses to earlier requests on a connection are not discarded.
    ForwardLateResponses,
    /// A request is retried on a connection on which it was sent before.
    RetryOnSameConnection,
    /// A body that ends with a connection reset counts as complete.
    ResetCompletesBody,
    /// A truncated answer is ended as if it were complete.
    HideTruncation,
    /// A 503 without `Not-Executed` counts as proof that the request did not run.
    TrustStatusAlone,
    /// The service of a traffic split is drawn at random, independently for each request.
    DrawSplitsIndependently,
    /// Client connections are checked against the current time instead of the time at which the check was due, also directly
    /// after a stall of the process.
    CheckAtCurrentTime,
    /// A client connection keeps the limit of heads that was in force when it was accepted.
    KeepHeadLimit,
}
