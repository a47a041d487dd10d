//! How many failures a group tolerates, and when a change is reported.

use crate::controller::consensus::fault_tolerance::{
    FailureUnit, MemberState, ToleranceChange, ToleranceMonitor, tolerable_failures,
};
use std::net::SocketAddr;

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn group(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| node(*number)).collect()
}

/// Failures that `groups` tolerate if the members `lost` are in `state` and all others vote.
fn tolerated_failures(groups: &[&[u8]], lost: &[u8], state: MemberState) -> Option<usize> {
    let groups: Vec<Vec<SocketAddr>> = groups.iter().map(|numbers| group(numbers)).collect();
    tolerable_failures(
        &groups,
        |member| if group(lost).contains(&member) { state } else { MemberState::Voting },
        |member| member,
    )
}

/// Zones that a group tolerates to lose whose members, all of them voting, are in `zones`, in the order of their numbers.
fn tolerated_zones(zones: &[&str]) -> Option<usize> {
    let members: Vec<SocketAddr> = (1..).map(node).take(zones.len()).collect();
    let zone = |member: SocketAddr| zones[members.iter().position(|node| *node == member).expect("a member")];
    tolerable_failures(std::slice::from_ref(&members), |_| MemberState::Voting, zone)
}

#[test]
fn members_of_one_zone_are_lost_together() {
    assert_eq!(tolerated_zones(&["a", "a", "b"]), Some(0));
    assert_eq!(tolerated_zones(&["a", "b", "c"]), Some(1));
    assert_eq!(tolerated_zones(&["a", "a", "b", "b", "c"]), Some(1));
    assert_eq!(tolerated_zones(&["a", "a", "a", "b", "c"]), Some(0));
    assert_eq!(tolerated_zones(&["a", "b", "c", "d", "e"]), Some(2));
}

#[test]
fn each_member_that_does_not_vote_takes_one_from_the_margin() {
    assert_eq!(tolerated_failures(&[&[1, 2, 3]], &[], MemberState::Suspected), Some(1));
    assert_eq!(tolerated_failures(&[&[1, 2, 3, 4, 5]], &[], MemberState::Suspected), Some(2));
    for state in [MemberState::Suspected, MemberState::NotVoting, MemberState::Unknown] {
        assert_eq!(tolerated_failures(&[&[1, 2, 3]], &[2], state), Some(0), "{state:?}");
        assert_eq!(tolerated_failures(&[&[1, 2, 3]], &[2, 3], state), None, "{state:?}");
        assert_eq!(tolerated_failures(&[&[1, 2, 3, 4, 5]], &[2, 3], state), Some(0), "{state:?}");
    }
}

#[test]
fn while_members_change_the_weaker_group_counts() {
    assert_eq!(tolerated_failures(&[&[1, 2, 3], &[2, 3, 4]], &[4], MemberState::NotVoting), Some(0));
    assert_eq!(tolerated_failures(&[&[1, 2, 3], &[2, 3, 4]], &[3, 4], MemberState::Suspected), None);
}

#[test]
fn a_group_that_is_not_known_has_no_margin() {
    assert_eq!(tolerated_failures(&[], &[], MemberState::Voting), None);
}

#[test]
fn exhausted_and_restored_tolerance_are_reported_once() {
    let mut monitor = ToleranceMonitor::default();
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(1)), None);
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(0)), Some(ToleranceChange::Exhausted));
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(0)), None);
    assert_eq!(monitor.observe(0, FailureUnit::Machine, None), None);
    assert_eq!(
        monitor.observe(1, FailureUnit::Machine, None),
        Some(ToleranceChange::Exhausted),
        "each shard is tracked separately"
    );
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(1)), Some(ToleranceChange::Restored));
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(2)), None);
}

#[test]
fn the_tolerance_of_zones_is_reported_apart_from_that_of_machines() {
    let mut monitor = ToleranceMonitor::default();
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(1)), None);
    assert_eq!(monitor.observe(0, FailureUnit::Zone, Some(0)), Some(ToleranceChange::Exhausted));
    assert_eq!(monitor.observe(0, FailureUnit::Machine, Some(1)), None);
    assert_eq!(monitor.observe(0, FailureUnit::Zone, Some(1)), Some(ToleranceChange::Restored));
}
