//! Remembers the removed incarnations, so that a delayed heartbeat does not register one of them again.

use std::collections::VecDeque;
use std::sync::Arc;

/// Number of removed incarnations that are remembered.
const MAX_REMOVED_INCARNATIONS: usize = 256;

#[derive(Debug)]
struct RemovedIncarnation {
    id: Arc<str>,
    /// Sequence number of its newest registration.
    sequence: u64,
}

/// The incarnations that were removed last, the latest at the end.
#[derive(Debug, Default)]
pub(crate) struct RemovedIncarnations {
    removed: VecDeque<RemovedIncarnation>,
}

impl RemovedIncarnations {
    /// Adds an incarnation with the sequence number of its newest registration; the oldest one is dropped.
    pub(crate) fn add(&mut self, id: Arc<str>, sequence: u64) {
        self.removed.retain(|removed| removed.id != id);
        self.removed.push_back(RemovedIncarnation { id, sequence });
        if self.removed.len() > MAX_REMOVED_INCARNATIONS {
            self.removed.pop_front();
        }
    }

    /// Sequence number of the newest registration of an incarnation, if it was removed.
    pub(crate) fn sequence(&self, id: &str) -> Option<u64> {
        self.removed.iter().find(|removed| *removed.id == *id).map(|removed| removed.sequence)
    }
}
