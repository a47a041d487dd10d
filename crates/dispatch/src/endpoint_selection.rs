//! Endpoint selection: each candidate gets a cost, which is the expected time to the first byte in seconds plus
//! penalties in the same unit.

use crate::candidate::Candidate;
use crate::endpoints::{Endpoint, EndpointKey};
use crate::fleet::Fleet;
use crate::health::HealthStatus;
use crate::load::{EndpointLoad, ResourceRequirement};
use crate::pending_request::PendingRequest;
use crate::prefix::PrefixExpectation;
use crate::rendezvous::rank;
use crate::service::{Artifact, Service};
use lanegate_config::mechanism::Mechanism;
use std::cmp::Ordering;
use std::time::Duration;

/// Cost of an endpoint in another zone, and in another region, s. Both are less than any real queueing delay.
const ZONE_COST_S: f64 = 0.002;
const REGION_COST_S: f64 = 0.02;

/// Cost of each failure since the last success, s, and the number of failures that count at most.
const FAILURE_COST_S: f64 = 0.1;
const MAX_COUNTED_FAILURES: u32 = 5;

/// Factor by which an endpoint is slower while it warms up.
const WARM_UP_FACTOR: f64 = 2.0;

/// Part of the usual service time that a full batch adds to an answer.
const BATCH_COST_WEIGHT: f64 = 0.1;

/// Cost of stalling the streams of an engine during a prefill, as a part of the stall for each stream.
const STALL_COST_WEIGHT: f64 = 0.08;

/// Part of the KV cache of an engine that requests may fill; the rest is for the growth of their outputs.
const USABLE_MEMORY_FRACTION: f64 = 0.9;

/// Costs that differ by less than this (relative to the lowest cost, and at least in s) are tied. Ties go to the
/// highest rendezvous rank, and without a rank to the endpoint that was used least recently.
const TIE_RELATIVE_TOLERANCE: f64 = 0.1;
const TIE_ABSOLUTE_TOLERANCE_S: f64 = 0.001;

/// The endpoints that can serve the request and that its attempt limit allows, best first.
pub fn candidates(fleet: &Fleet, now: Duration, pending: &PendingRequest) -> Vec<Candidate> {
    let backend = &pending.request.backend;
    let service = fleet.service(backend);
    let able = fleet.table.ready(backend).filter(|(_, endpoint)| pending.can_be_served_by(endpoint));
    let able: Vec<_> = able.filter(|(key, _)| pending.may_attempt_on(*key)).collect();
    let affinity = pending.chain.affinity().filter(|_| fleet.uses(Mechanism::PrefixOwner));
    let owner = affinity.and_then(|affinity| owner(fleet, &able, affinity));
    let survey =
        ScoringContext { fleet, service, pending, now, affinity, owner, artifact: pending.artifact() };
    let mut candidates: Vec<Candidate> =
        able.iter().map(|(key, endpoint)| survey.candidate(*key, endpoint)).collect();
    candidates.sort_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
    break_ties(&mut candidates);
    candidates
}

/// Whether any endpoint that is not ejected has loaded what the request needs.
pub fn is_resident(fleet: &Fleet, pending: &PendingRequest) -> bool {
    if pending.request.generation.is_none() {
        return true;
    }
    let mut ready = fleet.table.ready(&pending.request.backend);
    ready.any(|(key, endpoint)| pending.can_be_served_by(endpoint) && !fleet.load(key).health.is_ejected())
}

/// The owner of a prefix: the endpoint with the highest rendezvous rank that is not ejected. Routers that know the same
/// endpoints agree on it.
fn owner(fleet: &Fleet, able: &[(EndpointKey, &Endpoint)], affinity: u64) -> Option<EndpointKey> {
    let in_use = able.iter().filter(|(key, _)| !fleet.load(*key).health.is_ejected());
    in_use.max_by_key(|(_, endpoint)| rank(affinity, endpoint.hash)).map(|(key, _)| *key)
}

/// What the costs of the candidates of one request depend on.
struct ScoringContext<'a> {
    fleet: &'a Fleet,
    service: &'a Service,
    pending: &'a PendingRequest,
    now: Duration,
    /// The rendezvous key of the prefix of the prompt, if there is one.
    affinity: Option<u64>,
    owner: Option<EndpointKey>,
    artifact: Option<Artifact>,
}

