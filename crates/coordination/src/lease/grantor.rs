//! The member of a group that grants leases.

use super::message::{LeaseRelease, LeaseReply, LeaseRequest};
use super::settings::LeaseSettings;
use crate::membership::NodeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a grantor may have granted anything before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantorStart {
    /// The first start of the whole system: nothing was ever granted.
    First,
    /// Any other start: what was granted is forgotten, so nothing is granted until it has run out.
    Restarted,
}

/// The newest grant for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    candidate: NodeId,
    /// Rounds of the candidate up to this one count for nothing any more.
    round: u64,
    /// When another candidate may have a grant.
    expires_at: Duration,
}

/// Grants leases, for each shard to one life at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    settings: LeaseSettings,
    /// Newest known generation of each shard's group.
    generations: BTreeMap<u32, u64>,
    /// Before this time nothing is granted.
    no_grants_before: Duration,
    grants: BTreeMap<u32, Grant>,
}

impl LeaseGrantor {
    /// A grantor that starts `now`.
    pub fn new(settings: LeaseSettings, start: GrantorStart, now: Duration) -> Self {
        let no_grants_before = match start {
            GrantorStart::First => now,
            GrantorStart::Restarted => now + settings.lockout_period(settings.validity),
        };
        LeaseGrantor { settings, generations: BTreeMap::new(), no_grants_before, grants: BTreeMap::new() }
    }

    /// Learns the generation of a shard's group; requests that know only an older one are refused from now on.
    pub fn set_generation(&mut self, shard: u32, generation: u64) {
        let known = self.generations.entry(shard).or_default();
        *known = generation.max(*known);
    }

    /// Grants or refuses; a late or doubled request has no answer.
    pub fn on_request(&mut self, now: Duration, request: &LeaseRequest) -> Option<LeaseReply> {
        let known = self.grants.get(&request.shard);
        let known = known.filter(|grant| grant.candidate == request.candidate);
        if known.is_some_and(|grant| request.round <= grant.round) {
            return None;
        }
        let wait = self.remaining_wait(now, request);
        let generation = self.generations.get(&request.shard).copied().unwrap_or_default();
        let granted = wait.is_zero() && request.generation >= generation;
        if granted {
            self.grant(now, request);
        }
        Some(LeaseReply {
            shard: request.shard,
            candidate: request.candidate,
            round: request.round,
            granted,
            wait_ms: millis_rounded_up(wait),
        })
    }

    /// Frees the shard as soon as the quiet period after the last act of the candidate has passed.
    pub fn on_release(&mut self, now: Duration, release: &LeaseRelease) {
        let Some(grant) = self.grants.get_mut(&release.shard) else { return };
        if grant.candidate != release.candidate || release.round < grant.round {
            return;
        }
        let quiet = self.settings.with_clock_drift(self.settings.quiet_period);
        let idle = Duration::from_millis(release.idle_ms.into());
        let expires_at = now + quiet.saturating_sub(idle);
        grant.round = release.round;
        grant.expires_at = grant.expires_at.min(expires_at);
    }

    /// How long this candidate has to wait for a grant; zero if it may have one.
    fn remaining_wait(&self, now: Duration, request: &LeaseRequest) -> Duration {
        let grant = self.grants.get(&request.shard);
        let others = grant.filter(|grant| grant.candidate != request.candidate);
        let expires_at = others.map_or(Duration::ZERO, |grant| grant.expires_at);
        expires_at.max(self.no_grants_before).saturating_sub(now)
    }

    fn grant(&mut self, now: Duration, request: &LeaseRequest) {
        let validity = Duration::from_millis(request.valid_ms.into());
        let known = self.grants.get(&request.shard);
        let earlier = known.map_or(Duration::ZERO, |grant| grant.expires_at);
        let expires_at = earlier.max(now + self.settings.lockout_period(validity));
        let grant = Grant { candidate: request.candidate, round: request.round, expires_at };
        self.grants.insert(request.shard, grant);
    }
}

/// A wait in the unit of the messages, rounded up.
fn millis_rounded_up(wait: Duration) -> u32 {
    u32::try_from(wait.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
