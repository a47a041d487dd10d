//! Which connection is closed to make room for a newcomer.

use super::connection::{Connection, Stage};
use super::state::IntakeState;
use std::time::Duration;

/// A connection without an open request may be closed after this time, where room is needed.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// A request that comes in several pieces counts as at work for so long after each.
const WORK_TIME: Duration = Duration::from_millis(500);
/// A new connection's request is mostly there already and read by then.
const FRESH_TIME: Duration = Duration::from_millis(10);
/// Of those to whom room could go, so many are looked at more closely; the others are for the next time.
const MAX_CANDIDATES: usize = 8;

impl Connection {
    /// How readily it is closed to make room: low first, None not at all. What has never handed in anything
    /// goes before a usual client's connection.
    fn eviction_rank(&self) -> Option<u8> {
        let age = self.since.get().elapsed();
        // Of those that write: what only began, and then stopped, goes before what goes on.
        let works = self.pieces.get() > 1 && self.last.get().elapsed() < WORK_TIME;
        match self.stage.get() {
            Stage::Closing => Some(0),
            Stage::Silent if age > FRESH_TIME => Some(0),
            Stage::Idle { well: false } => Some(1),
            Stage::Idle { .. } if age > IDLE_TIME => Some(2),
            // A first request that is closed on has failed; a later one could be lost.
            Stage::Head | Stage::Reading if self.served.get() => None,
            // Clients that ask once and keep their connection would shut out all that come within that time.
            Stage::Idle { .. } => Some(4),
            Stage::Head | Stage::Reading if age > FRESH_TIME => Some(if works { 5 } else { 3 }),
            _ => None,
        }
    }

    /// Whether closing it cuts off nothing that has come.
    fn is_free(&self) -> bool {
        self.stage.get() == Stage::Closing || self.nothing_unread()
    }
}

impl IntakeState {
    /// Closes the connection that is of least use, if one can go. One on which something waits to be read is not
    /// closed: it may be the whole of a request.
    pub(super) fn evict_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        // In a flood of newcomers the silent ones show in a moment, and go before what has served.
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
