//! What is known of an endpoint from its calls and from the endpoint list, and the health of zones.

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
    /// Ready in the list, and not taken out of service by operators.
    pub(crate) ready: bool,
    pub(crate) listed: bool,
    #[serde(rename = "left_out")]
    pub(crate) in_maintenance: bool,
    /// When it was removed from the list.
    #[serde(rename = "gone")]
    pub(crate) delisted_at: Option<Ns>,
    pub(crate) latency: Smoothed,
    /// Calls in flight: when sent (`Ns::MIN` after the first outcome), and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// Idle connections, by the time of last use.
    pub(crate) idle: Vec<Ns>,
    /// No new connection is attempted before this.
    pub(crate) connect_at: Ns,
    /// Failed connects minus successful ones, not below 0; and the time of the last failed one.
    #[serde(rename = "unconnected")]
    pub(crate) connect_failures: u32,
    #[serde(rename = "connect_failed")]
    pub(crate) connect_failed_at: Ns,
    /// EWMA of failures at `failure_ratio_at`; decays from there.
    #[serde(rename = "doubt")]
    pub(crate) failure_ratio: f64,
    #[serde(rename = "doubt_at")]
    pub(crate) failure_ratio_at: Ns,
    #[serde(rename = "last_ok")]
    pub(crate) success_at: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker admits a trial call, if a message is queued.
    #[serde(rename = "turn_at")]
    pub(crate) trial_at: Ns,
    /// The breaker opened on failures, so slow start follows; and the call that is the trial.
    #[serde(rename = "cold")]
    pub(crate) was_down: bool,
    pub(crate) trial: Option<u64>,
    #[serde(rename = "warm_from")]
    pub(crate) slow_start_from: Option<Ns>,
    /// Since when it fails, for the spacing of trials; during slow start no call before `next_call_at`.
    #[serde(rename = "ailing_from")]
    pub(crate) failing_since: Ns,
    #[serde(rename = "free_at")]
    pub(crate) next_call_at: Ns,
    /// Random per courier, 0 to 1: spreads couriers over endpoints of equal cost.
    #[serde(rename = "lean")]
    pub(crate) tie_breaker: f64,
    /// When the last outcome was recorded for zone health, and how that call failed, if it did.
    #[serde(default)]
    #[serde(rename = "heard")]
    pub(crate) outcome_at: Ns,
    #[serde(default)]
    #[serde(rename = "ill")]
    pub(crate) last_failure: Option<FailureKind>,
}

impl Endpoint {
    /// Adds a message to a call in flight.
    pub(crate) fn join_call(&mut self, call: u64) {
        self.calls.get_mut(&call).expect("open call").1 += 1;
    }

    /// Records that a message of the call has an outcome; the last one ends the call. True for the first one.
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

    /// Updates its state from the list.
    pub(crate) fn update_standing(&mut self, standing: EndpointState, now: Ns) {
        match standing {
            EndpointState::Gone => self.mark_delisted(now),
            _ => (self.listed, self.delisted_at) = (standing == EndpointState::Ready, None),
        }
        self.ready = self.listed && !self.in_maintenance;
    }

    /// Takes the endpoint out of service for operators, or puts it back. True if it comes back: with a new
    /// process, of which nothing is known except that it needs a slow start.
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

/// Health of a zone as a whole. The names are written to the operators' log.
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
    /// Start of this state.
    pub(crate) since: Ns,
}
