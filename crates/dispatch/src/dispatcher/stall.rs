//! Stalls of the process. After a stall, measured times are invalid and input has queued up.

use super::Dispatcher;
use crate::pending_request::Attempt;
use std::time::Duration;

/// A timer that fires later than this shows that the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// After a stall, time to process the input that arrived during the stall before anything counts as timed out.
const STALL_GRACE: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Detects a stall of the process by a timer that is overdue.
    pub(super) fn detect_stall(&mut self, now: Duration) {
        let overdue_by = self.timers.next().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        if overdue_by > STALL_THRESHOLD {
            self.last_stall = now;
        }
    }

    /// Whether the process was stalled during an attempt, so that its measured times are invalid.
    pub(super) fn spans_stall(&self, attempt: &Attempt) -> bool {
        attempt.sent < self.last_stall
    }

    /// Until when input that arrived during the last stall is processed before anything counts as timed out.
    pub(super) fn stall_grace_end(&self) -> Duration {
        self.last_stall + STALL_GRACE
    }
}
