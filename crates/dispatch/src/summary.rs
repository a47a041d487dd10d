//! What the dispatcher tells of itself, for operators.

use crate::dispatcher::Dispatcher;
use std::time::Duration;

/// The figures of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchSummary {
    /// Requests that are at no endpoint.
    pub held_requests: usize,
    /// Sends that were counted against a retry budget, since the start.
    pub retries: u64,
    /// Retries that are left to the service that has the fewest; absent while no service is known.
    pub least_retry_budget: Option<u64>,
    pub endpoints: EndpointCounts,
}

/// Known endpoints by their standing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// They get requests.
    pub serving: usize,
    /// They are left out, as they failed.
    pub ejected: usize,
    /// They are about to end, or another answered in their place.
    pub leaving: usize,
}

impl Dispatcher {
    /// The figures now; takes time in proportion to the open requests and endpoints.
    pub fn summary(&self, now: Duration) -> DispatchSummary {
        DispatchSummary {
            held_requests: self.held_requests(),
            retries: self.fleet().retries(),
            least_retry_budget: self.fleet().least_retry_budget(now),
            endpoints: self.fleet().endpoint_counts(),
        }
    }
}
