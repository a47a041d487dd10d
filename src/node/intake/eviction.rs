//! Chooses the connection to close when a new client needs a socket.

use super::connection::{Connection, Stage};
use super::state::IntakeState;
use std::time::Duration;

/// Idle time after which a connection may be closed if a socket is needed.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// A request received in several pieces counts as active for this long after each.
const WORK_TIME: Duration = Duration::from_millis(500);
/// By this age a new connection's request has usually arrived and been read.
const FRESH_TIME: Duration = Duration::from_millis(10);
/// Number of candidates that are checked for unread bytes; the others are left for the next time.
const MAX_CANDIDATES: usize = 8;

impl Connection {
    /// Eviction order: lowest first, `None` never. Connections that never submitted anything go before those of
    /// ordinary clients.
    fn eviction_rank(&self) -> Option<u8> {
        let age = self.since.get().elapsed();
        // Among partial requests, stalled ones go before those still being received.
        let works = self.pieces.get() > 1 && self.last.get().elapsed() < WORK_TIME;
        match self.stage.get() {
            Stage::Closing => Some(0),
            Stage::Silent if age > FRESH_TIME => Some(0),
            Stage::Idle { well: false } => Some(1),
            Stage::Idle { .. } if age > IDLE_TIME => Some(2),
            // Closing during a first request makes it fail visibly; a later one could be lost.
            Stage::Head | Stage::Reading if self.served.get() => None,
            // Otherwise clients that keep their connection after one request would block new ones for `IDLE_TIME`.
            Stage::Idle { .. } => Some(4),
            Stage::Head | Stage::Reading if age > FRESH_TIME => Some(if works { 5 } else { 3 }),
            _ => None,
        }
    }

    /// Whether closing it loses no received bytes.
    fn is_free(&self) -> bool {
        self.stage.get() == Stage::Closing || self.nothing_unread()
    }
}

impl IntakeState {
    /// Closes the least useful connection, if any can be closed. One with unread bytes is kept: they may be a complete
    /// request.
    pub(super) fn evict_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        // In a burst of new connections the silent ones show within `FRESH_TIME`; wait for that rather than evict one
        // that has been served.
        if open.values().filter(|c| c.eviction_rank().is_none()).count() * 4 > open.len() {
            return false;
        }
        let mut least: Vec<_> =
            open.iter().filter_map(|(id, c)| Some((c.eviction_rank()?, c.last.get(), *id))).collect();
        let looked = least.len().min(MAX_CANDIDATES);
        if least.len() > looked {
            least.select_nth_unstable(looked - 1);
        }
        least[..looked].sort_unstable();
        let free = least[..looked].iter().find(|(.., id)| open[id].is_free());
        let evicted = free.and_then(|(.., id)| open.remove(id));
        evicted.inspect(|connection| connection.evict.notify_one()).is_some()
    }
}

#[cfg(test)]
#[path = "eviction_test.rs"]
mod tests;
