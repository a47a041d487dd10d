//! When a pending write shows that the disk has stalled.

use crate::controller::consensus::pending_writes::{PendingWrites, STALL_THRESHOLD};
use std::time::Duration;

const START: Duration = Duration::from_secs(50);
const SHARD: u8 = 2;
const OTHER_SHARD: u8 = 3;

#[test]
fn a_write_that_is_pending_for_long_shows_a_stall() {
    let mut writes = PendingWrites::default();
    assert!(!writes.is_stalled(START));
    writes.started(START, SHARD);
    assert!(!writes.is_stalled(START + STALL_THRESHOLD - Duration::from_millis(1)));
    assert!(writes.is_stalled(START + STALL_THRESHOLD));
}

#[test]
fn the_end_of_the_write_ends_the_stall() {
    let mut writes = PendingWrites::default();
    writes.started(START, SHARD);
    writes.ended(SHARD);
    assert!(!writes.is_stalled(START + STALL_THRESHOLD));
    writes.started(START + STALL_THRESHOLD, SHARD);
    assert!(
        !writes.is_stalled(START + STALL_THRESHOLD),
        "the time of the next write counts from its own start"
    );
}

#[test]
fn the_end_of_a_write_of_one_shard_leaves_the_stall_of_another() {
    let mut writes = PendingWrites::default();
    writes.started(START, SHARD);
    writes.started(START, OTHER_SHARD);
    writes.ended(SHARD);
    assert!(writes.is_stalled(START + STALL_THRESHOLD));
}
