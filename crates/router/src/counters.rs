//! Counts of what the router did, for its log and its metrics.

use crate::aborted_requests::AbortedRequests;
use crate::outcome::{Outcome, OutcomeCounts};
use std::cell::Cell;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    pub accepted: Count,
    pub requests: Count,
    pub outcomes: OutcomeCounts,
    /// Requests that the end of the process cut.
    pub aborted_at_shutdown: AbortedRequests,
    pub attempts: Count,
    pub failed_attempts: Count,
    pub resumed: Count,
    pub connections_opened: Count,
    /// Answers of endpoints to requests that had an answer already.
    pub late_responses: Count,
    pub forwarded_bytes: Count,
}

/// One count.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `amount`.
    pub fn add(&self, amount: u64) {
        self.0.set(self.0.get().wrapping_add(amount));
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Counters {
    /// Writes one line with all counts.
    pub fn log(&self) {
        log::info!(
            "accepted={} requests={} successes={} refusals={} failures={} unrouted={} attempts={} \
             failed_attempts={} resumed={} cut={} cancelled={} connections_opened={} stale_answers={} \
             bytes_passed={}",
            self.accepted.get(),
            self.requests.get(),
            self.outcomes.get(Outcome::Answered),
            self.outcomes.of_kind("refused"),
            self.outcomes.of_kind("failed") + self.outcomes.get(Outcome::AnsweredWithError),
            self.outcomes.get(Outcome::RejectedUnrouted),
            self.attempts.get(),
            self.failed_attempts.get(),
            self.resumed.get(),
            self.outcomes.of_kind("broken_off"),
            self.outcomes.get(Outcome::ClientDisconnected),
            self.connections_opened.get(),
            self.late_responses.get(),
            self.forwarded_bytes.get(),
        );
    }
}
