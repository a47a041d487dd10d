//! The registry merges registrations by sequence; late messages and messages out of order do no damage.

use lanegate_coordination::registry::{
    ExpiredIncarnation, FINAL_SEQUENCE, Registration, Registry, RegistryUpdate,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq)]
struct Endpoint {
    address: SocketAddr,
    draining: bool,
}

impl Registration for Endpoint {
    fn service(&self) -> &str {
        "tiles"
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
    fn differs(&self, newer: &Self) -> bool {
        self != newer
    }
}

fn at(port: u16) -> Endpoint {
    Endpoint { address: SocketAddr::from(([10, 0, 0, 1], port)), draining: false }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_late_heartbeat_does_not_undo_a_draining_notice() {
    let mut registry = Registry::default();
    let draining = Endpoint { draining: true, ..at(80) };
    registry.merge(ms(0), "i-1", 4, at(80));
    assert_eq!(
        registry.merge(ms(1), "i-1", 6, draining.clone()),
        RegistryUpdate::Changed { replaced: vec![] }
    );
    assert_eq!(registry.merge(ms(2), "i-1", 5, at(80)), RegistryUpdate::Stale);
    assert_eq!(registry.get("i-1").unwrap().registration, Some(draining));
}

#[test]
fn an_unchanged_heartbeat_only_refreshes_the_endpoint() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 1, at(80));
    assert_eq!(registry.merge(ms(900), "i-1", 2, at(80)), RegistryUpdate::Refreshed);
    assert_eq!(registry.expire(ms(1_500), ms(1_000), |_| true), vec![]);
    assert_eq!(
        registry.expire(ms(2_000), ms(1_000), |_| true),
        vec![ExpiredIncarnation { id: "i-1".to_owned(), sequence: 2 }]
    );
}

#[test]
fn an_expired_endpoint_returns_with_its_next_heartbeat_and_an_ended_one_does_not() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 1, at(80));
    registry.expire(ms(5_000), ms(1_000), |_| true);
    assert_eq!(registry.merge(ms(5_001), "i-1", 2, at(80)), RegistryUpdate::Changed { replaced: vec![] });
    assert!(registry.remove(ms(5_002), "i-1", FINAL_SEQUENCE));
    assert_eq!(registry.merge(ms(5_003), "i-1", 3, at(80)), RegistryUpdate::Stale);
}

#[test]
fn only_the_owner_of_a_shard_expires_its_endpoints() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 1, at(80));
    assert_eq!(registry.expire(ms(9_000), ms(1_000), |service| service != "tiles"), vec![]);
}

#[test]
fn a_new_incarnation_replaces_the_one_at_its_address_for_good() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 7, at(80));
    assert_eq!(
        registry.merge(ms(1), "i-2", 1, at(80)),
        RegistryUpdate::Changed { replaced: vec!["i-1".to_owned()] }
    );
    assert_eq!(registry.merge(ms(2), "i-1", 8, at(80)), RegistryUpdate::Stale);
}

#[test]
fn a_removal_before_any_registration_leaves_a_tombstone() {
    let mut registry = Registry::default();
    assert!(!registry.remove(ms(0), "i-1", FINAL_SEQUENCE));
    assert_eq!(registry.merge(ms(1), "i-1", 1, at(80)), RegistryUpdate::Stale);
    registry.purge_tombstones(ms(60_002), ms(60_000));
    assert!(registry.get("i-1").is_none());
}

proptest! {
    /// Replicas that receive the same registrations in any order, some of them twice, agree.
    #[test]
    fn order_does_not_matter(
        mut received in prop::collection::vec((1u64..20, any::<bool>()), 1..20),
        order in any::<u64>(),
    ) {
        received.sort_by_key(|(sequence, _)| *sequence);
        received.dedup_by_key(|(sequence, _)| *sequence);
        let merge = |registry: &mut Registry<Endpoint>, (sequence, draining): (u64, bool)| {
            registry.merge(ms(0), "i-1", sequence, Endpoint { draining, ..at(80) });
        };
        let mut forward = Registry::default();
        received.iter().for_each(|one| merge(&mut forward, *one));
        let mut shuffled = received.clone();
        shuffled.sort_by_key(|(sequence, _)| sequence.wrapping_mul(order | 1));
        let mut other = Registry::default();
        shuffled.iter().chain(&received).for_each(|one| merge(&mut other, *one));
        let newest = |registry: &Registry<Endpoint>| registry.get("i-1").unwrap().registration.clone();
        prop_assert_eq!(newest(&forward), newest(&other));
    }
}

#[test]
fn a_change_that_a_later_refresh_overtook_is_merged() {
    let mut registry = Registry::default();
    let draining = Endpoint { draining: true, ..at(80) };
    registry.merge(ms(0), "i-1", 5, at(80));
    registry.refresh(ms(1), "i-1", 7);
    assert_eq!(
        registry.merge(ms(2), "i-1", 6, draining.clone()),
        RegistryUpdate::Changed { replaced: vec![] }
    );
    assert_eq!(registry.get("i-1").unwrap().registration, Some(draining));
    assert!(!registry.remove(ms(3), "i-1", 6), "a later heartbeat was received");
    assert!(registry.remove(ms(3), "i-1", 7));
    assert_eq!(registry.merge(ms(4), "i-1", 7, at(80)), RegistryUpdate::Stale);
}
