//! The candidate for the lease of one shard. It holds the lease once a majority of its group has granted it.

use super::group::GrantorGroup;
use super::message::{LeaseRelease, LeaseReply, LeaseRequest, millis_rounded_up};
use super::round::Rounds;
use super::settings::LeaseSettings;
use crate::membership::NodeId;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies one uninterrupted time as lease holder. It is unique within one incarnation of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenure(pub u64);

/// What the caller has to do, or is notified of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send a request to a grantor.
    Request {
        /// The grantor.
        to: SocketAddr,
        /// The request.
        request: LeaseRequest,
    },
    /// Send a release to a grantor.
    Release {
        /// The grantor.
        to: SocketAddr,
        /// The release.
        release: LeaseRelease,
    },
    /// Acquire a new epoch from the shard's register and pass it to [`LeaseHolder::epoch_acquired`]. The caller
    /// retries until it has one or the tenure has ended. An epoch that was acquired before this output must not
    /// be used.
    AcquireEpoch {
        /// The tenure that needs the epoch.
        tenure: Tenure,
    },
    /// The tenure has its epoch: [`LeaseHolder::authorize`] allows actions from now on.
    Began {
        /// The tenure.
        tenure: Tenure,
        /// Its fencing token.
        epoch: u64,
    },
    /// The tenure has ended; no further action is allowed under it.
    Ended {
        /// The tenure.
        tenure: Tenure,
    },
}

/// The lease while this process holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    tenure: Tenure,
    /// When the grants of the newest round with a majority end, less the margin.
    expires_at: Duration,
    epoch: Option<u64>,
}

/// The candidate for the lease of one shard, and its holder.
///
/// All times are readings of the caller's monotonic clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    shard: u32,
    local_node: NodeId,
    group: GrantorGroup,
    is_candidate: bool,
    rounds: Rounds,
    next_round_at: Duration,
    lease: Option<Lease>,
    /// Number of tenures that have begun.
    tenures: u64,
    /// Highest epoch that this incarnation has acquired.
    highest_epoch: Option<u64>,
    /// Latest time at which the last action arrives at its endpoint.
    last_action_arrival: Option<Duration>,
    /// When the grants are released: not before the last action has arrived.
    release_at: Option<Duration>,
}

impl LeaseHolder {
    /// A process that is not a candidate yet and knows no group.
    pub fn new(settings: LeaseSettings, shard: u32, local_node: NodeId) -> Self {
        LeaseHolder {
            settings,
            shard,
            local_node,
            group: GrantorGroup::default(),
            is_candidate: false,
            rounds: Rounds::default(),
            next_round_at: Duration::ZERO,
            lease: None,
            tenures: 0,
            highest_epoch: None,
            last_action_arrival: None,
            release_at: None,
        }
    }

    /// Sets the group that grants the lease. Each change of its members needs a higher `generation`, and a
    /// majority of the previous group must know of the change before this is called.
    pub fn set_group(&mut self, now: Duration, generation: u64, members: &[SocketAddr]) {
        let required_until = now + self.settings.lockout_period(self.settings.validity);
        if self.group.change(generation, members, required_until) {
            self.rounds.close_all();
            self.next_round_at = now;
        }
    }

