//! The grantor: a member of a group, which grants the lease of each shard to one candidate at a time.

use super::message::{LeaseRelease, LeaseReply, LeaseRequest, millis_rounded_up};
use super::settings::LeaseSettings;
use crate::membership::NodeId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a grantor may have given grants before this start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantorStart {
    /// The first start of the whole system: nothing was ever granted.
    First,
    /// Any other start: earlier grants are forgotten, so nothing is granted until they have expired.
    Restarted,
}

/// The newest grant for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    candidate: NodeId,
    /// The newest round of the candidate that was granted or released.
    round: u64,
    /// When the shard may be granted to another candidate.
    expires_at: Duration,
}

/// Grants leases, for each shard to one incarnation at a time.
///
/// All times are readings of the caller's monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    settings: LeaseSettings,
    /// Newest known generation of each shard's group.
    generations: BTreeMap<u32, u64>,
    /// Earliest time of a grant after a restart.
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

    /// Sets the generation of a shard's group. Requests of an older generation are refused from now on.
    pub fn set_generation(&mut self, shard: u32, generation: u64) {
        let known = self.generations.entry(shard).or_default();
        *known = generation.max(*known);
    }

    /// Grants or refuses a request. A late or duplicate request gets no reply.
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

    /// Shortens a grant: it ends when the quiet period after the candidate's last action has passed.
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

    /// How long this candidate has to wait for a grant; zero if it can get one now.
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
