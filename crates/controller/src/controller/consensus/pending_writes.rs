//! Records that were handed to the disk and that it has neither taken nor refused.
//!
//! A disk that refuses a write says so; one that stalls says nothing, and its replica cannot vote all the same: its
//! answers wait for the write. So once a write has been pending for [`STALL_THRESHOLD`], no replica of this controller counts
//! as able to vote.

use std::collections::BTreeMap;
use std::time::Duration;

/// A write that takes longer than this shows that the disk has stalled. A slow disk is not one that stalls: five shards, each with one
/// write at a time, share it, and a disk thirty times as slow as the slowest that is in use takes 150 ms for each.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(1_500);

/// When the pending write of each shard was handed to the disk, which all shards share. A shard has one at a time.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    started_at: BTreeMap<u8, Duration>,
}

impl PendingWrites {
    /// A record of the shard was handed to the disk.
    pub(crate) fn started(&mut self, now: Duration, shard: u8) {
        self.started_at.entry(shard).or_insert(now);
    }

    /// The disk has taken the record of the shard, or refused it.
    pub(crate) fn ended(&mut self, shard: u8) {
        self.started_at.remove(&shard);
    }

    /// Whether the disk has stalled.
    pub(crate) fn is_stalled(&self, now: Duration) -> bool {
        self.started_at.values().any(|at| now >= *at + STALL_THRESHOLD)
    }
}
