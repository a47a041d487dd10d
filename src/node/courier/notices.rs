//! Notices to the platform about messages that ended undelivered.

use super::Courier;
use crate::node::journal::Verdict;
use crate::node::outcomes::Notice;

/// Limits on batches in flight, and on notices in a batch.
const MAX_POSTS_IN_FLIGHT: usize = 4;
const MAX_BATCH: usize = 200;

impl Courier {
    /// Queues the notice for a message, the last thing to do for it.
    pub(in crate::node) fn queue_notice(&mut self, message: u64, id: String, verdict: Verdict) {
        self.notices.push_back(Notice { message, id, verdict });
    }

    /// Sends queued notices, up to the limit of batches in flight.
    pub(super) fn post(&mut self) {
        while self.posts < MAX_POSTS_IN_FLIGHT && !self.notices.is_empty() {
            let batch: Vec<_> = self.notices.drain(..self.notices.len().min(MAX_BATCH)).collect();
            self.posts += 1;
            tokio::task::spawn_local(self.platform.clone().post(batch, self.inputs.clone()));
        }
    }

    /// Handles the platform's acknowledgement of a batch.
    pub(super) fn notices_acknowledged(&mut self, messages: Vec<u64>) {
        self.posts -= 1;
        for message in messages {
            self.end(message);
        }
    }
}
