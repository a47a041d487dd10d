//! Membership: rendezvous orders and the failure detector, on simulated time.

use lanegate_coordination::membership::{
    FailureDetector, Heartbeat, MembershipSettings, NodeId, Output, PeerState, monitored_peers, monitors_of,
    rendezvous_order, stable_hash,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(300);

fn address(index: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (index >> 8) as u8, index as u8), 7000)
}

fn nodes(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|index| address(index).into()).collect()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn detector(count: u16) -> FailureDetector {
    let settings = MembershipSettings::new(INTERVAL, usize::from(count));
    let mut detector = FailureDetector::new(settings, NodeId::new(address(0), 1), at(0));
    detector.set_nodes(at(0), &nodes(count));
    detector
}

fn heartbeat(index: u16, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat { sender: NodeId::new(address(index), incarnation), sequence }
}

/// Calls the detector every 100 ms up to `end`, with a heartbeat of each of `live_peers` every 300 ms. Returns the
/// changes of state.
fn run(
    detector: &mut FailureDetector,
    from: u64,
    end: u64,
    live_peers: &[u16],
) -> Vec<(u64, SocketAddr, PeerState)> {
    let mut changes = Vec::new();
    for now in (from..end).step_by(100) {
        let mut outputs = detector.on_tick(at(now));
        if now % 300 == 0 {
            let heartbeats = live_peers.iter().map(|index| heartbeat(*index, 1, now / 300 + 1));
            outputs.extend(
                heartbeats
                    .flat_map(|heartbeat| detector.on_heartbeat(at(now), &heartbeat))
                    .collect::<Vec<_>>(),
            );
        }
        changes.extend(outputs.into_iter().filter_map(|output| match output {
            Output::StateChanged { peer, state } => Some((now, peer, state)),
            _ => None,
        }));
    }
    changes
}

#[test]
fn the_hash_never_changes() {
    assert_eq!(stable_hash(b""), 0xefd0_1f60_ba99_2926);
    assert_eq!(stable_hash(b"a"), 0x82a2_a958_a9be_ce5b);
    assert_eq!(stable_hash(b"foobar"), 0x2c22_1949_22d1_672b);
}

#[test]
fn rendezvous_order_does_not_depend_on_the_order_of_the_list() {
    let mut listed = nodes(20);
    let order = rendezvous_order(b"shard-3", &listed);
    listed.reverse();
    assert_eq!(rendezvous_order(b"shard-3", &listed), order);
    assert_eq!(order.len(), 20);
}

#[test]
fn removing_a_node_does_not_reorder_the_others() {
    let listed = nodes(20);
    let order = rendezvous_order(b"shard-3", &listed);
    let fewer: Vec<_> = listed.into_iter().filter(|node| *node != order[4]).collect();
    let expected: Vec<_> = order.iter().copied().filter(|node| *node != order[4]).collect();
    assert_eq!(rendezvous_order(b"shard-3", &fewer), expected);
}

#[test]
fn shards_spread_evenly_over_the_nodes() {
    let listed = nodes(7);
    let mut counts = [0_u32; 7];
    for shard in 0_u32..7_000 {
        let first = rendezvous_order(&shard.to_be_bytes(), &listed)[0];
        counts[listed.iter().position(|node| *node == first).expect("the node is in the list")] += 1;
    }
    assert!(counts.iter().all(|count| (850..=1_150).contains(count)), "{counts:?}");
}

#[test]
fn each_of_four_hundred_nodes_has_its_monitors() {
    let listed = nodes(400);
    let mut monitors = vec![0; listed.len()];
    let mut most_peers = 0;
    for node in &listed {
        let peers = monitored_peers(*node, &listed, 3);
        most_peers = most_peers.max(peers.len());
        for peer in peers {
            assert!(monitors_of(peer, &listed, 3).contains(node));
            monitors[listed.binary_search(&peer).expect("the node is in the list")] += 1;
        }
    }
    assert!(monitors.iter().all(|count| *count == 3));
    assert!(most_peers <= 12, "{most_peers}");
}

#[test]
fn in_a_small_set_every_node_monitors_every_other() {
    let listed = nodes(3);
    for node in &listed {
        assert_eq!(monitored_peers(*node, &listed, 7).len(), 2);
    }
}

#[test]
fn a_peer_without_heartbeats_is_suspected_and_then_dead() {
    let mut detector = detector(3);
    run(&mut detector, 0, 6_000, &[1, 2]);
    let changes = run(&mut detector, 6_000, 10_000, &[2]);
    let peer = address(1).into();
    assert_eq!(changes, vec![(6_600, peer, PeerState::Suspect), (8_400, peer, PeerState::Dead)]);
    assert!(!detector.is_live(peer));
}

