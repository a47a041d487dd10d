//! Counts of what the router did, for its log.

use std::cell::Cell;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    pub accepted: Count,
    pub requests: Count,
    pub successes: Count,
    pub refusals: Count,
    pub failures: Count,
    pub unrouted: Count,
    pub attempts: Count,
    pub failed_attempts: Count,
    pub resumed: Count,
    pub cut: Count,
    /// Requests that came before the process was asked to end and outlasted it.
    pub outlasted: Count,
    /// Requests that were taken on though the process was to end, and cut by its end. Never more than 0.
    pub taken_on_and_cut: Count,
    pub cancelled: Count,
    pub connections_opened: Count,
    /// Answers of endpoints to requests that had an answer already.
    pub stale_answers: Count,
    pub bytes_passed: Count,
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
             failed_attempts={} resumed={} cut={} outlasted={} \
             taken_on_and_cut={} cancelled={} connections_opened={} stale_answers={} \
             bytes_passed={}",
            self.accepted.get(),
            self.requests.get(),
            self.successes.get(),
            self.refusals.get(),
            self.failures.get(),
            self.unrouted.get(),
            self.attempts.get(),
            self.failed_attempts.get(),
            self.resumed.get(),
            self.cut.get(),
            self.outlasted.get(),
            self.taken_on_and_cut.get(),
            self.cancelled.get(),
            self.connections_opened.get(),
            self.stale_answers.get(),
            self.bytes_passed.get(),
        );
    }
}
