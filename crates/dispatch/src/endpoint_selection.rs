//! Endpoint selection: orders the eligible endpoints by cost, and decides whether a request is sent or queued.

use crate::candidate::Candidate;
use crate::endpoints::{Endpoint, EndpointKey};
use crate::fleet::Fleet;
use crate::health::HealthStatus;
use crate::pending_request::PendingRequest;
use crate::rendezvous::rank;
use crate::scoring::ScoringContext;
use lanegate_config::mechanism::Mechanism;
use std::cmp::Ordering;
use std::time::Duration;

/// Candidates tie if their cost exceeds the lowest cost by at most the larger of these: a fraction of the lowest cost,
/// and a time in s. Ties go to the highest rendezvous rank, and without a rank to the endpoint that was used least
/// recently.
const TIE_RELATIVE_TOLERANCE: f64 = 0.1;
const TIE_ABSOLUTE_TOLERANCE_S: f64 = 0.001;

/// The endpoints that can serve the request and that its attempt limit allows, best first.
pub fn candidates(fleet: &Fleet, now: Duration, pending: &PendingRequest) -> Vec<Candidate> {
    let backend = &pending.request.backend;
    let service = fleet.service(backend);
    let eligible = fleet.table.ready(backend).filter(|(_, endpoint)| pending.can_be_served_by(endpoint));
    let eligible: Vec<_> = eligible.filter(|(key, _)| pending.may_attempt_on(*key)).collect();
    let affinity = pending.chain.affinity().filter(|_| fleet.is_enabled(Mechanism::PrefixOwner));
    let owner = affinity.and_then(|affinity| owner(fleet, &eligible, affinity));
    let context =
        ScoringContext { fleet, service, pending, now, affinity, owner, artifact: pending.artifact() };
    let mut candidates: Vec<Candidate> =
        eligible.iter().map(|(key, endpoint)| context.candidate(*key, endpoint)).collect();
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
fn owner(fleet: &Fleet, eligible: &[(EndpointKey, &Endpoint)], affinity: u64) -> Option<EndpointKey> {
    let in_rotation = eligible.iter().filter(|(key, _)| !fleet.load(*key).health.is_ejected());
    in_rotation.max_by_key(|(_, endpoint)| rank(affinity, endpoint.hash)).map(|(key, _)| *key)
}

/// Orders the candidates whose cost ties with the lowest one.
fn break_ties(candidates: &mut [Candidate]) {
    let Some(least) = candidates.first().map(|first| first.cost_s) else {
        return;
    };
    let tolerance_s = (least * TIE_RELATIVE_TOLERANCE).max(TIE_ABSOLUTE_TOLERANCE_S);
    let tied = candidates.partition_point(|candidate| candidate.cost_s <= least + tolerance_s);
    candidates[..tied].sort_by(compare_ties);
}

fn compare_ties(one: &Candidate, other: &Candidate) -> Ordering {
    other
        .rank
        .cmp(&one.rank)
        .then(one.last_dispatched.cmp(&other.last_dispatched))
        .then(one.key.cmp(&other.key))
}

/// The result of selecting among the candidates of a request.
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
