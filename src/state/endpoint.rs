//! An endpoint as its calls and the list tell of it, and the zone it stands in.

use super::time::*;
use crate::interface::*;
use fair_edf::Smoothed;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    Open,
    HalfOpen,
}

/// How an endpoint's last call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FailureKind {
    #[serde(rename = "Unconnected")]
    Connect,
    #[serde(rename = "Silent")]
    Timeout,
    Reset,
    Error,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) dest: DestinationId,
    pub(crate) zone: usize,
    pub(crate) kind: usize,
    /// The list has it ready, and operators do not leave it out.
    pub(crate) ready: bool,
    pub(crate) listed: bool,
    #[serde(rename = "left_out")]
    pub(crate) in_maintenance: bool,
    /// Since when the list has it no more.
    #[serde(rename = "gone")]
    pub(crate) delisted_at: Option<Ns>,
    pub(crate) latency: Smoothed,
    /// Calls out: when sent and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// When idle connections were last used.
    pub(crate) idle: Vec<Ns>,
    /// No new connection is tried before this; how many were not to be had, less those that were; the last.
    pub(crate) connect_at: Ns,
    #[serde(rename = "unconnected")]
    pub(crate) connect_failures: u32,
    #[serde(rename = "connect_failed")]
    pub(crate) connect_failed_at: Ns,
    #[serde(rename = "doubt")]
    pub(crate) failure_ratio: f64,
    #[serde(rename = "doubt_at")]
    pub(crate) failure_ratio_at: Ns,
    #[serde(rename = "last_ok")]
    pub(crate) success_at: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker lets a trial through, if one is held.
    #[serde(rename = "turn_at")]
    pub(crate) trial_at: Ns,
    /// The outage is confirmed, so slow start follows; the call that is the trial.
    #[serde(rename = "cold")]
    pub(crate) was_down: bool,
    pub(crate) trial: Option<u64>,
    #[serde(rename = "warm_from")]
    pub(crate) slow_start_from: Option<Ns>,
    /// Since when it ails, for the spacing of trials; while it warms, nothing before `free_at`.
    #[serde(rename = "ailing_from")]
    pub(crate) failing_since: Ns,
    #[serde(rename = "free_at")]
    pub(crate) next_call_at: Ns,
    /// This courier's own leaning among equals, 0 to 1.
    #[serde(rename = "lean")]
    pub(crate) tie_breaker: f64,
    /// When a call last told something of it, and what it ailed from then.
    #[serde(default)]
    #[serde(rename = "heard")]
    pub(crate) outcome_at: Ns,
    #[serde(default)]
    #[serde(rename = "ill")]
    pub(crate) last_failure: Option<FailureKind>,
}

impl Endpoint {
    /// One more message goes with a call that is out.
    pub(crate) fn join_call(&mut self, call: u64) {
        self.calls.get_mut(&call).expect("open call").1 += 1;
    }

    /// A message of a call has an outcome; the call ends with the last of them. True for the first one.
    pub(crate) fn leave_call(&mut self, call: u64) -> bool {
        let Some((sent, messages)) = self.calls.get_mut(&call) else { return false };
        let first = std::mem::replace(sent, Ns::MIN) != Ns::MIN;
        *messages -= 1;
        if *messages == 0 {
            self.calls.remove(&call);
        }
        first
    }

    pub(crate) fn mark_delisted(&mut self, now: Ns) {
        (self.ready, self.listed) = (false, false);
        self.delisted_at.get_or_insert(now);
    }

    /// Takes its standing from the list.
    pub(crate) fn update_standing(&mut self, standing: EndpointState, now: Ns) {
        match standing {
            EndpointState::Gone => self.mark_delisted(now),
            _ => (self.listed, self.delisted_at) = (standing == EndpointState::Ready, None),
        }
        self.ready = self.listed && !self.in_maintenance;
    }

    /// Left out by operators, or used again. True if it comes back: with a new process, of which nothing is
    /// known but that it is cold.
    pub(crate) fn maintain(&mut self, out: bool, now: Ns) -> bool {
        let back = std::mem::replace(&mut self.in_maintenance, out) && !out;
        self.ready = self.listed && !out;
        if back {
            (self.breaker, self.trial, self.was_down, self.failure_ratio) =
                (Breaker::Closed, None, false, 0.0);
            (self.connect_failures, self.connect_at) = (0, now);
            (self.slow_start_from, self.next_call_at) = (Some(now), now);
            self.idle.clear();
        }
        back
    }
}

/// What is thought of a zone as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ZoneState {
    #[default]
    Healthy,
    Suspect,
    Out,
    Returning,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Zone {
    #[serde(rename = "standing")]
    pub(crate) state: ZoneState,
    /// Since when.
    pub(crate) since: Ns,
}
