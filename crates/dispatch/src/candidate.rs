//! A candidate of endpoint selection.

use crate::endpoints::EndpointKey;
use crate::health::HealthStatus;
use crate::load::ResourceRequirement;
use crate::prefix::PrefixExpectation;
use std::time::Duration;

/// An endpoint to which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Its health.
    pub health: HealthStatus,
    /// Whether the request may be sent there now.
    pub has_capacity: bool,
    /// Cost of sending the request there, s.
    pub cost_s: f64,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Resources that the request would take there.
    pub requirement: ResourceRequirement,
    /// Tokens that the engine has to prefill before the prompt of this request.
    pub queued_prefill_tokens: u64,
    /// Whether the prefix of the prompt is expected in its cache.
    pub prefix: PrefixExpectation,
    /// Rendezvous rank for the prefix of the prompt; 0 without one.
    pub(crate) rank: u64,
    /// When a request was last sent there.
    pub(crate) last_dispatched: Duration,
    /// No request is sent there before this time.
    pub backoff_until: Duration,
}

impl Candidate {
    /// Whether the endpoint gets ordinary requests, with or without the limit of a slow start.
    pub fn is_in_rotation(&self) -> bool {
        matches!(self.health, HealthStatus::Healthy | HealthStatus::SlowStart(_))
    }
}
