//! Growth of the replica group, and the replacement of members that are gone.

use super::members::{MemberChange, Members, majority};
use std::net::SocketAddr;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn nodes(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| node(*number)).collect()
}

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// What is planned at `time` by one who has just looked.
fn looked(members: &mut Members, time: u64, group: &[u8], live: &[u8], size: usize) -> Option<MemberChange> {
    members.observe(ms(time), &nodes(group), &nodes(live));
    members.plan(ms(time), &nodes(group), &nodes(live), size)
}

#[test]
fn a_group_grows_from_three_to_five_by_one_at_a_time() {
    let mut members = Members::default();
    let live = [1, 2, 3, 4, 5, 6];
    let joins = |number| Some(MemberChange { remove: None, add: node(number) });
    assert_eq!(looked(&mut members, 0, &[1, 2, 3], &live, 5), joins(4));
    assert_eq!(looked(&mut members, 1, &[1, 2, 3, 4], &live, 5), joins(5));
    assert_eq!(looked(&mut members, 2, &[1, 2, 3, 4, 5], &live, 5), None);
}

#[test]
fn a_group_of_the_wanted_size_does_not_grow_nor_does_one_without_spares() {
    let mut members = Members::default();
    assert_eq!(looked(&mut members, 0, &[1, 2, 3], &[1, 2, 3, 4], 3), None);
    assert_eq!(looked(&mut members, 0, &[1, 2, 3], &[1, 2, 3], 5), None);
}

#[test]
fn a_silent_member_is_replaced_only_after_patience() {
    let mut members = Members::default();
    assert_eq!(looked(&mut members, 1_000, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert_eq!(looked(&mut members, 2_199, &[1, 2, 3], &[1, 3, 4], 3), None);
    let change = MemberChange { remove: Some(node(2)), add: node(4) };
    assert_eq!(looked(&mut members, 2_200, &[1, 2, 3], &[1, 3, 4], 3), Some(change));
}

#[test]
fn a_silent_member_is_replaced_only_by_a_spare() {
    let mut members = Members::default();
    looked(&mut members, 0, &[1, 2, 3], &[1, 3], 3);
    assert_eq!(looked(&mut members, 60_000, &[1, 2, 3], &[1, 3], 3), None);
    let change = MemberChange { remove: Some(node(2)), add: node(4) };
    assert_eq!(looked(&mut members, 60_001, &[1, 2, 3], &[1, 3, 4], 3), Some(change));
}

#[test]
fn a_member_that_was_heard_again_has_its_patience_anew() {
    let mut members = Members::default();
    looked(&mut members, 0, &[1, 2, 3], &[1, 3, 4], 3);
    looked(&mut members, 1_000, &[1, 2, 3], &[1, 2, 3, 4], 3);
    assert_eq!(looked(&mut members, 1_300, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert_eq!(looked(&mut members, 2_499, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert!(looked(&mut members, 2_500, &[1, 2, 3], &[1, 3, 4], 3).is_some());
}

#[test]
fn of_two_silent_members_the_one_silent_longest_goes_first() {
    let mut members = Members::default();
    looked(&mut members, 0, &[1, 2, 3, 4, 5], &[1, 2, 4, 5, 6, 7], 5);
    looked(&mut members, 400, &[1, 2, 3, 4, 5], &[1, 4, 5, 6, 7], 5);
    let change = looked(&mut members, 2_000, &[1, 2, 3, 4, 5], &[1, 4, 5, 6, 7], 5);
    assert_eq!(change, Some(MemberChange { remove: Some(node(3)), add: node(6) }));
    let change = looked(&mut members, 2_001, &[1, 2, 4, 5, 6], &[1, 4, 5, 6, 7], 5);
    assert_eq!(change, Some(MemberChange { remove: Some(node(2)), add: node(7) }));
}

#[test]
fn a_group_that_is_short_grows_before_it_replaces() {
    let mut members = Members::default();
    looked(&mut members, 0, &[1, 2, 3], &[1, 3, 4], 5);
    let change = looked(&mut members, 5_000, &[1, 2, 3], &[1, 3, 4], 5);
    assert_eq!(change, Some(MemberChange { remove: None, add: node(4) }));
}

#[test]
fn a_controller_that_does_not_know_its_group_is_no_majority_by_itself() {
    assert_eq!([1, 2, 3, 4, 5].map(|members| majority(members, 1)), [1, 2, 2, 3, 3]);
    assert_eq!((majority(0, 1), majority(0, 2)), (2, 3));
    assert_eq!(majority(0, 0), 1, "a system that bears no loss may be of one controller");
}
