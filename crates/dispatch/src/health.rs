//! Passive health checks with outlier ejection. Nothing is probed: an ejected endpoint comes back by an ordinary request
//! as its trial, like a half-open circuit breaker.

use std::time::Duration;

/// Backoff after the first time-out. Longer than a short outage, because a trial during the outage may be lost.
const TIMEOUT_BACKOFF: Duration = Duration::from_millis(2_500);
/// Backoff after a first failure that is detected at once, unlike a time-out; most of these are transient.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff between two trials.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Growth of the backoff after a failed trial.
const BACKOFF_FACTOR: f64 = 1.6;
/// Consecutive error responses that eject an endpoint.
const EJECTION_ERROR_RESPONSES: u32 = 3;
/// How long a trial is reserved for requests that may be retried.
const TRIAL_RESERVATION: Duration = Duration::from_millis(1_500);
/// Concurrent requests at the beginning of a slow start; each success doubles the limit.
const SLOW_START_INITIAL: u32 = 1;
/// Limit of concurrent requests at which a slow start ends.
const SLOW_START_COMPLETE: u32 = 16;

/// How an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, a broken one, or bytes that are not a valid response.
    Connection,
    /// A complete response with an error status.
    ErrorResponse,
    /// No response for much longer than expected.
    Timeout,
}

/// Whether an endpoint may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// Without a limit.
    Healthy,
    /// Up to this many concurrent requests, because it has just come back.
    SlowStart(u32),
    /// One trial request; until `reserved_until` only one that may be retried.
    HalfOpen {
        /// End of the time in which the trial is reserved for requests that may be retried.
        reserved_until: Duration,
    },
    /// None before `until`.
    Ejected {
        /// End of the ejection.
        until: Duration,
    },
}

/// The health of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    state: State,
    /// Failures since the last success.
    consecutive_failures: u32,
    backoff: Duration,
    /// When the endpoint last sent anything.
    last_activity: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Healthy,
    SlowStart(u32),
    Ejected {
        until: Duration,
        timed_out: bool,
        trial: bool,
    },
}

impl Health {
    /// Whether it may get requests at `now`.
    pub fn status(&self, now: Duration) -> HealthStatus {
        match self.state {
            State::Healthy => HealthStatus::Healthy,
            State::SlowStart(allowed) => HealthStatus::SlowStart(allowed),
            State::Ejected { until, trial: false, .. } if until <= now => {
                HealthStatus::HalfOpen { reserved_until: until + TRIAL_RESERVATION }
            }
            State::Ejected { until, .. } => HealthStatus::Ejected { until: until.max(now + FAILURE_BACKOFF) },
        }
    }

    /// Whether it is ejected, also while a trial is in flight.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// When the endpoint last sent anything.
    pub fn last_activity(&self) -> Duration {
        self.last_activity
    }

    /// Records that a request was sent. While the endpoint is ejected, that request is its trial.
    pub fn record_dispatch(&mut self) {
        if let State::Ejected { trial, .. } = &mut self.state {
            *trial = true;
        }
    }

    /// Records that the endpoint sent something, which ends a time-out. After a single time-out the endpoint was only
    /// slow and is healthy again; after several failures it returns with a slow start.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_activity = now;
        if let State::Ejected { timed_out: true, .. } = self.state {
            self.state = if self.consecutive_failures > 1 {
                State::SlowStart(SLOW_START_INITIAL)
            } else {
                State::Healthy
            };
        }
    }

    /// Records a complete and successful answer. With `slow_start` an ejected endpoint gets few requests at first.
    pub fn record_success(&mut self, now: Duration, slow_start: bool) {
        self.last_activity = now;
        self.consecutive_failures = 0;
        self.backoff = Duration::ZERO;
        self.state = match self.state {
            State::Healthy => State::Healthy,
            State::Ejected { .. } | State::SlowStart(_) if !slow_start => State::Healthy,
            State::Ejected { .. } => State::SlowStart(SLOW_START_INITIAL),
            State::SlowStart(allowed) if allowed >= SLOW_START_COMPLETE => State::Healthy,
            State::SlowStart(allowed) => State::SlowStart(allowed * 2),
        };
    }

    /// The trial request ended without a result: another request may be the trial.
    pub fn cancel_trial(&mut self) {
        if let State::Ejected { trial, .. } = &mut self.state {
            *trial = false;
        }
    }

    /// Records a failure. If `may_eject`, the endpoint is ejected for a backoff that is multiplied by `jitter` (around 1),
    /// so that routers do not send their trials at the same time.
    pub fn record_failure(&mut self, now: Duration, failure: Failure, may_eject: bool, jitter: f64) {
        self.consecutive_failures += 1;
        if failure == Failure::ErrorResponse
            && self.consecutive_failures < EJECTION_ERROR_RESPONSES
            && !self.is_ejected()
        {
            return;
        }
        if !may_eject && !self.is_ejected() {
            return;
        }
        let first = if failure == Failure::Timeout { TIMEOUT_BACKOFF } else { FAILURE_BACKOFF };
        self.backoff = self.backoff.mul_f64(BACKOFF_FACTOR).max(first).min(MAX_BACKOFF);
        let until = now + self.backoff.mul_f64(jitter);
        self.state = State::Ejected { until, timed_out: failure == Failure::Timeout, trial: false };
    }
}
