//! The failure detector of one process.

use super::heartbeat::Heartbeat;
use super::node::NodeId;
use super::peer::{Peer, PeerState};
use super::rendezvous::{monitored_peers, monitors_of, rendezvous_order};
use super::settings::MembershipSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What the caller has to do, or is notified of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat to a node.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A monitored peer changed its state.
    StateChanged {
        /// The peer.
        peer: SocketAddr,
        /// Its new state.
        state: PeerState,
    },
    /// A monitored peer is a new incarnation: commitments of the old one no longer hold.
    Restarted {
        /// The peer.
        peer: SocketAddr,
        /// Its new incarnation.
        incarnation: u64,
    },
}

/// The failure detector of one process: the peers that it monitors, its own monitors, and which nodes are live.
///
/// All times are readings of the caller's monotonic clock.
#[derive(Debug)]
pub struct FailureDetector {
    settings: MembershipSettings,
    local_node: NodeId,
    nodes: Vec<SocketAddr>,
    /// Nodes that monitor this one; heartbeats go to them.
    monitors: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    sequence: u64,
    next_heartbeat: Duration,
    last_call: Duration,
}

impl FailureDetector {
    /// A process that knows only itself.
    pub fn new(settings: MembershipSettings, local_node: NodeId, now: Duration) -> Self {
        FailureDetector {
            settings,
            local_node,
            nodes: vec![local_node.address()],
            monitors: Vec::new(),
            peers: BTreeMap::new(),
            sequence: 0,
            next_heartbeat: now,
            last_call: now,
        }
    }

    /// Replaces the known nodes. This process is always one of them; the state of peers that remain is kept.
    pub fn set_nodes(&mut self, now: Duration, nodes: &[SocketAddr]) {
        self.detect_suspension(now);
        let local_address = self.local_node.address();
        self.nodes = nodes.to_vec();
        self.nodes.push(local_address);
        self.nodes.sort_unstable();
        self.nodes.dedup();
        self.monitors = monitors_of(local_address, &self.nodes, self.settings.monitors);
        let monitored = monitored_peers(local_address, &self.nodes, self.settings.monitors);
        self.peers.retain(|address, _| monitored.contains(address));
        for address in monitored {
            self.peers.entry(address).or_insert_with(|| Peer::new(now, &self.settings));
        }
    }

    /// Processes a heartbeat. One from a node that is not monitored is ignored.
    pub fn on_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> Vec<Output> {
        self.detect_suspension(now);
        let address = heartbeat.sender.address();
        let Some(peer) = self.peers.get_mut(&address) else { return Vec::new() };
        let Some(effect) = peer.on_heartbeat(now, heartbeat) else { return Vec::new() };
        let mut outputs = Vec::new();
        if effect.restarted {
            outputs.push(Output::Restarted { peer: address, incarnation: heartbeat.sender.incarnation });
        }
        if effect.state_changed {
            outputs.push(Output::StateChanged { peer: address, state: PeerState::Live });
        }
        outputs
    }

    /// Sends heartbeats that are due and updates the state of each peer. To be called at
    /// [`FailureDetector::next_wake`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<Output> {
        self.detect_suspension(now);
        let mut outputs = self.due_heartbeats(now);
        for (address, peer) in &mut self.peers {
            if let Some(state) = peer.on_tick(now, &self.settings) {
                outputs.push(Output::StateChanged { peer: *address, state });
            }
        }
        outputs
    }

    /// When [`FailureDetector::on_tick`] is due next.
    pub fn next_wake(&self) -> Duration {
        let changes = self.peers.values().filter_map(|peer| peer.next_change(&self.settings));
        changes.min().map_or(self.next_heartbeat, |change| change.min(self.next_heartbeat))
    }

    /// State of a monitored peer; `None` for nodes that others monitor.
    pub fn state(&self, peer: SocketAddr) -> Option<PeerState> {
        self.peers.get(&peer).map(|peer| peer.state)
    }

    /// Whether a known node is live: this process, a live peer, or a node that only others monitor.
    pub fn is_live(&self, node: SocketAddr) -> bool {
        let known = self.nodes.binary_search(&node).is_ok();
        known && self.state(node).is_none_or(|state| state == PeerState::Live)
    }

    /// The incarnation of a monitored peer, once a heartbeat of it was received.
    pub fn incarnation(&self, peer: SocketAddr) -> Option<u64> {
        self.peers.get(&peer)?.incarnation
    }

    /// The live nodes, this process included, in the order of their addresses.
    pub fn live(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.nodes.iter().copied().filter(|node| self.is_live(*node))
    }

    /// The first live node in the rendezvous order of `key`, this process included.
    pub fn first_live(&self, key: &[u8]) -> SocketAddr {
        let order = rendezvous_order(key, &self.nodes);
        order.into_iter().find(|node| self.is_live(*node)).unwrap_or(self.local_node.address())
    }

    /// If this process itself was suspended, missing heartbeats are no evidence against the peers: their timeouts
    /// restart.
    fn detect_suspension(&mut self, now: Duration) {
        let was_suspended = now.saturating_sub(self.last_call) > self.settings.suspension_threshold;
        self.last_call = self.last_call.max(now);
        if !was_suspended {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.restart_timeout(now);
        }
    }

    fn due_heartbeats(&mut self, now: Duration) -> Vec<Output> {
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.settings.heartbeat_interval;
        self.sequence += 1;
        let heartbeat = Heartbeat { sender: self.local_node, sequence: self.sequence };
        self.monitors.iter().map(|to| Output::Send { to: *to, heartbeat }).collect()
    }
}
