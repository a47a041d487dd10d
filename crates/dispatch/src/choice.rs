//! Which endpoint a request goes to: a cost for each candidate, in seconds until its first byte and what
//! else is worth as much.

use crate::endpoints::{Endpoint, EndpointKey};
use crate::fleet::Fleet;
use crate::health::Standing;
use crate::load::{EndpointLoad, Footprint};
use crate::rendezvous::rank;
use crate::service::{Artifact, Service};
use crate::tracked::{Belief, Tracked};
use lanegate_config::mechanism::Mechanism;
use std::cmp::Ordering;
use std::time::Duration;

/// Cost of another zone of the region, and of another region, s: less than any real wait.
const ZONE_COST_S: f64 = 0.002;
const REGION_COST_S: f64 = 0.02;

/// Cost of each failure since the last success, s, at most so many of them.
const FAULT_COST_S: f64 = 0.1;
const FAULTS_COUNTED: u32 = 5;

/// An endpoint that has just started is this much slower.
const COLD_SLOWNESS: f64 = 2.0;

/// Part of the usual service time that a full batch adds to an answer.
const BATCH_COST: f64 = 0.1;

/// Cost of the time for which the streams of an engine stand still, as a part of that time for each stream.
const STALL_COST: f64 = 0.08;

/// Part of an engine's memory that running requests may fill: the rest is for the growth of their outputs.
const MEMORY_SHARE: f64 = 0.9;

/// Costs closer than this are equal, as a share of the least, and at least in s; then the rank decides, or
/// the turn where there is no rank.
const EQUAL_SHARE: f64 = 0.1;
const EQUAL_LEAST_S: f64 = 0.001;

/// One endpoint that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    pub key: EndpointKey,
    pub standing: Standing,
    /// Whether it may be sent there at this moment.
    pub has_room: bool,
    pub cost_s: f64,
    /// Time to the first byte that is expected.
    pub expected: Duration,
    pub footprint: Footprint,
    /// Tokens that are to be read there before its own prompt.
    pub ahead_tokens: u64,
    pub belief: Belief,
    /// Rank for the prompt's prefix, where there is one.
    rank: u64,
    last_sent: Duration,
    /// Nothing is sent there before this.
    pub closed_until: Duration,
}

impl Candidate {
    /// Whether it is in use, be it at few requests at once.
    pub fn is_in(&self) -> bool {
        matches!(self.standing, Standing::In | Standing::Returning(_))
    }
}

/// The endpoints that may take the request by the rules and by what they hold, best first.
pub fn candidates(fleet: &Fleet, now: Duration, tracked: &Tracked) -> Vec<Candidate> {
    let backend = &tracked.request.backend;
    let service = fleet.service(backend);
    let able = fleet.table.ready(backend).filter(|(_, endpoint)| tracked.is_held_by(endpoint));
    let able: Vec<_> = able.filter(|(key, _)| tracked.may_go_to(*key)).collect();
    let affinity = tracked.chain.affinity().filter(|_| fleet.uses(Mechanism::PrefixOwner));
    let owner = affinity.and_then(|affinity| owner(fleet, &able, affinity));
    let survey = Survey { fleet, service, tracked, now, affinity, owner, artifact: tracked.artifact() };
    let mut found: Vec<Candidate> =
        able.iter().map(|(key, endpoint)| survey.candidate(*key, endpoint)).collect();
    found.sort_by(|one, other| one.cost_s.total_cmp(&other.cost_s));
    prefer_rank_among_equals(&mut found);
    found
}

/// Whether any endpoint in use holds what the request needs.
pub fn is_placed(fleet: &Fleet, tracked: &Tracked) -> bool {
    if tracked.request.generation.is_none() {
        return true;
    }
    let mut ready = fleet.table.ready(&tracked.request.backend);
    ready.any(|(key, endpoint)| tracked.is_held_by(endpoint) && !fleet.load(key).health.is_out())
}

/// The endpoint in use that ranks highest for the prefix: the same in every router that sees the same ones.
fn owner(fleet: &Fleet, able: &[(EndpointKey, &Endpoint)], affinity: u64) -> Option<EndpointKey> {
    let in_use = able.iter().filter(|(key, _)| !fleet.load(*key).health.is_out());
    in_use.max_by_key(|(_, endpoint)| rank(affinity, endpoint.hash)).map(|(key, _)| *key)
}

