//! Mutations of the router for tests: each must be detected by a test. Production code uses none.

/// A mutation of the router.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// Any answer is accepted as the answer to the last request.
    AnyAttemptId,
    /// A connection is reused whatever has arrived on it.
    IgnoreUnread,
    /// A request is retried after a reset if its connection had been used before.
    RepeatAfterReset,
    /// Every attempt sends the full time of the client in place of the remaining time.
    KeepDeadline,
    /// Late responses to earlier requests are not discarded.
    PassStaleAnswers,
    /// A request is retried on a connection on which it was sent before.
    ReuseCarrier,
    /// A body that is reset counts as complete.
    ResetIsEnd,
    /// A truncated answer looks complete.
    EndCut,
    /// A 503 without `Not-Executed` counts as proof that the request did not run.
    TrustStatus,
    /// The part of a traffic split is drawn independently for each request.
    DrawSplits,
    /// Connections are checked by the current time, also directly after a stall of the process.
    SweepByPresentTime,
}
