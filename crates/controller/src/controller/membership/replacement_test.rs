//! Growth of the replica groups, and the replacement of suspected and draining members.

use crate::controller::membership::failure_domains::FailureDomains;
use crate::controller::membership::member_status::MemberStatuses;
use crate::controller::membership::replacement::{GroupView, MemberChange, ReplacementPlanner};
use crate::message::MemberStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// The shard in tests that involve one shard only.
const SHARD: u8 = 0;
/// Number of shards for which the tests report voting replicas.
const SHARDS: u8 = 5;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn nodes(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| node(*number)).collect()
}

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Controllers 1 to 9, all of them able to vote for every shard.
fn all_voting() -> MemberStatuses {
    let mut member_statuses = MemberStatuses::default();
    for number in 1..=9 {
        member_statuses.record(node(number), MemberStatus::new(u64::from(number), 0..SHARDS, false));
    }
    member_statuses
}

/// The change that is planned for `shard` at `time`, without a new observation.
fn planned(
    planner: &ReplacementPlanner,
    time: u64,
    shard: u8,
    (group, live): (&[u8], &[u8]),
    size: usize,
    member_statuses: &MemberStatuses,
) -> Option<MemberChange> {
    let (group, live) = (nodes(group), nodes(live));
    let failure_domains = FailureDomains::default();
    let view =
        GroupView { shard, group: &group, live: &live, member_statuses, failure_domains: &failure_domains };
    planner.plan(ms(time), view, size)
}

/// The change that is planned at `time`, directly after an observation.
fn observed_at(
    planner: &mut ReplacementPlanner,
    time: u64,
    group: &[u8],
    live: &[u8],
    size: usize,
) -> Option<MemberChange> {
    planner.observe(ms(time), SHARD, &nodes(group), &nodes(live));
    planned(planner, time, SHARD, (group, live), size, &all_voting())
}

#[test]
fn a_group_grows_from_three_to_five_by_one_at_a_time() {
    let mut planner = ReplacementPlanner::default();
    let live = [1, 2, 3, 4, 5, 6];
    let joins = |number| Some(MemberChange { remove: None, add: node(number) });
    assert_eq!(observed_at(&mut planner, 0, &[1, 2, 3], &live, 5), joins(4));
    assert_eq!(observed_at(&mut planner, 1, &[1, 2, 3, 4], &live, 5), joins(5));
    assert_eq!(observed_at(&mut planner, 2, &[1, 2, 3, 4, 5], &live, 5), None);
}

#[test]
fn a_group_of_the_wanted_size_does_not_grow_nor_does_one_without_spares() {
    let mut planner = ReplacementPlanner::default();
    assert_eq!(observed_at(&mut planner, 0, &[1, 2, 3], &[1, 2, 3, 4], 3), None);
    assert_eq!(observed_at(&mut planner, 0, &[1, 2, 3], &[1, 2, 3], 5), None);
}

#[test]
fn a_group_that_is_not_known_is_not_changed() {
    let mut planner = ReplacementPlanner::default();
    assert_eq!(observed_at(&mut planner, 0, &[], &[1, 2, 3], 3), None);
    assert_eq!(observed_at(&mut planner, 60_000, &[], &[1, 2, 3], 3), None);
}

