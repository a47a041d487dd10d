//! Majorities of the groups in force, and the groups reported with a confirmation.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::message::{Confirmation, GroupMembers};
use lanegate_coordination::register::{Group, Node, Value};
use std::net::{SocketAddr, SocketAddrV4};

fn node(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn groups(revision: u64, groups: &[&[u8]]) -> KnownGroups {
    let members = |group: &&[u8]| group.iter().map(|number| node(*number)).collect();
    KnownGroups { revision, groups: groups.iter().map(members).collect() }
}

fn majority(known: &KnownGroups, counted: &[u8]) -> bool {
    known.have_majority(|member| counted.iter().any(|number| node(*number) == member))
}

#[test]
fn more_than_half_of_one_group_is_needed() {
    let known = groups(1, &[&[1, 2, 3]]);
    assert!(!majority(&known, &[1]));
    assert!(!majority(&known, &[1, 4, 5, 6]), "others do not count");
    assert!(majority(&known, &[1, 3]));
    assert!(!majority(&groups(1, &[&[1, 2, 3, 4]]), &[1, 2]));
    assert!(majority(&groups(1, &[&[1]]), &[1]));
}

#[test]
fn while_members_change_more_than_half_of_both_groups_is_needed() {
    let known = groups(2, &[&[1, 2, 3], &[3, 4, 5]]);
    assert!(!majority(&known, &[1, 2]));
    assert!(!majority(&known, &[4, 5]));
    assert!(majority(&known, &[2, 3, 4]));
}

#[test]
fn there_is_no_majority_of_a_group_that_is_not_known() {
    assert!(!majority(&KnownGroups::default(), &[1, 2, 3, 4, 5]));
    assert!(!majority(&KnownGroups::of(None), &[1, 2, 3]));
}

#[test]
fn the_groups_of_a_value_survive_a_confirmation() {
    let address = |number| SocketAddrV4::new([10, 0, 0, number].into(), 7_000);
    let group = |numbers: &[u8]| Group::new(numbers.iter().map(|n| Node::from(address(*n))).collect());
    let value = Value {
        revision: 9,
        groups: vec![group(&[1, 2, 3]), group(&[2, 3, 4])],
        history: Vec::new(),
        state: bytes::Bytes::new(),
    };
    let known = KnownGroups::of(Some(&value));
    assert_eq!(known, groups(9, &[&[1, 2, 3], &[2, 3, 4]]));
    assert_eq!(KnownGroups::from_confirmation(&known.confirmation(5)), known);
    assert!(known.contains(node(1)) && known.contains(node(4)) && !known.contains(node(5)));
}

#[test]
fn an_unreadable_address_counts_as_a_member_that_never_confirms() {
    let members = GroupMembers { addresses: "10.0.0.1:7000 nonsense 10.0.0.3:7000".into() };
    let from_confirmation = KnownGroups::from_confirmation(&Confirmation::new(1, 2, vec![members]));
    assert!(!majority(&from_confirmation, &[1]));
    assert!(majority(&from_confirmation, &[1, 3]));
}
