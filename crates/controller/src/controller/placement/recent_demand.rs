//! Demand reports of the last seconds. Every controller retains them, so that one that takes over the placement of a
//! service can use them at once; a controller that has just started receives them from its peers.

use crate::message::{Message, RouterDemand};
use lanegate_config::demand::DemandReport;
use std::collections::VecDeque;
use std::time::Duration;

/// How long reports are retained. Older ones have hardly any weight in the demand rates.
const RETENTION: Duration = Duration::from_secs(20);
/// Maximum number of retained reports: those of some hundred routers in ten seconds.
const MAX_REPORTS: usize = 4_096;

/// A report, with the time at which the router sent it.
#[derive(Debug)]
struct ReceivedReport {
    at: Duration,
    demand: RouterDemand,
}

/// The retained reports, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    reports: VecDeque<ReceivedReport>,
}

impl RecentDemand {
    /// Records a report. A relayed report that is already known is dropped.
    pub(crate) fn record(&mut self, now: Duration, demand: &RouterDemand) {
        let at = now.saturating_sub(Duration::from_millis(demand.age_ms.into()));
        let position = self.reports.partition_point(|report| report.at <= at);
        let known = |report: &ReceivedReport| {
            report.demand.router == demand.router && report.demand.report == demand.report
        };
        if demand.age_ms > 0 && self.reports.iter().any(known) {
            return;
        }
        self.reports.insert(position, ReceivedReport { at, demand: demand.clone() });
        while self.reports.len() > MAX_REPORTS
            || self.reports.front().is_some_and(|report| report.at + RETENTION < now)
        {
            self.reports.pop_front();
        }
    }

    /// The retained reports, parsed, with their times.
    pub(crate) fn reports(&self) -> Vec<(Duration, DemandReport)> {
        let read = |report: &ReceivedReport| {
            Some((report.at, serde_json::from_slice(&report.demand.report.bytes).ok()?))
        };
        self.reports.iter().filter_map(read).collect()
    }

    /// The retained reports as messages for a peer.
    pub(crate) fn messages(&self, now: Duration) -> impl Iterator<Item = Message> {
        self.reports.iter().map(move |report| {
            let age = now.saturating_sub(report.at).as_millis().max(1);
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            Message::Demand(RouterDemand { age_ms, ..report.demand.clone() })
        })
    }
}
