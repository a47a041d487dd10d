//! Spread of replica groups over zones and regions.

use crate::controller::membership::failure_domains::{FailureDomains, Location};
use crate::controller::membership::member_status::MemberStatuses;
use crate::controller::membership::replacement::{GroupView, MemberChange, ReplacementPlanner, group_size};
use crate::message::MemberStatus;
use lanegate_config::settings::FaultTolerance;
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const SHARD: u8 = 0;
/// More exchanges than any group here can need.
const MAX_CHANGES: usize = 40;

fn node(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

/// Controllers 1 and on in these zones, each named as region and zone: the zone `r1-a` is in the region `r1`.
struct Fleet {
    failure_domains: FailureDomains,
    member_statuses: MemberStatuses,
    live: Vec<SocketAddr>,
    size: usize,
}

impl Fleet {
    fn new(tolerance: FaultTolerance, zones: &[&str]) -> Self {
        let mut failure_domains = FailureDomains::new(&tolerance);
        let mut member_statuses = MemberStatuses::default();
        for (index, zone) in zones.iter().enumerate() {
            let region = zone.split('-').next().unwrap_or_default();
            failure_domains.record(node(index + 1), Location::new(zone, region));
            member_statuses.record(node(index + 1), MemberStatus::new(1, [SHARD], false));
        }
        let live = (1..=zones.len()).map(node).collect();
        Fleet { failure_domains, member_statuses, live, size: group_size(&tolerance) }
    }

    fn plan(&self, group: &[SocketAddr]) -> Option<MemberChange> {
        let mut planner = ReplacementPlanner::default();
        planner.observe(Duration::ZERO, SHARD, group, &self.live);
        let view = GroupView {
            shard: SHARD,
            group,
            live: &self.live,
            member_statuses: &self.member_statuses,
            failure_domains: &self.failure_domains,
        };
        planner.plan(Duration::from_secs(60), view, self.size)
    }

    /// The group that the changes lead to, and their number.
    fn settle(&self, group: &[usize]) -> (Vec<SocketAddr>, usize) {
        let mut group: Vec<SocketAddr> = group.iter().map(|number| node(*number)).collect();
        for changes in 0..MAX_CHANGES {
            let Some(change) = self.plan(&group) else { return (group, changes) };
            group.retain(|member| Some(*member) != change.remove);
            group.push(change.add);
        }
        panic!("the changes of {group:?} do not end");
    }
}

fn tolerance(machines: u32, zones: u32, regions: u32) -> FaultTolerance {
    FaultTolerance { machines, zones, regions }
}

/// Two of three members stand in one zone and are lost with it: the configuration was gone for good (review/4).
#[test]
fn a_group_with_its_majority_in_one_zone_takes_a_spare_of_another_zone() {
    let fleet = Fleet::new(tolerance(1, 1, 0), &["r-a", "r-a", "r-b", "r-b", "r-c"]);
    let (group, changes) = fleet.settle(&[1, 2, 3]);
    assert_eq!(changes, 1);
    assert!(group.contains(&node(5)) && group.contains(&node(3)), "{group:?}");
    assert!(fleet.failure_domains.imbalance(&group).is_tolerated());
}

#[test]
fn a_replacement_that_left_two_members_in_one_zone_is_undone_once_a_spare_of_the_third_returns() {
    let mut fleet = Fleet::new(tolerance(1, 1, 0), &["r-a", "r-a", "r-b", "r-b", "r-c"]);
    fleet.live.retain(|member| *member != node(5));
    let mut planner = ReplacementPlanner::default();
    let group = [1, 3, 5].map(node);
    planner.observe(Duration::ZERO, SHARD, &group, &fleet.live);
    assert!(fleet.plan(&[1, 2, 3].map(node)).is_none(), "no spare of a third zone is there");
    fleet.live.push(node(5));
    assert!(fleet.settle(&[1, 2, 3]).0.contains(&node(5)));
}

#[test]
fn a_lost_member_is_replaced_by_a_spare_of_its_own_zone_before_one_with_a_lower_address() {
    let mut fleet = Fleet::new(tolerance(1, 1, 0), &["r-a", "r-b", "r-c", "r-a", "r-c"]);
    fleet.live.retain(|member| *member != node(3));
    let mut planner = ReplacementPlanner::default();
    let group = [1, 2, 3].map(node);
    planner.observe(Duration::ZERO, SHARD, &group, &fleet.live);
    let view = GroupView {
        shard: SHARD,
        group: &group,
        live: &fleet.live,
        member_statuses: &fleet.member_statuses,
        failure_domains: &fleet.failure_domains,
    };
    let change = planner.plan(Duration::from_secs(60), view, fleet.size);
    assert_eq!(change, Some(MemberChange { remove: Some(node(3)), add: node(5) }));
}

#[test]
fn zones_count_for_the_size_of_a_group_as_machines_do() {
    assert_eq!(group_size(&tolerance(1, 0, 0)), 3);
    assert_eq!(group_size(&tolerance(0, 1, 0)), 3);
    assert_eq!(group_size(&tolerance(1, 2, 0)), 5);
    assert_eq!(group_size(&tolerance(0, 0, 0)), 1);
}

#[test]
fn a_group_is_not_exchanged_while_a_member_cannot_vote_or_a_location_is_unknown() {
    let zones = ["r-a", "r-a", "r-b", "r-c"];
    let mut fleet = Fleet::new(tolerance(1, 1, 0), &zones);
    fleet.member_statuses.record(node(3), MemberStatus::new(2, [], false));
    assert_eq!(fleet.plan(&[1, 2, 3].map(node)), None);
    let mut fleet = Fleet::new(tolerance(1, 1, 0), &zones[..2]);
    fleet.live = (1..=4).map(node).collect();
    assert_eq!(fleet.plan(&[1, 2, 3].map(node)), None);
}

#[test]
fn without_a_tolerance_of_zones_the_spread_changes_nothing() {
    let fleet = Fleet::new(tolerance(1, 0, 0), &["r-a", "r-a", "r-b", "r-c"]);
    assert_eq!(fleet.plan(&[1, 2, 3].map(node)), None);
}

#[test]
fn regions_are_spread_as_zones_are() {
    let fleet = Fleet::new(tolerance(1, 0, 1), &["r1-a", "r1-b", "r1-c", "r2-a", "r3-a"]);
    let (group, changes) = fleet.settle(&[1, 2, 3]);
    assert_eq!(changes, 2);
    assert!(fleet.failure_domains.imbalance(&group).is_tolerated(), "{group:?}");
}

#[test]
fn a_location_is_read_as_it_is_written_and_addresses_are_none() {
    let location = Location::new("walvis harbour", "walvis");
    assert_eq!(Location::from_words(&location.to_words()), Some(Location::new("walvis_harbour", "walvis")));
    assert_eq!(Location::from_words("10.0.0.1:7000 10.0.0.2:7000"), None);
}

proptest! {
    /// Wherever the machines and the founding members are: the changes end, and the group survives the loss of a zone
    /// if any group of its size does.
    #[test]
    fn the_changes_end_with_a_group_that_survives_if_there_is_one(
        zones in prop::collection::vec(0_usize..5, 3..9),
        machines in 1_u32..3,
    ) {
        const NAMES: [&str; 5] = ["r-a", "r-b", "r-c", "r-d", "r-e"];
        let names: Vec<&str> = zones.iter().map(|zone| NAMES[*zone]).collect();
        let fleet = Fleet::new(tolerance(machines, 1, 0), &names);
        let (group, _) = fleet.settle(&[1, 2, 3]);
        if group.len() == fleet.size {
            // The best spread takes members from all zones in turn.
            let mut left: Vec<usize> =
                (0..NAMES.len()).map(|name| zones.iter().filter(|zone| **zone == name).count()).collect();
            let mut taken = vec![0; NAMES.len()];
            for _ in 0..fleet.size {
                let next = (0..NAMES.len()).filter(|zone| left[*zone] > 0).min_by_key(|zone| taken[*zone]);
                let zone = next.expect("as many machines as members");
                left[zone] -= 1;
                taken[zone] += 1;
            }
            let can_survive = taken.iter().max().is_some_and(|most| *most <= (fleet.size - 1) / 2);
            prop_assert_eq!(fleet.failure_domains.imbalance(&group).is_tolerated(), can_survive);
        }
    }
}