/// What the costs of one request's candidates are made of.
struct Survey<'a> {
    fleet: &'a Fleet,
    service: &'a Service,
    tracked: &'a Tracked,
    now: Duration,
    /// What ranks the endpoints for the prompt's prefix, where there is one.
    affinity: Option<u64>,
    owner: Option<EndpointKey>,
    artifact: Option<Artifact>,
}

impl Survey<'_> {
    fn candidate(&self, key: EndpointKey, endpoint: &Endpoint) -> Candidate {
        let load = self.fleet.load(key);
        let standing = load.health.standing(self.now);
        let (belief, unread) = self.unread(key, load);
        let expected_s = self.expected_s(endpoint, load, unread);
        let expected = crate::units::seconds(expected_s);
        let footprint = Footprint {
            unread_tokens: unread,
            held_tokens: self.tracked.held_tokens(),
            awaited: Some(self.now + expected),
        };
        let faults = f64::from(load.health.faults().min(FAULTS_COUNTED));
        let refused_until = load.refuses_until(self.artifact.as_ref()).unwrap_or_default();
        let closed_until = load.closed_until.max(refused_until);
        Candidate {
            key,
            standing,
            has_room: closed_until <= self.now && self.has_room(endpoint, load, standing),
            cost_s: expected_s
                + self.batch_s(endpoint, load)
                + self.stall_s(load, unread)
                + self.distance_s(endpoint)
                + faults * FAULT_COST_S,
            expected,
            ahead_tokens: self.ahead_tokens(load) as u64,
            footprint,
            belief,
            rank: self.affinity.map_or(0, |affinity| rank(affinity, endpoint.hash)),
            last_sent: load.last_sent,
            closed_until,
        }
    }

    /// What is believed of the prompt there, and how many of its tokens are expected to be read.
    fn unread(&self, key: EndpointKey, load: &EndpointLoad) -> (Belief, u64) {
        let chain = &self.tracked.chain;
        let cached = match self.fleet.uses(Mechanism::PrefixCache) {
            true => load.cache.cached_tokens(chain),
            false => 0,
        };
        let (belief, kept) = match cached {
            0 if self.owner == Some(key) => {
                (Belief::Owned, f64::from(chain.shared_tokens()) * self.service.owned.get())
            }
            0 => (Belief::Absent, 0.0),
            cached => (Belief::Kept, f64::from(cached) * self.service.kept.get()),
        };
        (belief, (f64::from(chain.prompt_tokens) - kept).max(0.0) as u64)
    }

    /// Time to the first byte.
    fn expected_s(&self, endpoint: &Endpoint, load: &EndpointLoad, unread: u64) -> f64 {
        let reading_s = self.service.first_byte.expected_s(self.ahead_tokens(load) + unread as f64);
        let cold = if endpoint.warm_at > self.now { COLD_SLOWNESS } else { 1.0 };
        reading_s * load.slowness.get() * cold + self.queue_s(endpoint, load) + self.excess_s(load)
    }

    /// How much later than expected a first byte is likely to come.
    fn excess_s(&self, load: &EndpointLoad) -> f64 {
        if self.fleet.uses(Mechanism::ExcessDelay) { load.excess_s(self.now) } else { 0.0 }
    }

    /// Tokens that an engine reads before those of a newcomer: of own requests, and of others' by the part of
    /// their time that requests are being read.
    fn ahead_tokens(&self, load: &EndpointLoad) -> f64 {
        match self.service.engine {
            Some(_) => load.unread_tokens as f64 + load.others(self.now) * self.service.unread_at_a_time(),
            None => 0.0,
        }
    }

    /// Wait for a place where all are taken.
    fn queue_s(&self, endpoint: &Endpoint, load: &EndpointLoad) -> f64 {
        let slots = f64::from(endpoint.capacity);
        let beyond = (load.occupancy(self.now) + 1.0 - slots).max(0.0);
        beyond * self.service.served.seconds() / slots
    }

    /// What the requests that run there already add.
    fn batch_s(&self, endpoint: &Endpoint, load: &EndpointLoad) -> f64 {
        if !self.fleet.uses(Mechanism::BatchCost) {
            return 0.0;
        }
        let filled = load.occupancy(self.now) / f64::from(endpoint.capacity);
        let weight = if self.service.engine.is_some() { BATCH_COST } else { 1.0 };
        weight * filled * self.service.served.seconds()
    }

    /// What the streams that run there lose while the prompt is read between their tokens.
    fn stall_s(&self, load: &EndpointLoad, unread: u64) -> f64 {
        match self.service.engine {
            Some(_) if self.fleet.uses(Mechanism::StallCost) => {
                let reading_s = self.service.first_byte.per_token_s() * unread as f64;
                STALL_COST * load.occupancy(self.now) * reading_s
            }
            _ => 0.0,
        }
    }

    fn distance_s(&self, endpoint: &Endpoint) -> f64 {
        let settings = &self.fleet.settings;
        if *endpoint.zone == *settings.zone {
            return 0.0;
        }
        let region = |zone: &str| settings.zones.get(zone);
        match region(&endpoint.zone) == region(&settings.zone) {
            true => ZONE_COST_S,
            false => REGION_COST_S,
        }
    }

    fn has_room(&self, endpoint: &Endpoint, load: &EndpointLoad, standing: Standing) -> bool {
        let own = load.in_flight;
        let by_health = match standing {
            Standing::In => true,
            Standing::Returning(allowed) => own < allowed,
            Standing::Trial { .. } => own == 0,
            Standing::Out { .. } => false,
        };
        by_health && self.has_place(endpoint, load) && self.has_memory(load)
    }

    /// The cap of the design, within which an even share of it is always free to this router, and more while
    /// the endpoint has places.
    fn has_place(&self, endpoint: &Endpoint, load: &EndpointLoad) -> bool {
        let cap = load.recent.cap(endpoint.capacity as usize) as u32;
        let even = cap.div_ceil(self.fleet.routers());
        let places = load.occupancy(self.now) + 1.0 <= f64::from(endpoint.capacity);
        load.in_flight < even || (load.in_flight < cap && places)
    }

    fn has_memory(&self, load: &EndpointLoad) -> bool {
        let Some(memory) = self.service.memory_tokens() else {
            return true;
        };
        let others = load.others(self.now) * self.service.mean_held_tokens();
        let taken = load.held_tokens as f64 + others;
        let wanted = self.tracked.held_tokens() as f64;
        taken < 1.0 || taken + wanted <= memory as f64 * MEMORY_SHARE
    }
}

