//! A destination with its timeline of queued messages, and the rate limits that calls to it share.

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
    /// Messages queued or with a call in flight.
    #[serde(rename = "members")]
    pub(crate) messages: BTreeSet<MessageId>,
    #[serde(rename = "next")]
    pub(crate) next_check: Ns,
    /// The entry of this destination in `Scheduler::timers`.
    #[serde(rename = "booked")]
    pub(crate) timer_at: Ns,
    pub(crate) calls: usize,
    pub(crate) latency: Smoothed,
    #[serde(rename = "recent")]
    pub(crate) recent_calls: RecentCalls,
}

pub(crate) type PoolId = (DestinationId, Option<EndpointId>);

/// State of one rate limit (token bucket): shared by a whole destination, or that of one endpoint where
/// routes are separate.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pool {
    /// No call before this: a wait requested by an endpoint, or the pause after a refusal.
    pub(crate) wait_until: Ns,
    /// Current rate of this courier in calls per second; none until a limit or a refusal is known.
    pub(crate) rate: Option<f64>,
    pub(crate) tokens: f64,
    #[serde(rename = "filled")]
    pub(crate) filled_at: Ns,
    /// Refusals as full since the last accepted call, and the time of the last refusal.
    #[serde(rename = "fulls")]
    pub(crate) refusals: u32,
    #[serde(rename = "full_at")]
    pub(crate) refused_at: Ns,
    pub(crate) cut_at: Ns,
    /// Total limit in calls per second, from load reports or from the endpoint list.
    pub(crate) limit: Option<f64>,
    /// Times of the calls accepted in the last `RATE_SPAN`.
    #[serde(rename = "oks")]
    pub(crate) accepted_at: VecDeque<Ns>,
    #[serde(rename = "first_ok")]
    pub(crate) first_accepted: Option<Ns>,
    /// Highest rate of accepted calls so far.
    pub(crate) peak: f64,
    /// The rate limit has delayed a message since the last accepted call.
    #[serde(rename = "starved")]
    pub(crate) rate_limited: bool,
    /// Exponentially decayed average rate of accepted calls, and when it was last updated.
    #[serde(rename = "flow")]
    pub(crate) accept_rate: f64,
    #[serde(rename = "flow_at")]
    pub(crate) rated_at: Ns,
}

impl Pool {
    /// This courier's even share of the limit, in calls per second.
    pub(crate) fn even_share(&self, couriers: usize) -> Option<f64> {
        self.limit.map(|l| l / couriers.max(1) as f64)
    }
}

/// Calls begun in the current `handle`: call number and room for more messages, by endpoint.
pub(crate) type OpenCalls = BTreeMap<EndpointId, (u64, usize)>;
