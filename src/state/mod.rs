//! State of the scheduler as plain data. No decisions are made here: all values are set and read in
//! [`crate::scheduler`].

mod destination;
mod endpoint;
mod message;
mod tables;
mod time;

pub(crate) use destination::*;
pub(crate) use endpoint::*;
pub(crate) use message::*;
pub(crate) use tables::LIST_RETRY;
pub(crate) use time::*;

use crate::interface::*;
use fair_edf::MissRatios;
use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The scheduler of one courier: its complete state.
#[derive(Serialize, Deserialize)]
pub struct Scheduler {
    pub(crate) set: Settings,
    #[serde(skip, default = "unseeded")]
    pub(crate) rng: SmallRng,
    pub(crate) origin: Option<Time>,
    pub(crate) now: Ns,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    /// Number of messages without a final answer.
    #[serde(rename = "live")]
    pub(crate) unanswered: usize,
    /// Number of messages recovered after a restart and not attempted since.
    #[serde(default)]
    #[serde(rename = "found")]
    pub(crate) recovered: usize,
    pub(crate) dests: BTreeMap<DestinationId, Destination>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    /// Messages of ordered classes by key, in order of arrival; and keys that are paused: for whom, until
    /// when.
    #[serde(rename = "turns")]
    pub(crate) key_queues: BTreeMap<String, VecDeque<MessageId>>,
    #[serde(rename = "rests")]
    pub(crate) key_pauses: BTreeMap<String, (MessageId, Ns)>,
    #[serde(rename = "tallies")]
    pub(crate) miss_ratios: MissRatios,
    #[serde(rename = "calls_out")]
    pub(crate) in_flight: usize,
    pub(crate) next_call: u64,
    pub(crate) wake: Option<(u64, Ns)>,
    pub(crate) next_token: u64,
    /// Destinations to check now, to check at a given time, and those waiting for a free slot.
    pub(crate) touched: BTreeSet<DestinationId>,
    #[serde(rename = "agenda")]
    pub(crate) timers: BTreeSet<(Ns, DestinationId)>,
    /// By kind of destination: when a connect last failed, s.
    #[serde(rename = "tight")]
    pub(crate) last_connect_failure: Vec<f64>,
    #[serde(rename = "pressed")]
    pub(crate) need_slot: BTreeSet<DestinationId>,
    #[serde(rename = "stuck_at")]
    pub(crate) stuck_check_at: Ns,
    /// When to request the list again, and the pause before the next such request, s.
    #[serde(rename = "ask_at")]
    pub(crate) resubscribe_at: Option<Ns>,
    #[serde(rename = "ask_pause")]
    pub(crate) resubscribe_pause: f64,
    /// Zones by number, and those with new failures, whose health is to be evaluated.
    #[serde(default)]
    pub(crate) zones: BTreeMap<usize, Zone>,
    #[serde(default)]
    #[serde(rename = "zones_with_news")]
    pub(crate) changed_zones: BTreeSet<usize>,
}

fn unseeded() -> SmallRng {
    SmallRng::seed_from_u64(0)
}

impl Scheduler {
    /// Serialises the complete state for the successor process.
    pub fn pack(&self) -> Result<Vec<u8>, String> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(|e| e.to_string())?;
        Ok(bytes)
    }

    /// Restores the state of a predecessor process on the same clock. Connections are not carried over, and
    /// `set` replaces its settings.
    pub fn unpack(bytes: &[u8], set: Settings, seed: u64) -> Result<Self, String> {
        set.check()?;
        let old: Scheduler = ciborium::from_reader(bytes).map_err(|e| e.to_string())?;
        // The stored tables depend on these: if they differ, the state cannot be used.
        let frame = |set: &Settings| {
            let routes: Vec<_> = set.kinds.iter().map(|k| k.separate_routes).collect();
            (set.classes.len(), set.tenants, routes)
        };
        if frame(&set) != frame(&old.set) {
            return Err("the stored state is for other classes, tenants or kinds of destination".to_owned());
        }
        let Scheduler { set, rng, .. } = Scheduler::blank(set, seed);
        let mut scheduler = Scheduler { set, rng, wake: None, ..old };
        scheduler.endpoints.values_mut().for_each(|endpoint| endpoint.idle.clear());
        Ok(scheduler)
    }

    /// True if the message still needs a final answer or has a call in flight.
    pub fn knows(&self, message: MessageId) -> bool {
        self.messages.contains_key(&message)
    }

    pub(crate) fn blank(set: Settings, seed: u64) -> Self {
        let groups = if set.tenants > 0 { set.tenants } else { set.classes.len() };
        Scheduler {
            rng: SmallRng::seed_from_u64(seed),
            origin: None,
            now: 0,
            messages: BTreeMap::new(),
            unanswered: 0,
            recovered: 0,
            dests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            pools: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            key_pauses: BTreeMap::new(),
            miss_ratios: MissRatios::new(groups),
            in_flight: 0,
            next_call: 0,
            wake: None,
            next_token: 0,
            touched: BTreeSet::new(),
            timers: BTreeSet::new(),
            last_connect_failure: vec![f64::MIN; set.kinds.len()],
            need_slot: BTreeSet::new(),
            stuck_check_at: NEVER,
            resubscribe_at: set.must_subscribe.then_some(0),
            resubscribe_pause: 0.0,
            zones: BTreeMap::new(),
            changed_zones: BTreeSet::new(),
            set,
        }
    }
}

impl Settings {
    /// Checks the settings; the error names the first invalid value.
    pub(crate) fn check(&self) -> Result<(), String> {
        let classes = self.classes.iter().flat_map(|c| [c.value, c.late_value_share, c.target_stretch]);
        let figures = [self.cold_capacity, self.overload_factor, self.handshake_cost].into_iter();
        let positive = |x: f64| x >= 0.0;
        for (good, what) in [
            (self.slots > 0, "no slots"),
            (!self.classes.is_empty() && !self.kinds.is_empty(), "no classes or no kinds"),
            (self.max_held > 0 && self.max_attempts > 0, "no room for messages or attempts"),
            (figures.chain(classes).chain(self.zone_costs.clone()).all(positive), "a figure is negative"),
        ] {
            if !good {
                return Err(format!("settings: {what}"));
            }
        }
        Ok(())
    }
}
