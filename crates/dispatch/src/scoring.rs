//! The cost of sending a request to an endpoint: the expected time to the first byte in seconds, plus penalties in the
//! same unit.

use crate::candidate::Candidate;
use crate::endpoints::{Endpoint, EndpointKey};
use crate::fleet::Fleet;
use crate::health::HealthStatus;
use crate::load::{EndpointLoad, ResourceRequirement};
use crate::pending_request::PendingRequest;
use crate::prefix::PrefixExpectation;
use crate::rendezvous::rank;
use crate::service::{Artifact, Service};
use crate::units::seconds;
use lanegate_config::mechanism::Mechanism;
use std::time::Duration;

/// Cost of an endpoint in another zone, and in another region, s. Both are less than any real queueing delay.
const ZONE_COST_S: f64 = 0.002;
const REGION_COST_S: f64 = 0.02;

/// Cost of each failure since the last success, s, and the number of failures that count at most.
const FAILURE_COST_S: f64 = 0.1;
const MAX_COUNTED_FAILURES: u32 = 5;

/// Factor by which an endpoint is slower while it warms up.
const WARM_UP_FACTOR: f64 = 2.0;

/// Fraction of the usual service time that a full batch adds to an answer.
const BATCH_COST_WEIGHT: f64 = 0.1;

/// Cost of stalling the streams of an engine during a prefill, as a fraction of the duration of the stall for each
/// stream.
const STALL_COST_WEIGHT: f64 = 0.08;

/// Fraction of the KV cache of an engine that requests may fill; the rest is for the growth of their outputs.
const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// The inputs from which the costs of the candidates of one request are calculated.
pub(crate) struct ScoringContext<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) service: &'a Service,
    pub(crate) pending: &'a PendingRequest,
    pub(crate) now: Duration,
    /// The rendezvous key of the prefix of the prompt, if there is one.
    pub(crate) affinity: Option<u64>,
    pub(crate) owner: Option<EndpointKey>,
    pub(crate) artifact: Option<Artifact>,
}