/// Puts the candidate of the highest rank, or whose turn it is, before those that cost as little.
fn prefer_rank_among_equals(found: &mut [Candidate]) {
    let Some(least) = found.first().map(|first| first.cost_s) else {
        return;
    };
    let equal_s = (least * EQUAL_SHARE).max(EQUAL_LEAST_S);
    let equals = found.partition_point(|candidate| candidate.cost_s <= least + equal_s);
    found[..equals].sort_by(by_rank_then_turn);
}

fn by_rank_then_turn(one: &Candidate, other: &Candidate) -> Ordering {
    other.rank.cmp(&one.rank).then(one.last_sent.cmp(&other.last_sent)).then(one.key.cmp(&other.key))
}

/// Where a request goes among its candidates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It may be sent at once.
    Send(Candidate),
    /// It waits for this endpoint.
    Wait(Candidate),
    /// No endpoint can take it as things are.
    Nowhere,
}

/// Decides among candidates, best first. A trial of an endpoint that was left out comes before all, as only
/// ordinary requests bring it back; it takes a request that may be repeated, or after some time any.
pub fn decide(now: Duration, tracked: &Tracked, found: &[Candidate]) -> Verdict {
    let first_send = !tracked.is_repeat();
    let trial = found
        .iter()
        .find(|candidate| candidate.has_room && first_send && suits_trial(now, tracked, candidate));
    let open = found.iter().find(|candidate| candidate.has_room && candidate.is_in());
    if let Some(candidate) = trial.or(open) {
        return Verdict::Send(*candidate);
    }
    if let Some(busy) = found.iter().find(|candidate| candidate.is_in()) {
        return Verdict::Wait(*busy);
    }
    let any_trial = found.iter().find(|candidate| candidate.has_room);
    match any_trial {
        Some(candidate) => Verdict::Send(*candidate),
        None => found.first().map_or(Verdict::Nowhere, |candidate| Verdict::Wait(*candidate)),
    }
}

fn suits_trial(now: Duration, tracked: &Tracked, candidate: &Candidate) -> bool {
    match candidate.standing {
        Standing::Trial { reserved_until } => tracked.is_repeatable() || reserved_until <= now,
        _ => false,
    }
}