impl ScoringContext<'_> {
    fn candidate(&self, key: EndpointKey, endpoint: &Endpoint) -> Candidate {
        let load = self.fleet.load(key);
        let health = load.health.status(self.now);
        let (prefix, unread) = self.unread(key, load);
        let expected_s = self.expected_s(endpoint, load, unread);
        let expected = crate::units::seconds(expected_s);
        let requirement = ResourceRequirement {
            prefill_tokens: unread,
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
                + self.stall_cost_s(load, unread)
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
    fn unread(&self, key: EndpointKey, load: &EndpointLoad) -> (PrefixExpectation, u64) {
        let chain = &self.pending.chain;
        let cached =
            if self.fleet.uses(Mechanism::PrefixCache) { load.cache.cached_tokens(chain) } else { 0 };
        let (prefix, kept) = match cached {
            0 if self.owner == Some(key) => (
                PrefixExpectation::Owned,
                f64::from(chain.shared_tokens()) * self.service.owner_hit_rate.get(),
            ),
            0 => (PrefixExpectation::Absent, 0.0),
            cached => (PrefixExpectation::Cached, f64::from(cached) * self.service.cache_hit_rate.get()),
        };
        (prefix, (f64::from(chain.prompt_tokens) - kept).max(0.0) as u64)
    }

    /// Expected time to the first byte.
    fn expected_s(&self, endpoint: &Endpoint, load: &EndpointLoad, unread: u64) -> f64 {
        let reading_s = self.service.first_byte.expected_s(self.queued_prefill_tokens(load) + unread as f64);
        let warm_up = if endpoint.warm_at > self.now { WARM_UP_FACTOR } else { 1.0 };
        reading_s * load.latency_ratio.get() * warm_up
            + self.queue_wait_s(endpoint, load)
            + self.excess_delay_s(load)
    }

    /// How much later than expected the next first byte is likely to come, s.
    fn excess_delay_s(&self, load: &EndpointLoad) -> f64 {
        if self.fleet.uses(Mechanism::ExcessDelay) { load.excess_delay_s(self.now) } else { 0.0 }
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
        let beyond = (load.occupancy(self.now) + 1.0 - slots).max(0.0);
        beyond * self.service.service_time.seconds() / slots
    }

    /// What the requests that already run there add, s.
    fn batch_cost_s(&self, endpoint: &Endpoint, load: &EndpointLoad) -> f64 {
        if !self.fleet.uses(Mechanism::BatchCost) {
            return 0.0;
        }
        let filled = load.occupancy(self.now) / f64::from(endpoint.capacity);
        let weight = if self.service.engine.is_some() { BATCH_COST_WEIGHT } else { 1.0 };
        weight * filled * self.service.service_time.seconds()
    }

    /// What the running streams lose while the engine prefills the prompt between their tokens, s.
    fn stall_cost_s(&self, load: &EndpointLoad, unread: u64) -> f64 {
        match self.service.engine {
            Some(_) if self.fleet.uses(Mechanism::StallCost) => {
                let reading_s = self.service.first_byte.per_token_s() * unread as f64;
                STALL_COST_WEIGHT * load.occupancy(self.now) * reading_s
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

    /// Whether the concurrency limit leaves a slot. An equal part of the limit is always open to this router, the rest
    /// while the endpoint has free slots.
    fn has_free_slot(&self, endpoint: &Endpoint, load: &EndpointLoad) -> bool {
        let cap = load.recent.cap(endpoint.capacity as usize) as u32;
        let even = cap.div_ceil(self.fleet.routers());
        let places = load.occupancy(self.now) + 1.0 <= f64::from(endpoint.capacity);
        load.in_flight < even || (load.in_flight < cap && places)
    }

    fn has_memory(&self, load: &EndpointLoad) -> bool {
        let Some(memory) = self.service.memory_tokens() else {
            return true;
        };
        let others = load.other_requests(self.now) * self.service.mean_kv_cache_tokens();
        let taken = load.kv_cache_tokens as f64 + others;
        let wanted = self.pending.kv_cache_tokens() as f64;
        taken < 1.0 || taken + wanted <= memory as f64 * USABLE_MEMORY_FRACTION
    }
}

/// Orders the candidates whose cost ties with the lowest one.
fn break_ties(candidates: &mut [Candidate]) {
    let Some(least) = candidates.first().map(|first| first.cost_s) else {
        return;
    };
    let equal_s = (least * TIE_RELATIVE_TOLERANCE).max(TIE_ABSOLUTE_TOLERANCE_S);
    let equals = candidates.partition_point(|candidate| candidate.cost_s <= least + equal_s);
    candidates[..equals].sort_by(compare_ties);
}

fn compare_ties(one: &Candidate, other: &Candidate) -> Ordering {
    other
        .rank
        .cmp(&one.rank)
        .then(one.last_dispatched.cmp(&other.last_dispatched))
        .then(one.key.cmp(&other.key))
}

/// What happens to a request, given its candidates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// It is sent to this endpoint now.
    Dispatch(Candidate),
    /// It is queued for this endpoint.
    Enqueue(Candidate),
    /// No endpoint can serve it at present.
    Unroutable,
}

/// Selects among candidates, best first. The trial of an ejected endpoint takes precedence, because only an ordinary
/// request can bring the endpoint back. A trial takes a request that may be retried or, after a while, any request.
pub fn select(now: Duration, pending: &PendingRequest, candidates: &[Candidate]) -> Selection {
    let first_send = !pending.is_retry();
    let trial = candidates.iter().find(|candidate| {
        candidate.has_capacity && first_send && is_suited_to_trial(now, pending, candidate)
    });
    let open = candidates.iter().find(|candidate| candidate.has_capacity && candidate.is_in_rotation());
    if let Some(candidate) = trial.or(open) {
        return Selection::Dispatch(*candidate);
    }
    if let Some(busy) = candidates.iter().find(|candidate| candidate.is_in_rotation()) {
        return Selection::Enqueue(*busy);
    }
    let any_trial = candidates.iter().find(|candidate| candidate.has_capacity);
    match any_trial {
        Some(candidate) => Selection::Dispatch(*candidate),
        None => candidates.first().map_or(Selection::Unroutable, |candidate| Selection::Enqueue(*candidate)),
    }
}

fn is_suited_to_trial(now: Duration, pending: &PendingRequest, candidate: &Candidate) -> bool {
    match candidate.health {
        HealthStatus::HalfOpen { reserved_until } => pending.is_retryable() || reserved_until <= now,
        _ => false,
    }
}
