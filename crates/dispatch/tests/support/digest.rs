//! Digests of decisions.
//!
//! A digest covers numbers and wire names only, no names of Rust items and no `Debug` output.

use lanegate_config::demand::DemandReport;
use lanegate_dispatch::DispatchSummary;
use lanegate_dispatch::interface::{Decision, FailReason};
use lanegate_golden::Digest;
use std::time::Duration;

/// A digest of a sequence of decisions and reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct DecisionDigest(Digest);

impl DecisionDigest {
    /// The digest of all that was added.
    pub(crate) fn value(self) -> u64 {
        self.0.value()
    }

    /// Adds a decision that a router made at a simulated time.
    pub(crate) fn add_decision(&mut self, at: Duration, router: usize, decision: &Decision) {
        self.add_time(at);
        self.add_number(router as u64);
        match decision {
            Decision::Send { request, attempt, instance, address, engine_priority, resume } => {
                self.add_number(1);
                self.add_number(request.0);
                self.add_number(u64::from(*attempt));
                self.add_text(instance);
                self.add_text(&address.to_string());
                self.add_number(u64::from(*engine_priority));
                self.add_number(u64::from(*resume));
            }
            Decision::Refuse { request, retry_after } => {
                self.add_number(2);
                self.add_number(request.0);
                self.add_time(*retry_after);
            }
            Decision::Fail { request, reason } => {
                self.add_number(3);
                self.add_number(request.0);
                self.add_number(match reason {
                    FailReason::Deadline => 1,
                    FailReason::MayHaveRun => 2,
                    FailReason::Attempts => 3,
                });
            }
        }
    }

    /// Adds the time of the next wake.
    pub(crate) fn add_wake(&mut self, at: Option<Duration>) {
        self.add_number(u64::from(at.is_some()));
        self.add_time(at.unwrap_or_default());
    }

    /// Adds a report of demand.
    pub(crate) fn add_demand(&mut self, report: &DemandReport) {
        self.add_number(u64::from(report.period_ms));
        for model in &report.models {
            self.add_text(&model.backend);
            self.add_text(&model.model);
            self.add_text(model.adapter.as_deref().unwrap_or("-"));
            self.add_number(u64::from(model.requests));
            self.add_number(model.tokens);
            self.add_number(u64::from(model.unplaced));
        }
    }

    /// Adds the figures for operators.
    pub(crate) fn add_summary(&mut self, summary: &DispatchSummary) {
        self.add_number(summary.queued_requests as u64);
        self.add_number(summary.retries);
        self.add_number(summary.min_retry_budget.map_or(u64::MAX, |left| left));
        self.add_number(summary.endpoints.serving as u64);
        self.add_number(summary.endpoints.ejected as u64);
        self.add_number(summary.endpoints.draining as u64);
    }

    fn add_time(&mut self, time: Duration) {
        self.add_number(time.as_nanos() as u64);
    }

    fn add_text(&mut self, text: &str) {
        self.0.bytes(text.as_bytes());
    }

    fn add_number(&mut self, number: u64) {
        self.0.number(number);
    }
}
