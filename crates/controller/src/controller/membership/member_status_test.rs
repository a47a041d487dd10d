//! The status that controllers report about themselves, and how long it remains valid.

use crate::controller::membership::member_status::MemberStatuses;
use crate::message::MemberStatus;
use std::net::SocketAddr;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

#[test]
fn a_replica_votes_for_the_shards_that_its_controller_names() {
    let status = MemberStatus::new(1, [0, 4], false);
    let can_vote: Vec<bool> = (0..6).map(|shard| status.can_vote(shard)).collect();
    assert_eq!(can_vote, [true, false, false, false, true, false]);
    assert!(!status.can_vote(200));
}

#[test]
fn the_newest_status_counts_and_is_a_change_once() {
    let mut member_statuses = MemberStatuses::default();
    assert!(!member_statuses.can_vote(node(1), 0));
    assert!(member_statuses.record(node(1), MemberStatus::new(7, [0], false)));
    assert!(!member_statuses.record(node(1), MemberStatus::new(7, [0], false)));
    assert!(member_statuses.can_join(node(1), 0));
    assert!(member_statuses.record(node(1), MemberStatus::new(7, [0], true)));
    assert!(member_statuses.is_draining(node(1)) && !member_statuses.can_join(node(1), 0));
}

#[test]
fn a_restart_invalidates_the_status_of_the_earlier_incarnation() {
    let mut member_statuses = MemberStatuses::default();
    member_statuses.record(node(1), MemberStatus::new(7, [0], true));
    member_statuses.restarted(node(1), 7);
    assert!(member_statuses.is_draining(node(1)), "the same incarnation");
    member_statuses.restarted(node(1), 8);
    assert!(!member_statuses.is_draining(node(1)) && !member_statuses.can_vote(node(1), 0));
}

#[test]
fn the_status_of_the_new_incarnation_survives_the_notice_of_its_start() {
    let mut member_statuses = MemberStatuses::default();
    member_statuses.record(node(1), MemberStatus::new(7, [0], true));
    member_statuses.record(node(1), MemberStatus::new(8, [0], false));
    member_statuses.restarted(node(1), 8);
    assert!(member_statuses.can_join(node(1), 0));
}