#[test]
fn a_suspected_member_is_replaced_only_after_the_timeout() {
    let mut planner = ReplacementPlanner::default();
    assert_eq!(observed_at(&mut planner, 1_000, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert_eq!(observed_at(&mut planner, 2_199, &[1, 2, 3], &[1, 3, 4], 3), None);
    let change = MemberChange { remove: Some(node(2)), add: node(4) };
    assert_eq!(observed_at(&mut planner, 2_200, &[1, 2, 3], &[1, 3, 4], 3), Some(change));
}

#[test]
fn a_suspected_member_is_replaced_only_by_a_spare() {
    let mut planner = ReplacementPlanner::default();
    observed_at(&mut planner, 0, &[1, 2, 3], &[1, 3], 3);
    assert_eq!(observed_at(&mut planner, 60_000, &[1, 2, 3], &[1, 3], 3), None);
    let change = MemberChange { remove: Some(node(2)), add: node(4) };
    assert_eq!(observed_at(&mut planner, 60_001, &[1, 2, 3], &[1, 3, 4], 3), Some(change));
}

#[test]
fn a_member_that_was_live_again_gets_a_new_timeout() {
    let mut planner = ReplacementPlanner::default();
    observed_at(&mut planner, 0, &[1, 2, 3], &[1, 3, 4], 3);
    observed_at(&mut planner, 1_000, &[1, 2, 3], &[1, 2, 3, 4], 3);
    assert_eq!(observed_at(&mut planner, 1_300, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert_eq!(observed_at(&mut planner, 2_499, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert!(observed_at(&mut planner, 2_500, &[1, 2, 3], &[1, 3, 4], 3).is_some());
}

#[test]
fn a_stall_of_this_process_does_not_count_against_members() {
    let mut planner = ReplacementPlanner::default();
    observed_at(&mut planner, 0, &[1, 2, 3], &[1, 3, 4], 3);
    planner.reset_timeouts();
    assert_eq!(observed_at(&mut planner, 9_000, &[1, 2, 3], &[1, 3, 4], 3), None);
    assert!(observed_at(&mut planner, 10_200, &[1, 2, 3], &[1, 3, 4], 3).is_some());
}

#[test]
fn of_two_suspected_members_the_one_suspected_longest_is_replaced_first() {
    let mut planner = ReplacementPlanner::default();
    observed_at(&mut planner, 0, &[1, 2, 3, 4, 5], &[1, 2, 4, 5, 6, 7], 5);
    observed_at(&mut planner, 400, &[1, 2, 3, 4, 5], &[1, 4, 5, 6, 7], 5);
    let change = observed_at(&mut planner, 2_000, &[1, 2, 3, 4, 5], &[1, 4, 5, 6, 7], 5);
    assert_eq!(change, Some(MemberChange { remove: Some(node(3)), add: node(6) }));
    let change = observed_at(&mut planner, 2_001, &[1, 2, 4, 5, 6], &[1, 4, 5, 6, 7], 5);
    assert_eq!(change, Some(MemberChange { remove: Some(node(2)), add: node(7) }));
}

#[test]
fn a_group_that_is_short_grows_before_it_replaces() {
    let mut planner = ReplacementPlanner::default();
    observed_at(&mut planner, 0, &[1, 2, 3], &[1, 3, 4], 5);
    let change = observed_at(&mut planner, 5_000, &[1, 2, 3], &[1, 3, 4], 5);
    assert_eq!(change, Some(MemberChange { remove: None, add: node(4) }));
}

#[test]
fn a_member_that_one_shard_has_replaced_is_still_suspected_by_the_others() {
    let mut planner = ReplacementPlanner::default();
    let member_statuses = all_voting();
    let live = [1, 3, 4];
    for time in [0, 1_200, 1_600, 2_000] {
        // The owner of shard 0 has replaced member 2 by 1,600; the others still have it.
        let of_first: &[u8] = if time < 1_600 { &[1, 2, 3] } else { &[1, 3, 4] };
        planner.observe(ms(time), 0, &nodes(of_first), &nodes(&live));
        for shard in 1..SHARDS {
            planner.observe(ms(time), shard, &nodes(&[1, 2, 3]), &nodes(&live));
        }
    }
    let change = Some(MemberChange { remove: Some(node(2)), add: node(4) });
    for shard in 1..SHARDS {
        let plan = planned(&planner, 2_000, shard, (&[1, 2, 3], &live), 3, &member_statuses);
        assert_eq!(plan, change, "shard {shard}");
    }
    assert_eq!(planned(&planner, 2_000, 0, (&[1, 3, 4], &live), 3, &member_statuses), None);
}

#[test]
fn a_change_in_flight_blocks_its_own_shard_only() {
    let mut planner = ReplacementPlanner::default();
    let member_statuses = all_voting();
    let group: (&[u8], &[u8]) = (&[1, 2, 3], &[1, 3, 4]);
    for shard in [0, 1] {
        planner.observe(ms(0), shard, &nodes(group.0), &nodes(group.1));
    }
    planner.begin(0);
    assert_eq!(planned(&planner, 1_200, 0, group, 3, &member_statuses), None);
    assert!(planned(&planner, 1_200, 1, group, 3, &member_statuses).is_some());
    planner.end(0);
    assert!(planned(&planner, 1_200, 0, group, 3, &member_statuses).is_some());
}

#[test]
fn a_draining_member_is_replaced_at_once_and_only_by_a_spare() {
    let planner = ReplacementPlanner::default();
    let mut member_statuses = all_voting();
    member_statuses.record(node(2), MemberStatus::new(2, 0..SHARDS, true));
    assert_eq!(planned(&planner, 0, SHARD, (&[1, 2, 3], &[1, 2, 3]), 3, &member_statuses), None);
    let change = MemberChange { remove: Some(node(2)), add: node(4) };
    assert_eq!(planned(&planner, 0, SHARD, (&[1, 2, 3], &[1, 2, 3, 4]), 3, &member_statuses), Some(change));
}

#[test]
fn a_draining_spare_does_not_join() {
    let mut planner = ReplacementPlanner::default();
    let mut member_statuses = all_voting();
    planner.observe(ms(0), SHARD, &nodes(&[1, 2, 3]), &nodes(&[1, 3, 4, 5]));
    member_statuses.record(node(4), MemberStatus::new(4, 0..SHARDS, true));
    let change = MemberChange { remove: Some(node(2)), add: node(5) };
    let group: (&[u8], &[u8]) = (&[1, 2, 3], &[1, 3, 4, 5]);
    assert_eq!(planned(&planner, 1_200, SHARD, group, 3, &member_statuses), Some(change));
}

#[test]
fn a_spare_joins_only_once_it_can_vote_for_that_shard() {
    let mut planner = ReplacementPlanner::default();
    let mut member_statuses = all_voting();
    let group: (&[u8], &[u8]) = (&[1, 2, 3], &[1, 3, 4]);
    for shard in [0, 1] {
        planner.observe(ms(0), shard, &nodes(group.0), &nodes(group.1));
    }
    member_statuses.record(node(4), MemberStatus::new(4, [1], false));
    assert_eq!(
        planned(&planner, 9_000, 0, group, 3, &member_statuses),
        None,
        "its replica of shard 0 is still recovering"
    );
    assert!(planned(&planner, 9_000, 1, group, 3, &member_statuses).is_some());
}

#[test]
fn a_spare_of_unknown_status_does_not_join() {
    let mut planner = ReplacementPlanner::default();
    let group: (&[u8], &[u8]) = (&[1, 2, 3], &[1, 3, 4]);
    planner.observe(ms(0), SHARD, &nodes(group.0), &nodes(group.1));
    assert_eq!(planned(&planner, 9_000, SHARD, group, 3, &MemberStatuses::default()), None);
}

#[test]
fn two_draining_members_are_replaced_by_different_spares_and_never_by_each_other() {
    let planner = ReplacementPlanner::default();
    let mut member_statuses = all_voting();
    for draining in [2, 3] {
        member_statuses.record(node(draining), MemberStatus::new(u64::from(draining), 0..SHARDS, true));
    }
    let live = [1, 2, 3, 4, 5];
    let change = planned(&planner, 0, SHARD, (&[1, 2, 3], &live), 3, &member_statuses);
    assert_eq!(change, Some(MemberChange { remove: Some(node(2)), add: node(4) }));
    let change = planned(&planner, 1, SHARD, (&[1, 3, 4], &live), 3, &member_statuses);
    assert_eq!(change, Some(MemberChange { remove: Some(node(3)), add: node(5) }));
    assert_eq!(planned(&planner, 2, SHARD, (&[1, 4, 5], &live), 3, &member_statuses), None);
}
