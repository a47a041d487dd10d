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
pub(crate) enum Ill {
    Unconnected,
    Silent,
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
    pub(crate) left_out: bool,
    /// Since when the list has it no more.
    pub(crate) gone: Option<Ns>,
    pub(crate) latency: Smoothed,
    /// Calls out: when sent and messages without an outcome.
    pub(crate) calls: BTreeMap<u64, (Ns, usize)>,
    /// When idle connections were last used.
    pub(crate) idle: Vec<Ns>,
    /// No new connection is tried before this; how many were not to be had, less those that were; the last.
    pub(crate) connect_at: Ns,
    pub(crate) unconnected: u32,
    pub(crate) connect_failed: Ns,
    pub(crate) doubt: f64,
    pub(crate) doubt_at: Ns,
    pub(crate) last_ok: Ns,
    pub(crate) breaker: Breaker,
    /// When an open breaker lets a trial through, if one is held.
    pub(crate) turn_at: Ns,
    /// The outage is confirmed, so slow start follows; the call that is the trial.
    pub(crate) cold: bool,
    pub(crate) trial: Option<u64>,
    pub(crate) warm_from: Option<Ns>,
    /// Since when it ails, for the spacing of trials; while it warms, nothing before `free_at`.
    pub(crate) ailing_from: Ns,
    pub(crate) free_at: Ns,
    /// This courier's own leaning among equals, 0 to 1.
    pub(crate) lean: f64,
    /// When a call last told something of it, and what it ailed from then.
    #[serde(default)]
    pub(crate) heard: Ns,
    #[serde(default)]
    pub(crate) ill: Option<Ill>,
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

    pub(crate) fn delisted(&mut self, now: Ns) {
        (self.ready, self.listed) = (false, false);
        self.gone.get_or_insert(now);
    }

    /// Takes its standing from the list.
    pub(crate) fn update_standing(&mut self, standing: Standing, now: Ns) {
        match standing {
            Standing::Gone => self.delisted(now),
            _ => (self.listed, self.gone) = (standing == Standing::Ready, None),
        }
        self.ready = self.listed && !self.left_out;
    }

    /// Left out by operators, or used again. True if it comes back: with a new process, of which nothing is
    /// known but that it is cold.
    pub(crate) fn maintain(&mut self, out: bool, now: Ns) -> bool {
        let back = std::mem::replace(&mut self.left_out, out) && !out;
        self.ready = self.listed && !out;
        if back {
            (self.breaker, self.trial, self.cold, self.doubt) = (Breaker::Closed, None, false, 0.0);
            (self.unconnected, self.connect_at) = (0, now);
            (self.warm_from, self.free_at) = (Some(now), now);
            self.idle.clear();
        }
        back
    }
}

/// What is thought of a zone as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ZoneStanding {
    #[default]
    Healthy,
    Suspect,
    Out,
    Returning,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Zone {
    pub(crate) standing: ZoneStanding,
    /// Since when.
    pub(crate) since: Ns,
}
