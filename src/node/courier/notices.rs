//! Notices to the platform of messages that have ended undelivered.

use super::Courier;
use crate::node::journal::Verdict;
use crate::node::outcomes::Notice;

/// Batches of notices on their way at once, and notices in one.
const MAX_POSTS_IN_FLIGHT: usize = 4;
const MAX_BATCH: usize = 200;

impl Courier {
    /// Nothing but its notice is left to do for a message.
    pub(in crate::node) fn queue_notice(&mut self, message: u64, id: String, verdict: Verdict) {
        self.notices.push_back(Notice { message, id, verdict });
    }

    /// Sends the notices that wait, as far as batches may be on their way.
    pub(super) fn post(&mut self) {
        while self.posts < MAX_POSTS_IN_FLIGHT && !self.notices.is_empty() {
            let batch: Vec<_> = self.notices.drain(..self.notices.len().min(MAX_BATCH)).collect();
            self.posts += 1;
            tokio::task::spawn_local(self.platform.clone().post(batch, self.inputs.clone()));
        }
    }

    /// The platform has acknowledged a batch.
    pub(super) fn notices_acknowledged(&mut self, messages: Vec<u64>) {
        self.posts -= 1;
        for message in messages {
            self.end(message);
        }
    }
}
