//! Pins the outputs of the failure detector and the registry on random events, by digests.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use lanegate_coordination::membership::{
    FailureDetector, Heartbeat, MembershipSettings, NodeId, Output, PeerState, monitors_of, rendezvous_order,
};
use lanegate_coordination::registry::{
    FINAL_SEQUENCE, Registration, Registry, RegistryUpdate, RemovedIncarnation,
};
use lanegate_golden::{Digest, assert_digests};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 200;
const EVENTS: usize = 400;
const NODES: u16 = 12;
const INTERVAL: Duration = Duration::from_millis(300);

fn address(index: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, index as u8), 7_000)
}

fn add_address(digest: &mut Digest, address: SocketAddr) {
    digest.bytes(address.to_string().as_bytes());
}

fn add_output(digest: &mut Digest, output: &Output) {
    match output {
        Output::Send { to, heartbeat } => {
            digest.byte(0);
            add_address(digest, *to);
            digest.bytes(&heartbeat.encode().expect("every heartbeat can be encoded"));
        }
        Output::StateChanged { peer, state } => {
            digest.byte(1);
            add_address(digest, *peer);
            digest.byte(match state {
                PeerState::Live => 0,
                PeerState::Suspect => 1,
                PeerState::Dead => 2,
            });
        }
        Output::Restarted { peer, incarnation } => {
            digest.byte(2);
            add_address(digest, *peer);
            digest.number(*incarnation);
        }
    }
}

/// Plays random heartbeats, pauses of this process and changes of the known nodes.
fn membership_digest(seed: u64) -> u64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut digest = Digest::default();
    let mut now = Duration::ZERO;
    let settings = MembershipSettings::new(INTERVAL, random.random_range(1..=4));
    let mut detector = FailureDetector::new(settings, NodeId::new(address(0), 1), now);
    let mut count = NODES;
    let mut sequence = 0;
    for _ in 0..EVENTS {
        let longest_wait = if random.random_bool(0.02) { 3_000 } else { 60 };
        now += Duration::from_millis(random.random_range(0..=longest_wait));
        let outputs = match random.random_range(0..100) {
            0..40 => detector.on_tick(now),
            40..98 => {
                sequence += random.random_range(0..2);
                let incarnation = 1 + u64::from(random.random_bool(0.05));
                let sender = NodeId::new(address(random.random_range(1..NODES)), incarnation);
                detector.on_heartbeat(now, &Heartbeat { sender, sequence })
            }
            _ => {
                count = random.random_range(1..=NODES);
                let nodes: Vec<SocketAddr> = (0..count).map(|index| address(index).into()).collect();
                detector.set_nodes(now, &nodes);
                Vec::new()
            }
        };
        outputs.iter().for_each(|output| add_output(&mut digest, output));
        digest.time(detector.next_wake());
        add_address(&mut digest, detector.first_live(&seed.to_be_bytes()));
        digest.number(detector.live().count() as u64);
    }
    let nodes: Vec<SocketAddr> = (0..count).map(|index| address(index).into()).collect();
    let orders = [
        rendezvous_order(&seed.to_be_bytes(), &nodes),
        monitors_of(address(0).into(), &nodes, (seed % 5) as usize),
    ];
    orders.concat().into_iter().for_each(|address| add_address(&mut digest, address));
    digest.value()
}

#[test]
fn the_failure_detector_decides_as_before() {
    let digests: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (seed.to_string(), membership_digest(seed))).collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "membership", digests);
}

/// A registration of which only changes of the revision are reported to routers.
#[derive(Debug, Clone)]
struct Endpoint {
    service: String,
    address: SocketAddr,
    revision: u64,
}

impl Registration for Endpoint {
    fn service(&self) -> &str {
        &self.service
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn differs(&self, newer: &Self) -> bool {
        self.revision != newer.revision
    }
}

fn add_update(digest: &mut Digest, update: &RegistryUpdate) {
    match update {
        RegistryUpdate::Stale => digest.byte(0),
        RegistryUpdate::Refreshed => digest.byte(1),
        RegistryUpdate::Changed { replaced } => {
            digest.byte(2);
            for RemovedIncarnation { id, sequence } in replaced {
                digest.bytes(id.as_bytes());
                digest.number(*sequence);
            }
        }
    }
}

fn add_entries(digest: &mut Digest, registry: &Registry<Endpoint>) {
    for (id, entry) in registry.entries() {
        digest.bytes(id.as_bytes());
        digest.number(entry.registration.as_ref().map_or(0, |endpoint| endpoint.revision));
        digest.number(entry.sequence);
        digest.number(entry.heartbeat_sequence);
        digest.time(entry.last_heartbeat);
    }
}

/// Plays random registrations, heartbeats, removals and expiries.
fn registry_digest(seed: u64) -> u64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut digest = Digest::default();
    let mut registry: Registry<Endpoint> = Registry::default();
    let mut now = Duration::ZERO;
    for _ in 0..EVENTS {
        now += Duration::from_millis(random.random_range(0..200));
        let id = format!("incarnation-{}", random.random_range(0..10));
        let sequence = random.random_range(1..60);
        match random.random_range(0..12) {
            0..5 => {
                let endpoint = Endpoint {
                    service: format!("service-{}", random.random_range(0..3)),
                    address: address(random.random_range(0..6)).into(),
                    revision: random.random_range(1..4),
                };
                add_update(&mut digest, &registry.merge(now, &id, sequence, endpoint));
            }
            5..8 => registry.refresh(now, &id, sequence),
            8 => {
                let last = if random.random_bool(0.3) { FINAL_SEQUENCE } else { sequence };
                digest.byte(u8::from(registry.remove(now, &id, last)));
            }
            9 => {
                let expired = registry.expire(now, Duration::from_secs(4), |service| service != "service-2");
                for RemovedIncarnation { id, sequence } in expired {
                    digest.bytes(id.as_bytes());
                    digest.number(sequence);
                }
            }
            10 => registry.purge_tombstones(now, Duration::from_secs(6)),
            _ if random.random_bool(0.5) => registry.drop_entry(&id),
            _ => registry.restart_timeouts(now),
        }
        add_entries(&mut digest, &registry);
    }
    digest.value()
}

#[test]
fn the_registry_decides_as_before() {
    let digests: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (seed.to_string(), registry_digest(seed))).collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "registry", digests);
}