impl ScoringContext<'_> {
    /// The candidate for an endpoint, with its cost.
    pub(crate) fn candidate(&self, key: EndpointKey, endpoint: &Endpoint) -> Candidate {
        let load = self.fleet.load(key);
        let health = load.health.status(self.now);
        let (prefix, prefill_tokens) = self.expected_prefill(key, load);
        let expected_s = self.expected_first_byte_s(endpoint, load, prefill_tokens);
        let expected = seconds(expected_s);
        let requirement = ResourceRequirement {
            prefill_tokens,
            kv_cache_tokens: self.pending.kv_cache_tokens(),
            expected_first_byte: Some(self.now + expected),
        };
        let consecutive_failures = f64::from(load.health.consecutive_failures().min(MAX_COUNTED_FAILURES));
        let refused_until = load.rejects_until(self.artifact.as_ref()).unwrap_or_default();
        let backoff_until = load.backoff_until.max(refused_until);
        Candidate {
            key,
            health,
            has_capacity: backoff_until <= self.now && self.has_capacity(endpoint, load, health),
            cost_s: expected_s
                + self.batch_cost_s(endpoint, load)
                + self.stall_cost_s(load, prefill_tokens)
                + self.locality_cost_s(endpoint)
                + consecutive_failures * FAILURE_COST_S,
            expected,
            queued_prefill_tokens: self.queued_prefill_tokens(load) as u64,
            requirement,
            prefix,
            rank: self.affinity.map_or(0, |affinity| rank(affinity, endpoint.hash)),
            last_dispatched: load.last_dispatched,
            backoff_until,
        }
    }

    /// Whether the prefix of the prompt is expected in the cache of the endpoint, and the tokens left to prefill.
    fn expected_prefill(&self, key: EndpointKey, load: &EndpointLoad) -> (PrefixExpectation, u64) {
        let chain = &self.pending.chain;
        let cached =
            if self.fleet.is_enabled(Mechanism::PrefixCache) { load.cache.cached_tokens(chain) } else { 0 };
        let (prefix, cached_tokens) = match cached {
            0 if self.owner == Some(key) => (
                PrefixExpectation::Owned,
                f64::from(chain.shared_tokens()) * self.service.owner_hit_rate.get(),
            ),
            0 => (PrefixExpectation::Absent, 0.0),
            cached => (PrefixExpectation::Cached, f64::from(cached) * self.service.cache_hit_rate.get()),
        };
        (prefix, (f64::from(chain.prompt_tokens) - cached_tokens).max(0.0) as u64)
    }

    /// Expected time to the first byte.
    fn expected_first_byte_s(&self, endpoint: &Endpoint, load: &EndpointLoad, prefill_tokens: u64) -> f64 {
        let prefill_s =
            self.service.first_byte.expected_s(self.queued_prefill_tokens(load) + prefill_tokens as f64);
        let warm_up = if endpoint.warm_at > self.now { WARM_UP_FACTOR } else { 1.0 };
        prefill_s * load.latency_ratio.get() * warm_up
            + self.queue_wait_s(endpoint, load)
            + self.excess_delay_s(load)
    }

    /// How much later than expected the next first byte is likely to come, s.
    fn excess_delay_s(&self, load: &EndpointLoad) -> f64 {
        if self.fleet.is_enabled(Mechanism::ExcessDelay) { load.excess_delay_s(self.now) } else { 0.0 }
    }

    /// Tokens that an engine prefills before those of a new request: those of requests of this router, and an estimate for
    /// the requests of other routers.
    fn queued_prefill_tokens(&self, load: &EndpointLoad) -> f64 {
        match self.service.engine {
            Some(_) => {
                load.prefill_tokens as f64
                    + load.other_requests(self.now) * self.service.mean_pending_prefill_tokens()
            }
            None => 0.0,
        }
    }

    /// Time until a slot becomes free, s.
    fn queue_wait_s(&self, endpoint: &Endpoint, load: &EndpointLoad) -> f64 {
        let slots = f64::from(endpoint.capacity);
        let excess = (load.occupancy(self.now) + 1.0 - slots).max(0.0);
        excess * self.service.service_time.seconds() / slots
    }

    /// Cost of the requests that already run there, which slow the answer down, s.
    fn batch_cost_s(&self, endpoint: &Endpoint, load: &EndpointLoad) -> f64 {
        if !self.fleet.is_enabled(Mechanism::BatchCost) {
            return 0.0;
        }
        let utilization = load.occupancy(self.now) / f64::from(endpoint.capacity);
        let weight = if self.service.engine.is_some() { BATCH_COST_WEIGHT } else { 1.0 };
        weight * utilization * self.service.service_time.seconds()
    }

    /// Cost of the delay of the running streams while the engine prefills the prompt between their tokens, s.
    fn stall_cost_s(&self, load: &EndpointLoad, prefill_tokens: u64) -> f64 {
        match self.service.engine {
            Some(_) if self.fleet.is_enabled(Mechanism::StallCost) => {
                let prefill_s = self.service.first_byte.per_token_s() * prefill_tokens as f64;
                STALL_COST_WEIGHT * load.occupancy(self.now) * prefill_s
            }
            _ => 0.0,
        }
    }

    fn locality_cost_s(&self, endpoint: &Endpoint) -> f64 {
        let settings = &self.fleet.settings;
        if *endpoint.zone == *settings.zone {
            return 0.0;
        }
        let region = |zone: &str| settings.zones.get(zone);
        if region(&endpoint.zone) == region(&settings.zone) { ZONE_COST_S } else { REGION_COST_S }
    }

    fn has_capacity(&self, endpoint: &Endpoint, load: &EndpointLoad, health: HealthStatus) -> bool {
        let own = load.in_flight;
        let by_health = match health {
            HealthStatus::Healthy => true,
            HealthStatus::SlowStart(allowed) => own < allowed,
            HealthStatus::HalfOpen { .. } => own == 0,
            HealthStatus::Ejected { .. } => false,
        };
        by_health && self.has_free_slot(endpoint, load) && self.has_memory(load)
    }

    /// Whether the concurrency limit leaves a slot. This router may always use an equal share of the limit, and the
    /// rest while the endpoint has free slots.
    fn has_free_slot(&self, endpoint: &Endpoint, load: &EndpointLoad) -> bool {
        let cap = load.recent.cap(endpoint.capacity as usize) as u32;
        let fair_share = cap.div_ceil(self.fleet.routers());
        let has_free_slot = load.occupancy(self.now) + 1.0 <= f64::from(endpoint.capacity);
        load.in_flight < fair_share || (load.in_flight < cap && has_free_slot)
    }

    fn has_memory(&self, load: &EndpointLoad) -> bool {
        let Some(memory) = self.service.memory_tokens() else {
            return true;
        };
        let others = load.other_requests(self.now) * self.service.mean_kv_cache_tokens();
        let taken = load.kv_cache_tokens as f64 + others;
        let required = self.pending.kv_cache_tokens() as f64;
        taken < 1.0 || taken + required <= memory as f64 * USABLE_MEMORY_FRACTION
    }
}
