//! Rendezvous hashing: every process computes the same order of nodes for a key, without communication.

use super::hash::{mix, stable_hash};
use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

/// `nodes` in their order of preference for `key`; the same in every process.
///
/// When a node is added or removed, the order of the others does not change.
pub fn rendezvous_order(key: &[u8], nodes: &[SocketAddr]) -> Vec<SocketAddr> {
    let key = stable_hash(key);
    let mut ranked: Vec<_> =
        nodes.iter().map(|node| (Reverse(weight(key, node_hash(node))), *node)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// The `count` nodes that monitor `node`: the first others in its rendezvous order.
pub fn monitors_of(node: SocketAddr, nodes: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut order = rendezvous_order(&node_key(&node), nodes);
    order.retain(|other| *other != node);
    order.truncate(count);
    order
}

/// The nodes that `this` monitors: those that have it among their `count` monitors.
///
/// The monitors are chosen for each monitored node, rather than the peers for each monitor. So every node has
/// `count` monitors, and monitors `count` others on average.
pub fn monitored_peers(this: SocketAddr, nodes: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable();
    nodes.dedup();
    let hashed: Vec<_> = nodes.into_iter().map(|node| (node_hash(&node), node)).collect();
    let own = (node_hash(&this), this);
    let is_monitored = |node: &&(u64, SocketAddr)| node.1 != this && is_monitor(own, **node, &hashed, count);
    hashed.iter().filter(is_monitored).map(|(_, node)| *node).collect()
}

/// Whether fewer than `count` nodes come before `this` in the rendezvous order of `node`.
fn is_monitor(
    this: (u64, SocketAddr),
    node: (u64, SocketAddr),
    nodes: &[(u64, SocketAddr)],
    count: usize,
) -> bool {
    let key = stable_hash(&node_key(&node.1));
    let own_rank = (Reverse(weight(key, this.0)), this.1);
    let others = nodes.iter().filter(|other| other.1 != node.1 && other.1 != this.1);
    let before = others.filter(|other| (Reverse(weight(key, other.0)), other.1) < own_rank);
    before.take(count).count() < count
}

/// Weight of a node for a key; the highest comes first.
fn weight(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
}

fn node_hash(node: &SocketAddr) -> u64 {
    stable_hash(&node_key(node))
}

/// The bytes of an address that are hashed: the octets, then the port in network byte order.
fn node_key(node: &SocketAddr) -> Vec<u8> {
    let mut key = match node.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    key.extend_from_slice(&node.port().to_be_bytes());
    key
}
