//! The demand of the last seconds, kept by every controller: one that takes a service's placement over goes
//! on with it at once, and one that has just started gets it from its peers.

use crate::message::{Message, RouterDemand};
use lanegate_config::demand::DemandReport;
use std::collections::VecDeque;
use std::time::Duration;

/// How far back demand is kept: what is older hardly counts in any rate.
const SPAN: Duration = Duration::from_secs(20);
/// Most reports kept: ten seconds of some hundred routers.
const MAX_REPORTS: usize = 4_096;

/// One report, and when the router told it.
#[derive(Debug)]
struct ReceivedReport {
    at: Duration,
    demand: RouterDemand,
}

/// Reports of demand, the oldest first.
#[derive(Debug, Default)]
pub struct RecentDemand {
    told: VecDeque<ReceivedReport>,
}

impl RecentDemand {
    /// Keeps a report. One that is as old as what is known already comes twice and is left out.
    pub fn keep(&mut self, now: Duration, demand: &RouterDemand) {
        let at = now.saturating_sub(Duration::from_millis(demand.age_ms.into()));
        let place = self.told.partition_point(|told| told.at <= at);
        let known = |told: &ReceivedReport| {
            told.demand.router == demand.router && told.demand.report == demand.report
        };
        if demand.age_ms > 0 && self.told.iter().any(known) {
            return;
        }
        self.told.insert(place, ReceivedReport { at, demand: demand.clone() });
        while self.told.len() > MAX_REPORTS || self.told.front().is_some_and(|told| told.at + SPAN < now) {
            self.told.pop_front();
        }
    }

    /// What is kept, read, with its times.
    pub fn reports(&self) -> Vec<(Duration, DemandReport)> {
        let read =
            |told: &ReceivedReport| Some((told.at, serde_json::from_slice(&told.demand.report.bytes).ok()?));
        self.told.iter().filter_map(read).collect()
    }

    /// What is kept as messages for a peer.
    pub fn messages(&self, now: Duration) -> impl Iterator<Item = Message> {
        self.told.iter().map(move |told| {
            let age = now.saturating_sub(told.at).as_millis().max(1);
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            Message::Demand(RouterDemand { age_ms, ..told.demand.clone() })
        })
    }
}
