//! The state of a request from its arrival to its end.

use crate::candidate::Candidate;
use crate::endpoints::{Endpoint, EndpointKey};
use crate::interface::Request;
use crate::load::ResourceRequirement;
use crate::prefix::{PrefixExpectation, PromptChain};
use crate::service::Artifact;
use fair_edf::Ns;
use lanegate_config::configuration::RouteType;
use std::time::Duration;

/// A refusal is early within the latency target divided by this: the client can still be served elsewhere in time. A
/// later refusal only adds to the delay.
const EARLY_REFUSAL_DIVISOR: u32 = 4;

/// A request that has not ended.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request as submitted.
    pub request: Request,
    /// The prompt as a chain of parts; empty without a generation.
    pub chain: PromptChain,
    /// Whether it is queued or in flight.
    pub phase: Phase,
    /// Attempts so far.
    pub attempts: u32,
    /// The distinct endpoints to which it was sent.
    pub attempted_endpoints: Vec<EndpointKey>,
    /// Endpoints to which it is not sent again.
    pub excluded_endpoints: Vec<EndpointKey>,
    /// Attempts whose endpoint may have received part of the request.
    pub deliveries: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether some events were forwarded, so that the next attempt resumes the stream.
    pub resume: bool,
    /// Whether it was counted as a miss of its class.
    pub counted_as_miss: bool,
    /// When its timer expires.
    pub scheduled_at: Option<Duration>,
}

/// Where a request is at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// It waits in the router.
    Queued(QueueEntry),
    /// An attempt is in flight.
    InFlight(Attempt),
}

/// The position of a request that waits in the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QueueEntry {
    /// The endpoint on whose timeline it has a slot; `None` if no endpoint can serve it.
    pub endpoint: Option<EndpointKey>,
    /// When its slot on the timeline has to end, ns.
    pub due: Ns,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// When it was sent.
    pub sent: Duration,
    /// The resources of the endpoint that it takes.
    pub requirement: ResourceRequirement,
    /// Expected time to the first byte.
    pub expected: Duration,
    /// Whether the prefix was expected in the cache of the engine.
    pub prefix: PrefixExpectation,
    /// Tokens that the engine had to prefill before this prompt.
    pub queued_prefill_tokens: u64,
    /// When the first byte arrived.
    pub first_byte: Option<Duration>,
    /// Whether it is the trial of an ejected endpoint.
    pub is_trial: bool,
    /// Whether it is the first attempt of the request at this endpoint.
    pub is_first_on_endpoint: bool,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub fn new(request: Request) -> Self {
        let chain = request.generation.as_ref().map(PromptChain::of).unwrap_or_default();
        PendingRequest {
            request,
            chain,
            phase: Phase::Queued(QueueEntry::default()),
            attempts: 0,
            attempted_endpoints: Vec::new(),
            excluded_endpoints: Vec::new(),
            deliveries: 0,
            may_have_run: false,
            resume: false,
            counted_as_miss: false,
            scheduled_at: None,
        }
    }

    /// Maximum number of endpoints to which it may be sent, at least 1.
    pub fn max_attempts(&self) -> usize {
        self.request.max_attempts.max(1) as usize
    }

    /// Records that an attempt at a candidate begins.
    pub fn begin_attempt(&mut self, now: Duration, candidate: &Candidate) {
        let is_first_on_endpoint = !self.attempted_endpoints.contains(&candidate.key);
        if is_first_on_endpoint {
            self.attempted_endpoints.push(candidate.key);
        }
        self.attempts += 1;
        self.deliveries += 1;
        self.phase = Phase::InFlight(Attempt {
            endpoint: candidate.key,
            sent: now,
            requirement: candidate.requirement,
            expected: candidate.expected,
            prefix: candidate.prefix,
            queued_prefill_tokens: candidate.queued_prefill_tokens,
            first_byte: None,
            is_trial: !candidate.is_in_rotation(),
            is_first_on_endpoint,
        });
    }

    /// The attempt in flight, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::InFlight(attempt) => Some(attempt),
            Phase::Queued(_) => None,
        }
    }

    /// The queue entry, while no attempt is in flight.
    pub fn queue_entry(&self) -> Option<QueueEntry> {
        match self.phase {
            Phase::Queued(entry) => Some(entry),
            Phase::InFlight(_) => None,
        }
    }

    /// Whether it may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        match self.request.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.request.resumable,
        }
    }

    /// Whether nothing bounds the duration of its answer: the length of an output is not known before its end, and an engine
    /// may become overloaded meanwhile.
    pub fn has_unbounded_duration(&self) -> bool {
        self.request.route_type == RouteType::Streaming || self.request.generation.is_some()
    }

    /// Whether the attempt limit and earlier failures allow an attempt at this endpoint.
    pub fn may_attempt_on(&self, key: EndpointKey) -> bool {
        let was_attempted = self.attempted_endpoints.contains(&key);
        let is_below_limit = self.attempted_endpoints.len() < self.max_attempts();
        (was_attempted || is_below_limit) && !self.excluded_endpoints.contains(&key)
    }

    /// Whether the next attempt is a retry, which the retry budget has to allow.
    pub fn is_retry(&self) -> bool {
        self.deliveries > 0
    }

    /// Whether the endpoint has loaded the model and adapter that it needs.
    pub fn can_be_served_by(&self, endpoint: &Endpoint) -> bool {
        let generation = self.request.generation.as_ref();
        generation
            .is_none_or(|generation| endpoint.has_model(&generation.model, generation.adapter.as_deref()))
    }

    /// The model and adapter that it needs.
    pub fn artifact(&self) -> Option<Artifact> {
        let generation = self.request.generation.as_ref()?;
        Some(Artifact { model: generation.model.clone(), adapter: generation.adapter.clone() })
    }

    /// KV-cache tokens that it takes.
    pub fn kv_cache_tokens(&self) -> u64 {
        let output = self.request.generation.as_ref().map_or(0, |generation| generation.output_tokens);
        u64::from(self.chain.prompt_tokens) + u64::from(output)
    }

    /// Until when a refusal is early enough for the client to be served elsewhere in time.
    pub fn early_refusal_end(&self) -> Duration {
        self.request.arrived + self.latency_target() / EARLY_REFUSAL_DIVISOR
    }

    /// Time from its arrival to its latency target.
    pub fn latency_target(&self) -> Duration {
        self.request.target.saturating_sub(self.request.arrived)
    }
}
