//! Deliberate mistakes of a router, each of which a test must find. A process makes none.

/// A deliberate mistake.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterFault {
    /// Any answer counts as the answer to the request that was sent last.
    AnyAttemptId,
    /// A connection is used again whatever has come on it meanwhile.
    IgnoreUnread,
    /// A request is sent again after a reset, if its connection had been used before.
    RepeatAfterReset,
    /// Every send tells the client's whole time instead of what is left.
    KeepDeadline,
    /// Late answers to earlier requests are not dropped.
    PassStaleAnswers,
    /// A request is sent again on a connection that carried it.
    ReuseCarrier,
    /// A body that is reset counts as whole.
    ResetIsEnd,
    /// An answer that is cut looks whole.
    EndCut,
    /// A 503 without `Not-Executed` counts as a proof that the request did not run.
    TrustStatus,
    /// The part of a traffic split is drawn by chance for each request, whatever came before.
    DrawSplits,
    /// Connections are judged by the present time, also right after a standstill of the process.
    SweepByPresentTime,
}
