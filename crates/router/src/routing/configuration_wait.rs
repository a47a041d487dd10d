//! Requests that arrive before the first configuration.
//!
//! A router receives its configuration a few hundred milliseconds after its start. A client that is refused retries later than
//! that, often at another router that has just started too. So a request waits for the configuration, for a fraction of the
//! time that its client allows. The number and total size of waiting requests are bounded.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// A request waits at most for the time that its client allows divided by this; the rest is left for a retry at another router
/// and for the answer.
const WAIT_DIVISOR: u32 = 4;

/// Longest wait, whatever time the client allows. A start that takes longer has a problem that waiting does not solve.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Wait of a request without `Deadline-Ms`.
const DEFAULT_WAIT: Duration = Duration::from_millis(250);

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 256;

/// Maximum total size of the bodies of waiting requests, bytes.
const MAX_WAITING_BYTES: usize = 8 * 1024 * 1024;

/// Why a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// A configuration arrived, or shutdown began.
    Notified,
    /// The maximum wait has passed.
    TimedOut,
    /// The maximum number or total size of waiting requests is reached.
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
    /// Waits until [`ConfigurationWait::wake`], at most for a fraction of `client_time` from `arrived`.
    pub async fn wait(
        &self,
        arrived: Instant,
        client_time: Option<Duration>,
        body_bytes: usize,
    ) -> WaitOutcome {
        let is_full = self.waiting.get() >= MAX_WAITING
            || self.waiting_bytes.get().saturating_add(body_bytes) > MAX_WAITING_BYTES;
        if is_full {
            return WaitOutcome::Full;
        }
        let _slot = WaitSlot::acquire(self, body_bytes);
        match timeout_at(arrived + max_wait(client_time), self.woken.notified()).await {
            Ok(()) => WaitOutcome::Notified,
            Err(_) => WaitOutcome::TimedOut,
        }
    }

    /// Ends all waits: a configuration arrived, or shutdown began.
    pub fn wake(&self) {
        self.woken.notify_waiters();
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }
}

/// The longest wait of a request whose client allows `client_time`.
fn max_wait(client_time: Option<Duration>) -> Duration {
    client_time.map_or(DEFAULT_WAIT, |time| time / WAIT_DIVISOR).min(MAX_WAIT)
}

/// The place of one waiting request, freed on drop: when the request continues or its client disconnects.
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
