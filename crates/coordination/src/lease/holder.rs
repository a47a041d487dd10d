//! The candidate for the lease of one shard, and its holder once a majority granted.

use super::group::GrantorGroup;
use super::message::{LeaseRelease, LeaseReply, LeaseRequest};
use super::round::Rounds;
use super::settings::LeaseSettings;
use crate::membership::NodeId;
use std::net::SocketAddr;
use std::time::Duration;

/// Names one unbroken time as holder; never used twice in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenure(pub u64);

/// What the caller has to do or to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send this request to that grantor.
    Request { to: SocketAddr, request: LeaseRequest },
    /// Send this release to that grantor.
    Release { to: SocketAddr, release: LeaseRelease },
    /// Take a new epoch from the shard's register and hand it to [`LeaseHolder::epoch_acquired`]; the caller
    /// tries until it has one or the tenure ended. The register has to be asked after this, not before.
    AcquireEpoch { tenure: Tenure },
    /// The tenure has its epoch: [`LeaseHolder::authorize`] lets it act from now on.
    Began { tenure: Tenure, epoch: u64 },
    /// The tenure is over; it acts no more.
    Ended { tenure: Tenure },
}

/// One unbroken time as holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    tenure: Tenure,
    /// End of the newest majority of grants, margin taken off.
    expires_at: Duration,
    epoch: Option<u64>,
}

/// The candidate for the lease of one shard, and its holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    shard: u32,
    this: NodeId,
    group: GrantorGroup,
    is_candidate: bool,
    rounds: Rounds,
    next_round_at: Duration,
    lease: Option<Lease>,
    tenures: u64,
    /// Highest epoch that this life acquired.
    highest_epoch: Option<u64>,
    /// When the last act has reached its endpoint at the latest.
    last_action_arrival: Option<Duration>,
    /// When the grants are given back: not before the last act has arrived.
    release_at: Option<Duration>,
}

impl LeaseHolder {
    /// A process that is no candidate and knows no group yet.
    pub fn new(settings: LeaseSettings, shard: u32, this: NodeId) -> Self {
        LeaseHolder {
            settings,
            shard,
            this,
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

    /// Learns the group that grants; each change of the members needs a higher `generation`, and a majority of
    /// the group before must know of the change before this is called.
    pub fn set_group(&mut self, now: Duration, generation: u64, members: &[SocketAddr]) {
        let required_until = now + self.settings.lockout_period(self.settings.validity);
        if self.group.change(generation, members, required_until) {
            self.rounds.close_all();
            self.next_round_at = now;
        }
    }

    /// Says whether this process is to hold the lease: it is the first live one in the shard's order.
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

    /// Notices the end of the lease and sends a round that is due; to be called at [`LeaseHolder::next_wake`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        self.group.on_tick(now);
        outputs.extend(self.release_if_due(now));
        if self.is_candidate && now >= self.next_round_at {
            outputs.extend(self.begin_round(now));
        }
        outputs
    }

    /// When [`LeaseHolder::on_tick`] is to be called next; never for a process that is no candidate.
    pub fn next_wake(&self) -> Option<Duration> {
        let lapse = self.lease.map(|lease| lease.expires_at);
        let round = self.is_candidate.then_some(self.next_round_at);
        lapse.into_iter().chain(round).chain(self.release_at).min()
    }

    /// Takes in the answer of the grantor at `from`.
    pub fn on_reply(&mut self, now: Duration, from: SocketAddr, reply: &LeaseReply) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        if !self.is_candidate || reply.candidate != self.this || reply.shard != self.shard {
            return outputs;
        }
        let wait = Duration::from_millis(reply.wait_ms.into());
        let Some(round) = self.rounds.record_reply(reply.round, from, reply.granted, wait) else {
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

    /// Takes in the epoch that was taken from the register for `tenure`.
    ///
    /// The epoch of a tenure that is over is dropped, and one that does not rise is asked for again.
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

    /// The register gave no epoch for `tenure` in time: it is asked again, for as long as the tenure lasts.
    pub fn epoch_unavailable(&mut self, now: Duration, tenure: Tenure) -> Vec<Output> {
        let mut outputs = self.end_if_expired(now);
        let waits = |lease: &Lease| lease.tenure == tenure && lease.epoch.is_none();
        if self.lease.as_ref().is_some_and(waits) {
            outputs.push(Output::AcquireEpoch { tenure });
        }
        outputs
    }

    /// The epoch under which an act may be sent now that reaches its endpoint within `delivery_time`; notes the act.
    ///
    /// To be asked right before each act with a clock that was just read: only this notices that the process was
    /// frozen since it last did anything.
    pub fn authorize(&mut self, now: Duration, delivery_time: Duration) -> Option<u64> {
        let epoch = self.current_epoch(now, delivery_time)?;
        let arrival = now + delivery_time;
        self.last_action_arrival = Some(self.last_action_arrival.map_or(arrival, |last| last.max(arrival)));
        Some(epoch)
    }

    /// As [`LeaseHolder::authorize`], without an act: for decisions whether to plan one.
    pub fn current_epoch(&self, now: Duration, delivery_time: Duration) -> Option<u64> {
        let lease = self.lease.filter(|lease| now + delivery_time < lease.expires_at)?;
        lease.epoch
    }

    /// Prolongs the tenure, or begins one.
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

    /// A round was lost: a process that holds nothing gives back what it got, so that another may win.
    ///
    /// It asks again when the named wait is over, but at least once in a validity: a release shortens waits.
    fn on_round_lost(&mut self, now: Duration, wait: Duration) -> Vec<Output> {
        if self.lease.is_some() {
            return Vec::new();
        }
        let pause =
            if wait.is_zero() { self.settings.round_interval } else { wait.min(self.settings.validity) };
        self.next_round_at = now + pause;
        self.release(now)
    }

    fn begin_round(&mut self, now: Duration) -> Vec<Output> {
        self.next_round_at = now + self.settings.round_interval;
        let request = LeaseRequest {
            shard: self.shard,
            candidate: self.this,
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

    /// Gives all rounds back; none of them counts any more.
    fn release(&mut self, now: Duration) -> Vec<Output> {
        self.rounds.close_all();
        if self.rounds.newest() == 0 {
            return Vec::new();
        }
        let release = LeaseRelease {
            shard: self.shard,
            candidate: self.this,
            round: self.rounds.newest(),
            idle_ms: self.idle_ms(now),
        };
        self.group.all_members().into_iter().map(|to| Output::Release { to, release }).collect()
    }

    /// Time since the last act has arrived, rounded down.
    fn idle_ms(&self, now: Duration) -> u32 {
        let Some(last) = self.last_action_arrival else { return LeaseRelease::NEVER_ACTED };
        let idle = now.saturating_sub(last).as_millis();
        u32::try_from(idle).unwrap_or(LeaseRelease::NEVER_ACTED)
    }

    /// Ends the tenure if its time is over.
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

/// A validity in the unit of the messages, rounded up.
fn millis_rounded_up(validity: Duration) -> u32 {
    u32::try_from(validity.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
