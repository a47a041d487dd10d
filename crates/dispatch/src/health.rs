//! Passive health of one endpoint: what its answers, failures and silence tell. Nothing is probed: an
//! endpoint that was left out comes back by an ordinary request as its trial.

use std::time::Duration;

/// Pause after the first silence: longer than a short outage, as a trial in the dark may be lost.
const SILENCE_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause after a first failure that tells quickly; most are hiccups.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause between two trials.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Growth of the pause after a failed trial.
const PAUSE_GROWTH: f64 = 1.6;
/// Failures told in whole answers, in a row, that leave an endpoint out.
const TOLD_FAILURES: u32 = 3;
/// How long a trial stays reserved for requests that may be repeated.
const TRIAL_RESERVED: Duration = Duration::from_millis(1_500);
/// Requests at once to an endpoint whose trial went well; doubled by each success.
const FIRST_RETURN: u32 = 1;
/// Requests at once at which an endpoint counts as back.
const FULL_RETURN: u32 = 16;

/// How an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection, a broken one, or bytes that are no answer.
    Broken,
    /// An answer of its own that tells a failure.
    Told,
    /// Nothing was heard for much longer than expected.
    Silent,
}

/// Whether an endpoint may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Yes.
    In,
    /// Up to so many at once, as it has just come back.
    Returning(u32),
    /// One request may try it; until the moment told it should be one that may be repeated.
    Trial { reserved_until: Duration },
    /// Not before the moment told.
    Out { until: Duration },
}

/// What is remembered of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct Health {
    state: State,
    /// Failures since the last success.
    faults: u32,
    pause: Duration,
    /// When the endpoint was last heard, whatever it said.
    heard: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    In,
    Returning(u32),
    Out {
        until: Duration,
        silent: bool,
        trial: bool,
    },
}

impl Health {
    /// Whether it may get requests now.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.state {
            State::In => Standing::In,
            State::Returning(allowed) => Standing::Returning(allowed),
            State::Out { until, trial: false, .. } if until <= now => {
                Standing::Trial { reserved_until: until + TRIAL_RESERVED }
            }
            State::Out { until, .. } => Standing::Out { until: until.max(now + FAILURE_PAUSE) },
        }
    }

    /// Whether it is left out, or on trial.
    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Out { .. })
    }

    /// Failures in a row.
    pub fn faults(&self) -> u32 {
        self.faults
    }

    /// When it was last heard.
    pub fn heard_at(&self) -> Duration {
        self.heard
    }

    /// A request was sent: while it is out, that is its trial.
    pub fn sent(&mut self) {
        if let State::Out { trial, .. } = &mut self.state {
            *trial = true;
        }
    }

    /// It said something: it isn't silent. After a first silence it was only slow; else it comes back slowly.
    pub fn heard(&mut self, now: Duration) {
        self.heard = now;
        if let State::Out { silent: true, .. } = self.state {
            self.state = if self.faults > 1 { State::Returning(FIRST_RETURN) } else { State::In };
        }
    }

    /// It answered in full and well. It gets few requests at first where it comes back `slowly`.
    pub fn succeeded(&mut self, now: Duration, slowly: bool) {
        self.heard = now;
        self.faults = 0;
        self.pause = Duration::ZERO;
        self.state = match self.state {
            State::In => State::In,
            State::Out { .. } | State::Returning(_) if !slowly => State::In,
            State::Out { .. } => State::Returning(FIRST_RETURN),
            State::Returning(allowed) if allowed >= FULL_RETURN => State::In,
            State::Returning(allowed) => State::Returning(allowed * 2),
        };
    }

    /// A request that was its trial ended without telling anything: another one may try.
    pub fn trial_void(&mut self) {
        if let State::Out { trial, .. } = &mut self.state {
            *trial = false;
        }
    }

    /// It failed. It is left out for a pause where `may_eject`, by a share of chance so that routers don't
    /// come back together (`jitter`, around 1).
    pub fn failed(&mut self, now: Duration, fault: Fault, may_eject: bool, jitter: f64) {
        self.faults += 1;
        if fault == Fault::Told && self.faults < TOLD_FAILURES && !self.is_out() {
            return;
        }
        if !may_eject && !self.is_out() {
            return;
        }
        let first = if fault == Fault::Silent { SILENCE_PAUSE } else { FAILURE_PAUSE };
        self.pause = self.pause.mul_f64(PAUSE_GROWTH).max(first).min(LONGEST_PAUSE);
        let until = now + self.pause.mul_f64(jitter);
        self.state = State::Out { until, silent: fault == Fault::Silent, trial: false };
    }
}
