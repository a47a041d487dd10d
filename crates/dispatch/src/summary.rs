//! Metrics of the dispatcher for operators.

/// The metrics at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchSummary {
    /// Requests without an attempt in flight.
    pub queued_requests: usize,
    /// Attempts that were counted against a retry budget, since the start.
    pub retries: u64,
    /// Remaining retries of the service that has the fewest; `None` while no service is known.
    pub min_retry_budget: Option<u64>,
    /// Endpoints by their health.
    pub endpoints: EndpointCounts,
}

/// Known endpoints by their health.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// In rotation.
    pub serving: usize,
    /// Ejected after failures.
    pub ejected: usize,
    /// Draining, or replaced by another incarnation.
    pub draining: usize,
}