    /// Sets whether this process should hold the lease, because it is the first live one in the shard's order.
    pub fn set_candidate(&mut self, now: Duration, is_candidate: bool) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        if is_candidate == self.is_candidate {
            return outputs;
        }
        self.is_candidate = is_candidate;
        self.next_round_at = now;
        self.release_at = None;
        if !is_candidate {
            outputs.extend(self.end_tenure());
            self.rounds.close_all();
            self.release_at = Some(self.last_action_arrival.map_or(now, |last| last.max(now)));
            outputs.extend(self.release_if_due(now));
        }
        outputs
    }

    /// Ends an expired lease and starts a round that is due. To be called at [`LeaseHolder::next_wake`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        self.group.on_tick(now);
        outputs.extend(self.release_if_due(now));
        if self.is_candidate && now >= self.next_round_at {
            outputs.extend(self.begin_round(now));
        }
        outputs
    }

    /// When [`LeaseHolder::on_tick`] is due next; `None` for a process that is not a candidate.
    pub fn next_wake(&self) -> Option<Duration> {
        let expiry = self.lease.map(|lease| lease.expires_at);
        let round = self.is_candidate.then_some(self.next_round_at);
        expiry.into_iter().chain(round).chain(self.release_at).min()
    }

    /// Processes the reply of the grantor at `from`.
    pub fn on_reply(&mut self, now: Duration, from: SocketAddr, reply: &LeaseReply) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        if !self.is_candidate || reply.candidate != self.local_node || reply.shard != self.shard {
            return outputs;
        }
        let Some(round) = self.rounds.record_reply(from, reply) else {
            return outputs;
        };
        if round.has_majority(&self.group) {
            let expires_at = round.sent + self.settings.validity - self.settings.margin;
            outputs.extend(self.extend(now, expires_at));
        } else if round.is_refused(&self.group) {
            let wait = round.shortest_wait();
            outputs.extend(self.on_round_lost(now, wait));
        }
        outputs
    }

    /// Sets the epoch that the register returned for `tenure`.
    ///
    /// The epoch of a tenure that has ended is dropped. If an epoch is not higher than all earlier ones, another
    /// one is acquired.
    pub fn epoch_acquired(&mut self, now: Duration, tenure: Tenure, epoch: u64) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        let highest = self.highest_epoch;
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.tenure == tenure) else {
            return outputs;
        };
        if lease.epoch.is_some() {
            return outputs;
        }
        if highest.is_some_and(|highest| epoch <= highest) {
            outputs.push(Output::AcquireEpoch { tenure });
            return outputs;
        }
        lease.epoch = Some(epoch);
        self.highest_epoch = Some(epoch);
        outputs.push(Output::Began { tenure, epoch });
        outputs
    }

    /// The register returned no epoch for `tenure` in time: another attempt is made, as long as the tenure lasts.
    pub fn epoch_unavailable(&mut self, now: Duration, tenure: Tenure) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        let awaits_epoch = |lease: &Lease| lease.tenure == tenure && lease.epoch.is_none();
        if self.lease.as_ref().is_some_and(awaits_epoch) {
            outputs.push(Output::AcquireEpoch { tenure });
        }
        outputs
    }

    /// Allows an action that arrives at its endpoint within `delivery_time`, and records it. Returns the epoch to
    /// send it under, or `None` if it must not be sent.
    ///
    /// To be called immediately before each action with a clock that was just read, as the process may have been
    /// suspended since its last step.
    pub fn authorize(&mut self, now: Duration, delivery_time: Duration) -> Option<u64> {
        let epoch = self.current_epoch(now, delivery_time)?;
        let arrival = now + delivery_time;
        self.last_action_arrival = Some(self.last_action_arrival.map_or(arrival, |last| last.max(arrival)));
        Some(epoch)
    }

    /// As [`LeaseHolder::authorize`], without recording an action: tells whether one could be sent now.
    pub fn current_epoch(&self, now: Duration, delivery_time: Duration) -> Option<u64> {
        let lease = self.lease.filter(|lease| now + delivery_time < lease.expires_at)?;
        lease.epoch
    }

    /// Extends the lease, or begins a tenure.
    fn extend(&mut self, now: Duration, expires_at: Duration) -> Vec<Output> {
        if let Some(lease) = &mut self.lease {
            lease.expires_at = lease.expires_at.max(expires_at);
            return Vec::new();
        }
        if expires_at <= now {
            return Vec::new();
        }
        self.tenures += 1;
        let tenure = Tenure(self.tenures);
        self.lease = Some(Lease { tenure, expires_at, epoch: None });
        vec![Output::AcquireEpoch { tenure }]
    }

    /// No majority granted this round: unless this process holds the lease, it releases the grants that it got,
    /// so that another candidate can get a majority.
    ///
    /// The next round starts after the shortest wait that a grantor reported, but at least once in a validity
    /// period, as a release of another candidate can shorten the wait.
    fn on_round_lost(&mut self, now: Duration, wait: Duration) -> Vec<Output> {
        if self.lease.is_some() {
            return Vec::new();
        }
        let delay =
            if wait.is_zero() { self.settings.round_interval } else { wait.min(self.settings.validity) };
        self.next_round_at = now + delay;
        self.release(now)
    }

    fn begin_round(&mut self, now: Duration) -> Vec<Output> {
        self.next_round_at = now + self.settings.round_interval;
        let request = LeaseRequest {
            shard: self.shard,
            candidate: self.local_node,
            round: self.rounds.begin(now),
            generation: self.group.generation,
            valid_ms: millis_rounded_up(self.settings.validity),
        };
        self.group.all_members().into_iter().map(|to| Output::Request { to, request }).collect()
    }

    fn release_if_due(&mut self, now: Duration) -> Vec<Output> {
        if self.release_at.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.release_at = None;
        self.release(now)
    }

    /// Releases the grants of all rounds.
    fn release(&mut self, now: Duration) -> Vec<Output> {
        self.rounds.close_all();
        if self.rounds.newest() == 0 {
            return Vec::new();
        }
        let release = LeaseRelease {
            shard: self.shard,
            candidate: self.local_node,
            round: self.rounds.newest(),
            idle_ms: self.idle_ms(now),
        };
        self.group.all_members().into_iter().map(|to| Output::Release { to, release }).collect()
    }

    /// Time since the arrival of the last action in milliseconds, rounded down.
    fn idle_ms(&self, now: Duration) -> u32 {
        let Some(last) = self.last_action_arrival else { return LeaseRelease::NEVER_ACTED };
        let idle = now.saturating_sub(last).as_millis();
        u32::try_from(idle).unwrap_or(LeaseRelease::NEVER_ACTED)
    }

    /// Ends the tenure if the lease has expired.
    fn end_if_expired(&mut self, now: Duration) -> Vec<Output> {
        match self.lease {
            Some(lease) if now >= lease.expires_at => self.end_tenure(),
            _ => Vec::new(),
        }
    }

    fn end_tenure(&mut self) -> Vec<Output> {
        self.lease.take().map(|lease| Output::Ended { tenure: lease.tenure }).into_iter().collect()
    }
}
