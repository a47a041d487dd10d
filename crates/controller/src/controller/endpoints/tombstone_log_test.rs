//! What of the tombstones is on disk, and when flushes of peers are confirmed.

use crate::controller::endpoints::tombstone_log::{TOMBSTONE_RETENTION, TombstoneLog};
use std::net::SocketAddr;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn entries(log: &TombstoneLog) -> Vec<(String, u64)> {
    log.iter().map(|(id, sequence)| (id.to_owned(), sequence)).collect()
}

fn log_with(ids: &[(&str, u64)]) -> TombstoneLog {
    let mut log = TombstoneLog::default();
    ids.iter().for_each(|(id, sequence)| log.record(ms(0), id, *sequence));
    log
}

#[test]
fn a_restarted_process_has_what_was_written() {
    let mut log = log_with(&[("i-1", u64::MAX), ("i-2", 7)]);
    let write = log.take_write(ms(5)).expect("a record");
    let restored = TombstoneLog::restore(ms(0), &write.record).expect("it can be read");
    assert_eq!(entries(&restored), [("i-1".to_owned(), u64::MAX), ("i-2".to_owned(), 7)]);
    assert_eq!(restored.version(), restored.durable_version(), "nothing is to be written");
}

#[test]
fn a_record_that_is_damaged_is_refused() {
    let mut log = log_with(&[("i-1", 1)]);
    let record = log.take_write(ms(0)).expect("a record").record;
    for length in 0..record.len() {
        assert!(TombstoneLog::restore(ms(0), &record[..length]).is_err(), "{length} bytes of it");
    }
}

/// An endpoint that announces the same end again and again causes one write.
#[test]
fn a_tombstone_that_is_known_is_not_written_again() {
    let mut log = log_with(&[("i-1", 5)]);
    let write = log.take_write(ms(0)).expect("a record");
    log.write_ended(ms(1), write.version, true);
    log.record(ms(2), "i-1", 5);
    log.record(ms(2), "i-1", 4);
    assert_eq!(log.take_write(ms(2)), None);
}

#[test]
fn changes_during_a_write_share_the_next_one() {
    let mut log = log_with(&[("i-1", 1)]);
    let first = log.take_write(ms(0)).expect("a record");
    log.record(ms(1), "i-2", 1);
    log.record(ms(2), "i-3", 1);
    assert_eq!(log.take_write(ms(2)), None, "a write is pending");
    log.write_ended(ms(3), first.version, true);
    let second = log.take_write(ms(3)).expect("a record");
    log.write_ended(ms(4), second.version, true);
    assert_eq!(log.durable_version(), log.version());
    assert_eq!(log.take_write(ms(4)), None);
}

#[test]
fn a_write_that_failed_is_repeated_after_a_delay() {
    let mut log = log_with(&[("i-1", 1)]);
    let write = log.take_write(ms(0)).expect("a record");
    log.write_ended(ms(1), write.version, false);
    assert_eq!(log.take_write(ms(400)), None, "a full disk is not written to all the time");
    assert_eq!(log.durable_version(), 0);
    assert!(log.take_write(ms(401)).is_some());
}

#[test]
fn a_flush_is_confirmed_once_what_came_before_it_is_on_disk() {
    let mut log = TombstoneLog::default();
    assert!(log.may_confirm(ms(0), peer(2), 1), "there is nothing to write");
    log.record(ms(0), "i-1", 1);
    assert!(!log.may_confirm(ms(0), peer(2), 2));
    let first = log.take_write(ms(0)).expect("a record");
    log.record(ms(1), "i-2", 1);
    assert!(!log.may_confirm(ms(1), peer(3), 9));
    log.write_ended(ms(2), first.version, true);
    assert_eq!(log.take_confirmable(), [(peer(2), 2)]);
    let second = log.take_write(ms(2)).expect("a record");
    log.write_ended(ms(3), second.version, true);
    assert_eq!(log.take_confirmable(), [(peer(3), 9)]);
    assert_eq!(log.take_confirmable(), []);
}

#[test]
fn a_flush_for_which_nobody_waits_any_more_is_dropped() {
    let mut log = log_with(&[("i-1", 1)]);
    assert!(!log.may_confirm(ms(0), peer(2), 2));
    log.purge(ms(1_001));
    let write = log.take_write(ms(1_001)).expect("a record");
    log.write_ended(ms(1_002), write.version, true);
    assert_eq!(log.take_confirmable(), []);
}

/// Restarts do not prolong it: a process that is restarted often would keep tombstones for ever else.
#[test]
fn retention_goes_on_over_restarts() {
    let mut log = log_with(&[("i-1", 1)]);
    let record = log.take_write(ms(20_000)).expect("a record").record;
    let mut restored = TombstoneLog::restore(ms(0), &record).expect("it can be read");
    restored.purge(TOMBSTONE_RETENTION - ms(20_000));
    assert_eq!(entries(&restored).len(), 1);
    restored.purge(TOMBSTONE_RETENTION - ms(19_999));
    assert_eq!(entries(&restored).len(), 0);
}
