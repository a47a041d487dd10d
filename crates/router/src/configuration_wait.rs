//! Requests that reach a router before its first configuration.
//!
//! A router that has just started learns its configuration within some hundred milliseconds. A refusal sends the
//! client away for longer than that, often to another router that has just started too. So a request waits here for
//! the configuration, for a part of the time that its client has told, within a bound on how many wait at once.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Part of the client's time that a request waits at most: the rest is for another router and for the answer.
const WAIT_DIVISOR: u32 = 4;

/// Longest wait, whatever time the client has: a start that takes longer has met more than a late configuration.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Wait of a request that tells no time.
const DEFAULT_WAIT: Duration = Duration::from_millis(250);

/// Requests that wait at once, at most.
const MAX_WAITING: usize = 256;

/// Bytes of their bodies, at most.
const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;

/// Why a request does not wait any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// There is a configuration now, or the process is to end.
    Notified,
    /// Its time is over.
    TimedOut,
    /// Too many wait already.
    Full,
}

/// The requests that wait for the first configuration.
#[derive(Debug, Default)]
pub struct ConfigurationWait {
    waiting: Cell<usize>,
    waiting_bytes: Cell<usize>,
    woken: Notify,
}

impl ConfigurationWait {
    /// Waits until [`ConfigurationWait::wake`], for a part of `client_time`, which is counted from `began`.
    pub async fn wait(
        &self,
        began: Instant,
        client_time: Option<Duration>,
        body_bytes: usize,
    ) -> WaitOutcome {
        let is_full = self.waiting.get() >= MAX_WAITING
            || self.waiting_bytes.get().saturating_add(body_bytes) > MAX_WAITING_BYTES;
        if is_full {
            return WaitOutcome::Full;
        }
        let _slot = WaitSlot::acquire(self, body_bytes);
        match timeout_at(began + max_wait(client_time), self.woken.notified()).await {
            Ok(()) => WaitOutcome::Notified,
            Err(_) => WaitOutcome::TimedOut,
        }
    }

    /// Ends all waits: a configuration has come, or the process is to end.
    pub fn wake(&self) {
        self.woken.notify_waiters();
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

/// How long a request waits at most whose client has told how long it waits itself.
fn max_wait(client_time: Option<Duration>) -> Duration {
    client_time.map_or(DEFAULT_WAIT, |time| time / WAIT_DIVISOR).min(MAX_WAIT)
}

/// A place among those that wait, given back when the request goes on or its client leaves.
struct WaitSlot<'a> {
    wait: &'a ConfigurationWait,
    body_bytes: usize,
}

impl<'a> WaitSlot<'a> {
    fn acquire(wait: &'a ConfigurationWait, body_bytes: usize) -> Self {
        wait.waiting.set(wait.waiting.get() + 1);
        wait.waiting_bytes.set(wait.waiting_bytes.get() + body_bytes);
        WaitSlot { wait, body_bytes }
    }
}

impl Drop for WaitSlot<'_> {
    fn drop(&mut self) {
        self.wait.waiting.set(self.wait.waiting.get() - 1);
        self.wait.waiting_bytes.set(self.wait.waiting_bytes.get() - self.body_bytes);
    }
}
