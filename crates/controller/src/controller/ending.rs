//! The end of the process.

use super::{Controller, shards};

impl Controller {
    /// The process is about to end.
    pub(super) fn leave(&mut self) {
        let now = self.now();
        for shard in shards::all() {
            let outputs = self.leases.set_candidate(now, u32::from(shard), false);
            self.lease_outputs(outputs);
        }
    }

    /// Whether nobody waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        self.asked.is_empty() && self.operator.next_wake().is_none() && self.endpoints.next_wake().is_none()
    }
}
