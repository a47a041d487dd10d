//! The failure detector of one process.

use super::heartbeat::Heartbeat;
use super::node::NodeId;
use super::peer::Peer;
use super::rendezvous::{monitored_peers, monitors_of, rendezvous_order};
use super::settings::MembershipSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What this process thinks of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Heard within its timeout, or new and within its first timeout.
    Live,
    /// Silent for longer than its heartbeats allow.
    Suspect,
    /// Silent for so long that it is taken to be gone; a heartbeat makes it live again.
    Dead,
}

/// What the caller has to do or to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Send this heartbeat to that node.
    Send { to: SocketAddr, heartbeat: Heartbeat },
    /// A monitored peer changed its state.
    StateChanged { peer: SocketAddr, state: PeerState },
    /// A monitored peer came back as a new life: what the old one promised is void.
    Restarted { peer: SocketAddr, incarnation: u64 },
}

/// The failure detector of one process: whom it monitors, who monitors it, and who is live.
#[derive(Debug)]
pub struct FailureDetector {
    settings: MembershipSettings,
    this: NodeId,
    nodes: Vec<SocketAddr>,
    /// Nodes that monitor this one and get its heartbeats.
    monitors: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    sequence: u64,
    next_heartbeat: Duration,
    last_call: Duration,
}

impl FailureDetector {
    /// A process that knows only itself.
    pub fn new(settings: MembershipSettings, this: NodeId, now: Duration) -> Self {
        FailureDetector {
            settings,
            this,
            nodes: vec![this.address()],
            monitors: Vec::new(),
            peers: BTreeMap::new(),
            sequence: 0,
            next_heartbeat: now,
            last_call: now,
        }
    }

    /// Replaces the nodes that are known (with or without this one); what is known of those that stay is kept.
    pub fn set_nodes(&mut self, now: Duration, nodes: &[SocketAddr]) {
        self.detect_local_pause(now);
        let this = self.this.address();
        self.nodes = nodes.to_vec();
        self.nodes.push(this);
        self.nodes.sort_unstable();
        self.nodes.dedup();
        self.monitors = monitors_of(this, &self.nodes, self.settings.monitors);
        let monitored = monitored_peers(this, &self.nodes, self.settings.monitors);
        self.peers.retain(|address, _| monitored.contains(address));
        for address in monitored {
            self.peers.entry(address).or_insert_with(|| Peer::new(now, &self.settings));
        }
    }

    /// Takes in a heartbeat; one from a node that is not monitored changes nothing.
    pub fn on_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> Vec<Output> {
        self.detect_local_pause(now);
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

    /// Sends what is due and judges the silence of each peer; to be called at [`FailureDetector::next_wake`].
    pub fn on_tick(&mut self, now: Duration) -> Vec<Output> {
        self.detect_local_pause(now);
        let mut outputs = self.due_heartbeats(now);
        for (address, peer) in &mut self.peers {
            if let Some(state) = peer.on_tick(now, &self.settings) {
                outputs.push(Output::StateChanged { peer: *address, state });
            }
        }
        outputs
    }

    /// When [`FailureDetector::on_tick`] is to be called next.
    pub fn next_wake(&self) -> Duration {
        let changes = self.peers.values().filter_map(|peer| peer.next_change(&self.settings));
        changes.min().map_or(self.next_heartbeat, |change| change.min(self.next_heartbeat))
    }

    /// State of a monitored peer; `None` for nodes that others monitor.
    pub fn state(&self, peer: SocketAddr) -> Option<PeerState> {
        self.peers.get(&peer).map(|peer| peer.state)
    }

    /// Whether a known node may be counted on: this process, or a node that nothing speaks against.
    pub fn is_live(&self, node: SocketAddr) -> bool {
        let known = self.nodes.binary_search(&node).is_ok();
        known && self.state(node).is_none_or(|state| state == PeerState::Live)
    }

    /// The known life of a monitored peer, once it has been heard.
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
        order.into_iter().find(|node| self.is_live(*node)).unwrap_or(self.this.address())
    }

    /// After a pause of this process itself, silence says nothing of the peers: all get a fresh timeout.
    fn detect_local_pause(&mut self, now: Duration) {
        let paused = now.saturating_sub(self.last_call) > self.settings.local_pause_threshold;
        self.last_call = self.last_call.max(now);
        if !paused {
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
        let heartbeat = Heartbeat { sender: self.this, sequence: self.sequence };
        self.monitors.iter().map(|to| Output::Send { to: *to, heartbeat }).collect()
    }
}
