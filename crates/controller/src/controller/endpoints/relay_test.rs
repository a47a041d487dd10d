//! To which peers updates are relayed, and for how long.

use crate::controller::endpoints::relay::{RELAY_TIME, RelayTargets};
use std::net::SocketAddr;
use std::time::Duration;

const CONTRADICTED: Duration = Duration::from_secs(100);

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

#[test]
fn nobody_is_relayed_to_before_a_contradiction() {
    assert_eq!(RelayTargets::default().targets(CONTRADICTED, peer(1)), vec![]);
}

#[test]
fn a_contradicted_peer_is_relayed_to_for_a_while() {
    let mut relays = RelayTargets::default();
    relays.contradicted(CONTRADICTED, peer(2));
    let last = CONTRADICTED + RELAY_TIME - Duration::from_millis(1);
    assert_eq!(relays.targets(CONTRADICTED, peer(1)), vec![peer(2)]);
    assert_eq!(relays.targets(last, peer(1)), vec![peer(2)]);
    assert_eq!(relays.targets(CONTRADICTED + RELAY_TIME, peer(1)), vec![]);
}

#[test]
fn another_contradiction_prolongs_the_relay() {
    let mut relays = RelayTargets::default();
    relays.contradicted(CONTRADICTED, peer(2));
    relays.contradicted(CONTRADICTED + RELAY_TIME / 2, peer(2));
    assert_eq!(relays.targets(CONTRADICTED + RELAY_TIME, peer(1)), vec![peer(2)]);
}

#[test]
fn updates_are_not_relayed_back_to_their_source() {
    let mut relays = RelayTargets::default();
    relays.contradicted(CONTRADICTED, peer(2));
    relays.contradicted(CONTRADICTED, peer(3));
    assert_eq!(relays.targets(CONTRADICTED, peer(2)), vec![peer(3)]);
}
