//! The load of one endpoint as this router sees it: its own requests, and the requests of others from load reports.

use crate::estimate::LatencyRatio;
use crate::health::Health;
use crate::interface::InstanceLoad;
use crate::prefix::PrefixCache;
use crate::service::Artifact;
use fair_edf::concurrency_limit::RecentCalls;
use std::time::Duration;

/// Time constant of the decay of a load report, s: about the duration of a request.
const REPORT_DECAY_S: f64 = 0.8;

/// The reported load without the requests of this router.
#[derive(Debug, Clone, Copy, Default)]
struct ReportedLoad {
    running: f64,
    waiting: f64,
    at: Duration,
}

/// The load of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    /// Requests of this router in flight there.
    pub in_flight: u32,
    /// Tokens of the prompts of this router that the engine still has to prefill.
    pub prefill_tokens: u64,
    /// KV-cache tokens that the requests of this router take.
    pub kv_cache_tokens: u64,
    /// Prefixes that are expected in the cache of the engine.
    pub cache: PrefixCache,
    /// Its latency relative to its service.
    pub latency_ratio: LatencyRatio,
    /// Results of recent requests, for the concurrency limit.
    pub recent: RecentCalls,
    /// Its passive health.
    pub health: Health,
    /// Nothing is sent before this time: the endpoint was full, or a connection failed.
    pub backoff_until: Duration,
    /// A model or adapter that the endpoint rejects although it has free slots, and until when: a load or an eviction is in
    /// progress.
    pub rejected_artifact: Option<(Artifact, Duration)>,
    /// When the first byte is expected, for each request in flight that has none yet.
    expected_first_byte: Vec<Duration>,
    /// When a request was last sent there.
    pub last_dispatched: Duration,
    reported: ReportedLoad,
    excess_delay: ExcessDelay,
}

/// How much later than expected first bytes came.
#[derive(Debug, Clone, Copy, Default)]
struct ExcessDelay {
    seconds: f64,
    at: Duration,
}

impl EndpointLoad {
    /// Records the load that the endpoint reported.
    pub fn record_reported_load(&mut self, now: Duration, load: InstanceLoad) {
        let own = f64::from(self.in_flight);
        let running = (f64::from(load.running) - own).max(0.0);
        let waiting = (f64::from(load.running) + f64::from(load.waiting) - own).max(0.0) - running;
        self.reported = ReportedLoad { running, waiting: waiting.max(0.0), at: now };
    }

    /// Records how much later than expected a first byte came, s; negative if it came earlier.
    pub fn sample_excess_delay(&mut self, now: Duration, measured_s: f64) {
        let seconds = (self.excess_delay_s(now) + measured_s).max(0.0) / 2.0;
        self.excess_delay = ExcessDelay { seconds, at: now };
    }

    /// How much later than expected the next first byte is likely to come, s: the larger of the decayed past excess and the
    /// excess of the most overdue request.
    pub fn excess_delay_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.excess_delay.at).as_secs_f64();
        let past_excess_s = self.excess_delay.seconds * (-age / REPORT_DECAY_S).exp();
        let overdue = self
            .expected_first_byte
            .iter()
            .min()
            .map_or(Duration::ZERO, |&expected| now.saturating_sub(expected));
        past_excess_s.max(overdue.as_secs_f64())
    }

    /// Estimated requests of other routers there.
    pub fn other_requests(&self, now: Duration) -> f64 {
        (self.reported.running + self.reported.waiting) * self.decay(now)
    }

    /// Estimated requests of other routers there that wait for a slot.
    pub fn other_waiting_requests(&self, now: Duration) -> f64 {
        self.reported.waiting * self.decay(now)
    }

    /// Estimated number of all requests there.
    pub fn occupancy(&self, now: Duration) -> f64 {
        f64::from(self.in_flight) + self.other_requests(now)
    }

    /// Until when the endpoint rejects the model or adapter, if it does.
    pub fn rejects_until(&self, artifact: Option<&Artifact>) -> Option<Duration> {
        let (rejected, until) = self.rejected_artifact.as_ref()?;
        (Some(rejected) == artifact).then_some(*until)
    }

    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported.at);
        (-age.as_secs_f64() / REPORT_DECAY_S).exp()
    }
}

/// The resources of an endpoint that a request takes while it is in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResourceRequirement {
    /// Tokens to prefill before the first byte.
    pub prefill_tokens: u64,
    /// KV-cache tokens that it takes.
    pub kv_cache_tokens: u64,
    /// When its first byte is expected; `None` after it has come.
    pub expected_first_byte: Option<Duration>,
}

impl EndpointLoad {
    /// Records that a request was sent to an endpoint.
    pub fn begin_request(&mut self, now: Duration, requirement: ResourceRequirement) {
        self.in_flight += 1;
        self.expected_first_byte.extend(requirement.expected_first_byte);
        self.prefill_tokens += requirement.prefill_tokens;
        self.kv_cache_tokens += requirement.kv_cache_tokens;
        self.last_dispatched = now;
        self.health.record_dispatch();
    }

    /// Records the first byte of a request: its prefill is complete.
    pub fn finish_prefill(&mut self, requirement: ResourceRequirement) {
        let expected_first_byte = requirement.expected_first_byte;
        if let Some(at) =
            self.expected_first_byte.iter().position(|&expected| Some(expected) == expected_first_byte)
        {
            self.expected_first_byte.swap_remove(at);
        }
        self.prefill_tokens = self.prefill_tokens.saturating_sub(requirement.prefill_tokens);
    }

    /// Records that a request ended or was abandoned.
    pub fn end_request(&mut self, requirement: ResourceRequirement) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finish_prefill(requirement);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_sub(requirement.kv_cache_tokens);
    }
}
