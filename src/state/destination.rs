//! A destination with its chart, and the limits that calls to it share.

use super::time::*;
use crate::interface::*;
use fair_edf::Smoothed;
use fair_edf::Timeline;
use fair_edf::concurrency_limit::RecentCalls;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) endpoints: BTreeSet<EndpointId>,
    #[serde(rename = "chart")]
    pub(crate) timeline: Timeline<MessageId>,
    /// Messages not yet forgotten; when to look here next, as on the agenda.
    #[serde(rename = "members")]
    pub(crate) messages: BTreeSet<MessageId>,
    #[serde(rename = "next")]
    pub(crate) next_check: Ns,
    #[serde(rename = "booked")]
    pub(crate) timer_at: Ns,
    pub(crate) calls: usize,
    pub(crate) latency: Smoothed,
    #[serde(rename = "recent")]
    pub(crate) recent_calls: RecentCalls,
}

pub(crate) type PoolId = (DestinationId, Option<EndpointId>);

/// What shares one limit: a destination, or one endpoint of it where routes are separate.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pool {
    pub(crate) wait_until: Ns,
    pub(crate) rate: Option<f64>,
    pub(crate) tokens: f64,
    #[serde(rename = "filled")]
    pub(crate) filled_at: Ns,
    /// Refusals as full since a call was accepted, and when the last one came.
    #[serde(rename = "fulls")]
    pub(crate) refusals: u32,
    #[serde(rename = "full_at")]
    pub(crate) refused_at: Ns,
    pub(crate) cut_at: Ns,
    /// The limit in calls a second as told by reports, or by the list.
    pub(crate) limit: Option<f64>,
    /// Calls accepted in the last rate span.
    #[serde(rename = "oks")]
    pub(crate) accepted_at: VecDeque<Ns>,
    #[serde(rename = "first_ok")]
    pub(crate) first_accepted: Option<Ns>,
    pub(crate) peak: f64,
    #[serde(rename = "starved")]
    pub(crate) rate_limited: bool,
    /// Calls accepted, decayed.
    #[serde(rename = "flow")]
    pub(crate) accept_rate: f64,
    #[serde(rename = "flow_at")]
    pub(crate) rated_at: Ns,
}

impl Pool {
    /// An even share of the limit.
    pub(crate) fn even_share(&self, couriers: usize) -> Option<f64> {
        self.limit.map(|l| l / couriers.max(1) as f64)
    }
}

/// Calls begun in this reply that have room for more messages.
pub(crate) type OpenCalls = BTreeMap<EndpointId, (u64, usize)>;
