//! The timer of a message that is sent again until it is answered.

use std::time::Duration;

use super::context::Context;

/// The interval between retransmissions grows to at most this many retry intervals.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Retransmission timer with exponential backoff.
#[derive(Debug, Clone, Hash)]
pub(super) struct RetryTimer {
    due_at: Duration,
    interval: Duration,
}

impl RetryTimer {
    /// A timer that fires one retry interval from now.
    pub(super) fn start(context: &Context) -> Self {
        let interval = context.settings.retry_interval;
        Self { due_at: context.now + interval, interval }
    }

    /// When the timer fires.
    pub(super) fn due_at(&self) -> Duration {
        self.due_at
    }

    /// Whether the timer has fired.
    pub(super) fn is_due(&self, context: &Context) -> bool {
        self.due_at <= context.now
    }

    /// Starts the timer again with twice the interval.
    pub(super) fn back_off(&mut self, context: &Context) {
        let longest = context.settings.retry_interval * MAX_BACKOFF_FACTOR;
        self.interval = (self.interval * 2).min(longest);
        self.due_at = context.now + self.interval;
    }
}
