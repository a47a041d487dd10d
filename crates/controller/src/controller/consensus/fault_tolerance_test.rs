//! How many failures a group tolerates, and when a change is reported.

use crate::controller::consensus::fault_tolerance::{
    MemberState, ToleranceChange, ToleranceMonitor, tolerable_failures,
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
    )
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
    assert_eq!(monitor.observe(0, Some(1)), None);
    assert_eq!(monitor.observe(0, Some(0)), Some(ToleranceChange::Exhausted));
    assert_eq!(monitor.observe(0, Some(0)), None);
    assert_eq!(monitor.observe(0, None), None);
    assert_eq!(
        monitor.observe(1, None),
        Some(ToleranceChange::Exhausted),
        "each shard is tracked separately"
    );
    assert_eq!(monitor.observe(0, Some(1)), Some(ToleranceChange::Restored));
    assert_eq!(monitor.observe(0, Some(2)), None);
}
