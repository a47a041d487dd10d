//! Digests of decisions, and their comparison with the committed files.
//!
//! A digest covers numbers and wire names only, no names of Rust items and no `Debug` output.

use lanegate_config::demand::DemandReport;
use lanegate_dispatch::DispatchSummary;
use lanegate_dispatch::interface::{Decision, FailReason};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Set this environment variable to 1 to rewrite the files.
const UPDATE_VARIABLE: &str = "UPDATE_DIGESTS";

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a over a sequence of decisions and reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(FNV_OFFSET)
    }
}

impl Digest {
    /// The digest of all that was added.
    pub(crate) fn value(self) -> u64 {
        self.0
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
        self.add_number(text.len() as u64);
        self.add_bytes(text.as_bytes());
    }

    fn add_number(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Compares the digests of seeds 0, 1, 2, ... with the file `tests/digests/<name>.txt`.
pub(crate) fn assert_digests(name: &str, digests: &[Digest]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests").join(format!("{name}.txt"));
    let mut actual = String::new();
    for (seed, digest) in digests.iter().enumerate() {
        writeln!(actual, "{seed} {:016x}", digest.value()).expect("a line");
    }
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, &actual).expect("a file of digests");
    }
    let expected = std::fs::read_to_string(&path).expect("a file of digests");
    let differing: Vec<&str> = actual
        .lines()
        .zip(expected.lines())
        .filter(|(actual, expected)| actual != expected)
        .filter_map(|(actual, _)| actual.split(' ').next())
        .collect();
    assert!(differing.is_empty(), "{name}: the digests of these seeds differ: {}", differing.join(" "));
    assert_eq!(actual.lines().count(), expected.lines().count(), "{name}: not as many seeds as in the file");
}
