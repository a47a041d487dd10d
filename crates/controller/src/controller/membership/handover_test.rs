//! What a controller waits for before it shuts down.

use crate::controller::membership::handover::{GroupMembership, Handover};
use std::net::SocketAddr;
use std::time::Duration;

/// Time until the process is killed.
const GRACE: Duration = Duration::from_secs(8);
const MEMBER: GroupMembership = GroupMembership { is_member: true, has_spare: true };
const REPLACED: GroupMembership = GroupMembership { is_member: false, has_spare: true };
const WITHOUT_SPARE: GroupMembership = GroupMembership { is_member: true, has_spare: false };
const TOKEN: u64 = 40;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// A handover that waits only for the final flush, sent at `now` to two peers.
fn flushing(now: Duration) -> Handover {
    let mut handover = Handover::begin(ms(0), GRACE);
    handover.flush(now, TOKEN, [peer(2), peer(3)]);
    handover
}

#[test]
fn a_member_waits_until_a_spare_has_replaced_it() {
    let handover = Handover::begin(ms(0), GRACE);
    assert!(!handover.is_replaced(ms(1_000), MEMBER));
    assert!(handover.is_replaced(ms(1_000), REPLACED));
    assert!(!handover.is_done());
}

#[test]
fn without_a_spare_there_is_nothing_to_wait_for() {
    assert!(Handover::begin(ms(0), GRACE).is_replaced(ms(0), WITHOUT_SPARE));
}

#[test]
fn the_wait_for_a_replacement_ends_well_before_the_process_is_killed() {
    let handover = Handover::begin(ms(500), GRACE);
    assert_eq!(handover.next_wake(), Some(ms(4_500)));
    assert!(!handover.is_replaced(ms(4_499), MEMBER));
    assert!(handover.is_replaced(ms(4_500), MEMBER));
}

#[test]
fn the_end_waits_until_every_live_peer_has_the_last_messages() {
    let mut handover = flushing(ms(100));
    handover.flushed(TOKEN, peer(2));
    handover.flushed(TOKEN - 1, peer(3));
    handover.end_if_flushed(ms(110), true);
    assert!(!handover.is_done(), "an earlier flush does not confirm the last messages");
    handover.flushed(TOKEN, peer(3));
    handover.end_if_flushed(ms(110), false);
    assert!(!handover.is_done(), "a caller waits for an answer");
    handover.end_if_flushed(ms(111), true);
    assert!(handover.is_done());
    assert_eq!(handover.next_wake(), None);
}

#[test]
fn the_shutdown_does_not_wait_long_for_an_unresponsive_peer() {
    let mut handover = flushing(ms(100));
    handover.end_if_flushed(ms(399), true);
    assert!(!handover.is_done());
    assert_eq!(handover.next_wake(), Some(ms(400)));
    handover.end_if_flushed(ms(400), false);
    assert!(handover.is_done());
}

#[test]
fn the_last_messages_are_sent_once() {
    assert!(!flushing(ms(100)).is_replaced(ms(110), REPLACED));
}
