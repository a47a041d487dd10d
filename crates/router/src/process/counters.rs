//! Counters for the log and the metrics.

use crate::process::aborted_requests::AbortedRequests;
use crate::request::outcome::{Outcome, OutcomeCounts};
use lanegate_http_framing::RefusalCounts;
use std::cell::{Cell, RefCell};

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Accepted client connections.
    pub accepted: Count,
    /// Received requests.
    pub requests: Count,
    /// Ended requests by outcome.
    pub outcomes: OutcomeCounts,
    /// Requests that shutdown aborted.
    pub aborted_at_shutdown: AbortedRequests,
    /// Attempts to send a request to an endpoint.
    pub attempts: Count,
    /// Attempts without an answer that could be forwarded.
    pub failed_attempts: Count,
    /// Answers that were not forwarded because they are not valid.
    pub invalid_answers: RefCell<RefusalCounts>,
    /// Streams that were resumed at another endpoint.
    pub resumed: Count,
    /// Attempts to open a connection to an endpoint.
    pub connections_opened: Count,
    /// Late answers of endpoints to earlier requests of a connection; they are discarded.
    pub late_responses: Count,
    /// Bytes of the bodies of endpoints' answers.
    pub forwarded_bytes: Count,
}

/// A counter.
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

    /// The value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Counters {
    /// Logs all counters in one line.
    pub fn log(&self) {
        log::info!(
            "counters accepted={} requests={} successes={} refusals={} failures={} unrouted={} attempts={} \
             failed_attempts={} resumed={} truncated={} disconnected={} connections_opened={} late_responses={} \
             forwarded_bytes={}",
            self.accepted.get(),
            self.requests.get(),
            self.outcomes.get(Outcome::Answered),
            self.outcomes.of_kind("refused"),
            self.outcomes.of_kind("failed") + self.outcomes.get(Outcome::AnsweredWithError),
            self.outcomes.get(Outcome::RejectedNoRoute),
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
