//! The load of one endpoint as this router sees it: its own requests there, and what answers tell of others'.

use crate::estimate::Slowness;
use crate::health::Health;
use crate::interface::InstanceLoad;
use crate::prefix::PrefixCache;
use crate::service::Artifact;
use fair_edf::concurrency_limit::RecentCalls;
use std::time::Duration;

/// Time in which what an answer told of others' requests counts for 1/e, s: about the time that requests run.
const TOLD_MEMORY_S: f64 = 0.8;

/// What an answer told, less the requests of this router.
#[derive(Debug, Clone, Copy, Default)]
struct Others {
    running: f64,
    waiting: f64,
    at: Duration,
}

/// One endpoint's load.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// Own requests there that have no end yet.
    pub in_flight: u32,
    /// Tokens of own prompts there that are still to be read.
    pub unread_tokens: u64,
    /// Tokens of engine memory that own requests take.
    pub held_tokens: u64,
    /// Prompts that its memory is believed to keep.
    pub cache: PrefixCache,
    pub slowness: Slowness,
    pub recent: RecentCalls,
    pub health: Health,
    /// Nothing is sent before this: it was full, or no connection was to be had.
    pub closed_until: Duration,
    /// What it refuses though it has places, and until when: an order is under way there.
    pub refusing: Option<(Artifact, Duration)>,
    /// When the first byte of each own request is expected that has none yet.
    awaited: Vec<Duration>,
    /// When it was last sent a request.
    pub last_sent: Duration,
    others: Others,
    excess: Excess,
}

/// How much later than expected a first byte came.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    seconds: f64,
    at: Duration,
}

impl EndpointLoad {
    /// Takes in what the endpoint told of itself.
    pub fn told(&mut self, now: Duration, load: InstanceLoad) {
        let own = f64::from(self.in_flight);
        let running = (f64::from(load.running) - own).max(0.0);
        let waiting = (f64::from(load.running) + f64::from(load.waiting) - own).max(0.0) - running;
        self.others = Others { running, waiting: waiting.max(0.0), at: now };
    }

    /// Takes in how much later than expected a first byte came, s; below zero where it came sooner.
    pub fn sample_excess(&mut self, now: Duration, measured_s: f64) {
        let seconds = (self.excess_s(now) + measured_s).max(0.0) / 2.0;
        self.excess = Excess { seconds, at: now };
    }

    /// How much later than expected a first byte is likely to come, s: by the last ones, and by the one that
    /// is most overdue.
    pub fn excess_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.excess.at).as_secs_f64();
        let of_past = self.excess.seconds * (-age / TOLD_MEMORY_S).exp();
        let overdue =
            self.awaited.iter().min().map_or(Duration::ZERO, |&expected| now.saturating_sub(expected));
        of_past.max(overdue.as_secs_f64())
    }

    /// Requests of other routers there, as far as known.
    pub fn others(&self, now: Duration) -> f64 {
        (self.others.running + self.others.waiting) * self.freshness(now)
    }

    /// Of these, the ones that wait for a place.
    pub fn others_waiting(&self, now: Duration) -> f64 {
        self.others.waiting * self.freshness(now)
    }

    /// All requests there.
    pub fn occupancy(&self, now: Duration) -> f64 {
        f64::from(self.in_flight) + self.others(now)
    }

    /// Until when it refuses the model or adapter, as far as it told.
    pub fn refuses_until(&self, artifact: Option<&Artifact>) -> Option<Duration> {
        let (refused, until) = self.refusing.as_ref()?;
        (Some(refused) == artifact).then_some(*until)
    }

    fn freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.others.at);
        (-age.as_secs_f64() / TOLD_MEMORY_S).exp()
    }
}

/// What one request takes of an endpoint while it is there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Tokens that are to be read before the first byte.
    pub unread_tokens: u64,
    /// Tokens of memory that it takes.
    pub held_tokens: u64,
    /// When its first byte is expected, until it has come.
    pub awaited: Option<Duration>,
}

impl EndpointLoad {
    /// A request was sent there.
    pub fn enter(&mut self, now: Duration, footprint: Footprint) {
        self.in_flight += 1;
        self.awaited.extend(footprint.awaited);
        self.unread_tokens += footprint.unread_tokens;
        self.held_tokens += footprint.held_tokens;
        self.last_sent = now;
        self.health.sent();
    }

    /// Its first byte came: its prompt has been read.
    pub fn read(&mut self, footprint: Footprint) {
        let awaited = footprint.awaited;
        if let Some(at) = self.awaited.iter().position(|&expected| Some(expected) == awaited) {
            self.awaited.swap_remove(at);
        }
        self.unread_tokens = self.unread_tokens.saturating_sub(footprint.unread_tokens);
    }

    /// It ended or was given up.
    pub fn leave(&mut self, footprint: Footprint) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.read(footprint);
        self.held_tokens = self.held_tokens.saturating_sub(footprint.held_tokens);
    }
}
