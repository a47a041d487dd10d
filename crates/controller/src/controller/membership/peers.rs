//! The known peers (other controllers), and the outgoing queues of their links.

use crate::link::Outbox;
use crate::message::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a peer is retained, and redialled, after it was last named.
const UNNAMED_PEER_RETENTION: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Peer {
    outbox: Option<Outbox>,
    /// When the settings, a replica group, another controller or the peer itself last named it.
    last_named: Duration,
}

/// The other controllers.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: SocketAddr,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// No peers yet. `own_address` is the control address of this process.
    pub(crate) fn new(own_address: SocketAddr) -> Self {
        Peers { own_address, peers: BTreeMap::new() }
    }

    /// Records that a controller exists at `peer`. Returns whether it is new, in which case it needs a link.
    pub(crate) fn observe(&mut self, now: Duration, peer: SocketAddr) -> bool {
        if peer == self.own_address {
            return false;
        }
        if let Some(known) = self.peers.get_mut(&peer) {
            known.last_named = now;
            return false;
        }
        self.peers.insert(peer, Peer { outbox: None, last_named: now });
        true
    }

    /// Removes and returns peers whose link is down and that have not been named for long.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<SocketAddr> {
        let is_gone = |peer: &Peer| peer.outbox.is_none() && now >= peer.last_named + UNNAMED_PEER_RETENTION;
        let expired: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| is_gone(peer)).map(|(address, _)| *address).collect();
        for peer in &expired {
            self.peers.remove(peer);
        }
        expired
    }

    /// The link to `peer` is up.
    pub(crate) fn link_up(&mut self, peer: SocketAddr, outbox: Outbox) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.outbox = Some(outbox);
        }
    }

    /// The link to `peer` is down.
    pub(crate) fn link_down(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.outbox = None;
        }
    }

    /// Sends to one peer; a message for a peer without a link is lost.
    pub(crate) fn send(&self, peer: SocketAddr, message: &Message) {
        if let Some(outbox) = self.peers.get(&peer).and_then(|peer| peer.outbox.as_ref()) {
            outbox.message(message);
        }
    }

    /// Whether a controller at `peer` is known.
    pub(crate) fn is_known(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Whether there is a link to `peer`, or it is this controller.
    pub(crate) fn is_linked(&self, peer: SocketAddr) -> bool {
        peer == self.own_address || self.peers.get(&peer).is_some_and(|peer| peer.outbox.is_some())
    }

    /// The peers with a link.
    pub(crate) fn linked(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().filter(|(_, peer)| peer.outbox.is_some()).map(|(address, _)| *address)
    }

    /// Sends to every peer with a link.
    pub(crate) fn broadcast(&self, message: &Message) {
        let frame = message.frame();
        for outbox in self.peers.values().filter_map(|peer| peer.outbox.as_ref()) {
            outbox.send(frame.clone());
        }
    }

    /// Control addresses of all controllers known, this one included.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        std::iter::once(self.own_address).chain(self.peers.keys().copied()).collect()
    }
}