#[test]
fn a_peer_is_live_again_with_its_next_heartbeat() {
    let mut detector = detector(3);
    run(&mut detector, 0, 6_000, &[1, 2]);
    run(&mut detector, 6_000, 12_000, &[2]);
    let changes = run(&mut detector, 12_000, 12_200, &[1, 2]);
    assert_eq!(changes, vec![(12_000, address(1).into(), PeerState::Live)]);
}

#[test]
fn irregular_heartbeats_lengthen_the_timeout() {
    let mut detector = detector(2);
    let mut sequence = 0;
    let mut now = 0;
    for round in 0..40 {
        let gap = if round % 2 == 0 { 100 } else { 800 };
        for _ in 0..gap / 100 {
            now += 100;
            assert!(
                !detector.on_tick(at(now)).iter().any(|output| matches!(output, Output::StateChanged { .. }))
            );
        }
        sequence += 1;
        detector.on_heartbeat(at(now), &heartbeat(1, 1, sequence));
    }
    let changes = run(&mut detector, now + 100, now + 1_500, &[]);
    assert_eq!(changes, vec![]);
    let changes = run(&mut detector, now + 1_500, now + 3_100, &[]);
    assert_eq!(changes.first().map(|change| change.2), Some(PeerState::Suspect));
}

#[test]
fn a_suspended_process_suspects_no_peer_when_it_resumes() {
    let mut detector = detector(3);
    run(&mut detector, 0, 6_000, &[1, 2]);
    let changes = run(&mut detector, 60_000, 60_300, &[]);
    assert_eq!(changes, vec![]);
    let changes = run(&mut detector, 60_300, 66_000, &[1, 2]);
    assert_eq!(changes, vec![]);
}

#[test]
fn a_peer_that_died_while_this_process_was_suspended_is_noticed_later() {
    let mut detector = detector(3);
    run(&mut detector, 0, 6_000, &[1, 2]);
    let changes = run(&mut detector, 60_000, 64_000, &[2]);
    assert_eq!(changes.first().map(|change| (change.0, change.2)), Some((60_900, PeerState::Suspect)));
}

#[test]
fn a_new_incarnation_is_reported_and_heartbeats_of_the_old_one_are_ignored() {
    let mut detector = detector(2);
    let peer = address(1).into();
    detector.on_heartbeat(at(100), &heartbeat(1, 5, 9));
    let outputs = detector.on_heartbeat(at(200), &heartbeat(1, 6, 1));
    assert_eq!(outputs, vec![Output::Restarted { peer, incarnation: 6 }]);
    assert_eq!(detector.on_heartbeat(at(300), &heartbeat(1, 5, 10)), vec![]);
    assert_eq!(detector.incarnation(peer), Some(6));
}

#[test]
fn late_and_duplicate_heartbeats_do_not_keep_a_peer_live() {
    let mut detector = detector(2);
    detector.on_heartbeat(at(100), &heartbeat(1, 5, 9));
    let mut changes = Vec::new();
    for now in (200..2_000).step_by(100) {
        detector.on_heartbeat(at(now), &heartbeat(1, 5, 8 + now % 2));
        changes.extend(detector.on_tick(at(now)));
    }
    let suspected = Output::StateChanged { peer: address(1).into(), state: PeerState::Suspect };
    assert!(changes.contains(&suspected));
}

#[test]
fn heartbeats_go_to_the_monitors_and_set_the_next_wake() {
    let mut detector = detector(3);
    let outputs = detector.on_tick(at(0));
    let targets: Vec<_> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Send { to, heartbeat } => Some((*to, heartbeat.sequence)),
            _ => None,
        })
        .collect();
    assert_eq!(targets.len(), 2);
    assert!(targets.iter().all(|target| target.1 == 1));
    assert_eq!(detector.next_wake(), INTERVAL);
}

#[test]
fn the_first_live_node_follows_the_rendezvous_order() {
    let mut detector = detector(5);
    let order = rendezvous_order(b"shard-1", &nodes(5));
    assert_eq!(detector.first_live(b"shard-1"), order[0]);
    let others: Vec<u16> = (1..5).filter(|index| SocketAddr::from(address(*index)) != order[0]).collect();
    run(&mut detector, 0, 6_000, &others);
    let own: SocketAddr = address(0).into();
    let expected = if order[0] == own { order[0] } else { order[1] };
    assert_eq!(detector.first_live(b"shard-1"), expected);
}

#[test]
fn a_heartbeat_round_trips_and_other_bytes_are_rejected() {
    let sent = heartbeat(3, 77, 12);
    let bytes = sent.encode().expect("every heartbeat can be encoded");
    assert_eq!(Heartbeat::decode(&bytes).expect("an encoded heartbeat can be decoded"), sent);
    assert_eq!(bytes.len(), 26);
    assert!(Heartbeat::decode(&bytes[..25]).is_err());
    let longer = [bytes.as_slice(), &[0]].concat();
    assert!(Heartbeat::decode(&longer).is_err());
    assert!(Heartbeat::decode(b"GET / HTTP/1.1\r\n\r\n         ").is_err());
}
