//! Record writes that the disk has neither completed nor failed.
//!
//! A failed write is reported as an error. A stalled disk reports nothing, yet its replicas cannot vote either, because
//! their answers wait for the write. Therefore, once a write has been pending for [`STALL_THRESHOLD`], no replica of
//! this controller counts as able to vote.

use std::collections::BTreeMap;
use std::time::Duration;

/// A write that is pending for this long means that the disk has stalled. The limit is above the time of a slow disk:
/// five shards with one write each share the disk, and a disk that is thirty times as slow as the slowest one in use
/// takes 150 ms for each write.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(1_500);

/// When the pending write of each shard was queued. A shard has at most one; all shards share the disk.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    started_at: BTreeMap<u8, Duration>,
}

impl PendingWrites {
    /// A record of the shard was queued for writing.
    pub(crate) fn started(&mut self, now: Duration, shard: u8) {
        self.started_at.entry(shard).or_insert(now);
    }

    /// The write of the shard's record has completed or failed.
    pub(crate) fn ended(&mut self, shard: u8) {
        self.started_at.remove(&shard);
    }

    /// Whether the disk has stalled.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        self.started_at.values().any(|at| now >= *at + STALL_THRESHOLD)
    }
}
