//! Mutations of the router for tests: each must be detected by a test. Production code uses none.

/// A mutation of the router.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// Any answer is accepted as the answer to the last request.
    AcceptAnyAttemptId,
    /// A connection is reused whatever has arrived on it.
    SkipConnectionCheck,
    /// A request is retried after a reset if its connection had been used before.
    RetryAfterReset,
    /// Every attempt sends the full time of the client in place of the remaining time.
    SendOriginalDeadline,
    /// Late responses to earlier requests are not discarded.
    ForwardLateResponses,
    /// A request is retried on a connection on which it was sent before.
    RetryOnSameConnection,
    /// A body that is reset counts as complete.
    ResetCompletesBody,
    /// A truncated answer looks complete.
    HideTruncation,
    /// A 503 without `Not-Executed` counts as proof that the request did not run.
    TrustStatusAlone,
    /// The part of a traffic split is drawn independently for each request.
    DrawSplitsIndependently,
    /// Connections are checked by the current time, also directly after a stall of the process.
    CheckAtCurrentTime,
}
