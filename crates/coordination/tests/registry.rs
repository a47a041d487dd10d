//! The registry merges registrations by sequence; late messages and messages out of order do no damage.

use lanegate_coordination::registry::{
    FINAL_SEQUENCE, Registration, Registry, RegistryUpdate, RemovedIncarnation,
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

fn removed(id: &str, sequence: u64) -> RemovedIncarnation {
    RemovedIncarnation { id: id.to_owned(), sequence }
}

fn is_registered(registry: &Registry<Endpoint>, id: &str) -> bool {
    registry.get(id).is_some_and(|entry| entry.registration.is_some())
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
        vec![RemovedIncarnation { id: "i-1".to_owned(), sequence: 2 }]
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
        RegistryUpdate::Changed { replaced: vec![removed("i-1", 8)] }
    );
    assert_eq!(registry.merge(ms(2), "i-1", 8, at(80)), RegistryUpdate::Stale);
    assert!(is_registered(&registry, "i-2"));
}

/// All controllers had been restarted, and a late heartbeat of an incarnation that had ended removed the live one at
/// its address for good (review/5).
#[test]
fn a_live_incarnation_returns_after_a_late_heartbeat_of_an_earlier_one_at_its_address() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-live", 2, at(80));
    assert_eq!(
        registry.merge(ms(1), "i-former", 7, at(80)),
        RegistryUpdate::Changed { replaced: vec![removed("i-live", 3)] }
    );
    registry.merge(ms(1_200), "i-live", 3, at(80));
    assert_eq!(
        registry.merge(ms(2_400), "i-live", 4, at(80)),
        RegistryUpdate::Changed { replaced: vec![removed("i-former", 8)] }
    );
    assert!(is_registered(&registry, "i-live") && !is_registered(&registry, "i-former"));
    assert_eq!(registry.merge(ms(2_500), "i-former", 8, at(80)), RegistryUpdate::Stale);
}

#[test]
fn an_expired_incarnation_does_not_return_beside_the_next_one_at_its_address() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 7, at(80));
    registry.expire(ms(5_000), ms(1_000), |_| true);
    assert_eq!(registry.merge(ms(5_001), "i-2", 1, at(80)), RegistryUpdate::Changed { replaced: vec![] });
    assert_eq!(registry.merge(ms(5_002), "i-1", 8, at(80)), RegistryUpdate::Stale);
}

#[test]
fn an_incarnation_that_ended_for_good_stays_ended_whatever_registers_at_its_address() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 7, at(80));
    registry.remove(ms(1), "i-1", FINAL_SEQUENCE);
    registry.merge(ms(2), "i-2", 1, at(80));
    assert_eq!(registry.merge(ms(3), "i-1", u64::MAX - 1, at(80)), RegistryUpdate::Stale);
}

#[test]
fn an_incarnation_that_moves_to_an_address_replaces_the_one_there() {
    let mut registry = Registry::default();
    registry.merge(ms(0), "i-1", 7, at(80));
    registry.merge(ms(1), "i-2", 1, at(81));
    assert_eq!(
        registry.merge(ms(2), "i-2", 2, at(80)),
        RegistryUpdate::Changed { replaced: vec![removed("i-1", 8)] }
    );
    assert_eq!(registry.merge(ms(3), "i-2", 3, at(80)), RegistryUpdate::Refreshed);
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

/// What happens at one address: the live incarnation sends heartbeats to any of two replicas, and heartbeats of the one
/// that has ended arrive late. Replicas send one another what they merge and remove.
#[derive(Debug, Clone)]
enum Arrival {
    Live { replica: usize },
    Late { replica: usize, sequence: u64 },
}

fn arrival() -> impl Strategy<Value = Arrival> {
    prop_oneof![
        2 => (0..2_usize).prop_map(|replica| Arrival::Live { replica }),
        1 => (0..2_usize, 1..6_u64).prop_map(|(replica, sequence)| Arrival::Late { replica, sequence }),
    ]
}

/// Number of calls of the live endpoint after which it has to be registered everywhere.
const CALLS_TO_RETURN: usize = 4;

/// Two replicas whose messages are delivered at once.
#[derive(Default)]
struct Pair {
    replicas: [Registry<Endpoint>; 2],
}

impl Pair {
    fn receive(&mut self, now: Duration, replica: usize, id: &str, sequence: u64) {
        let update = self.replicas[replica].merge(now, id, sequence, at(80));
        if let RegistryUpdate::Changed { replaced } = update {
            self.receive(now, 1 - replica, id, sequence);
            replaced.into_iter().for_each(|removed| self.remove(now, 1 - replica, &removed));
        }
    }

    /// A replica that knows a later heartbeat contradicts the removal.
    fn remove(&mut self, now: Duration, replica: usize, removed: &RemovedIncarnation) {
        self.replicas[replica].remove(now, &removed.id, removed.sequence);
        let known = self.replicas[replica].get(&removed.id).expect("an entry or a tombstone");
        if known.registration.is_some() {
            let sequence = known.heartbeat_sequence;
            self.receive(now, 1 - replica, &removed.id, sequence);
        }
    }
}

proptest! {
    /// Whatever arrives late: once it has, the incarnation that goes on sending heartbeats is registered, alone, and
    /// at all replicas.
    #[test]
    fn the_incarnation_that_goes_on_sending_heartbeats_is_the_one_at_its_address(
        arrivals in prop::collection::vec(arrival(), 0..24),
        last in prop::collection::vec(0..2_usize, CALLS_TO_RETURN),
    ) {
        let mut pair = Pair::default();
        let mut live = 0;
        let calls = last.into_iter().map(|replica| Arrival::Live { replica });
        for (index, arrival) in arrivals.into_iter().chain(calls).enumerate() {
            let now = ms(index as u64);
            match arrival {
                Arrival::Live { replica } => {
                    live += 1;
                    pair.receive(now, replica, "i-live", live);
                }
                Arrival::Late { replica, sequence } => pair.receive(now, replica, "i-former", sequence),
            }
        }
        for registry in &pair.replicas {
            prop_assert!(is_registered(registry, "i-live"));
            prop_assert!(!is_registered(registry, "i-former"));
        }
    }
}
