//! The other controllers that this one knows, and its links to them.

use super::event::Event;
use super::links::keep_link;
use crate::link::Outbox;
use crate::message::{Hello, Message};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// How long a peer that nobody names any more is still dialled.
const UNNAMED_PATIENCE: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Peer {
    link: AbortHandle,
    outbox: Option<Outbox>,
    /// When the settings, the replica group or the peer itself named it last.
    named: Duration,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.link.abort();
    }
}

/// The other controllers.
#[derive(Debug)]
pub struct Peers {
    this: SocketAddr,
    link_port: u16,
    hello: Hello,
    events: mpsc::UnboundedSender<Event>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Knows nobody yet. `this` is the control address of this process; links are at `link_port`.
    pub fn new(this: SocketAddr, link_port: u16, hello: Hello, events: mpsc::UnboundedSender<Event>) -> Self {
        Peers { this, link_port, hello, events, peers: BTreeMap::new() }
    }

    /// Notes that `peer` is a controller. True if it was not known.
    pub fn name(&mut self, now: Duration, peer: SocketAddr) -> bool {
        if peer == self.this {
            return false;
        }
        if let Some(known) = self.peers.get_mut(&peer) {
            known.named = now;
            return false;
        }
        let address = SocketAddr::new(peer.ip(), self.link_port);
        let link = keep_link(peer, address, self.hello.clone(), self.events.clone());
        self.peers.insert(peer, Peer { link, outbox: None, named: now });
        true
    }

    /// Forgets peers whose link is down and that nobody has named for long. True if any was.
    pub fn forget(&mut self, now: Duration) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| peer.outbox.is_some() || now < peer.named + UNNAMED_PATIENCE);
        self.peers.len() != before
    }

    /// The link to `peer` is up.
    pub fn up(&mut self, peer: SocketAddr, outbox: Outbox) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.outbox = Some(outbox);
        }
    }

    /// The link to `peer` is down.
    pub fn down(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.outbox = None;
        }
    }

    /// Sends to one peer; a message for a peer without a link is lost.
    pub fn send(&self, peer: SocketAddr, message: &Message) {
        if let Some(outbox) = self.peers.get(&peer).and_then(|peer| peer.outbox.as_ref()) {
            outbox.message(message);
        }
    }

    /// Sends to every peer with a link.
    pub fn broadcast(&self, message: &Message) {
        let frame = message.frame();
        for outbox in self.peers.values().filter_map(|peer| peer.outbox.as_ref()) {
            outbox.send(frame.clone());
        }
    }

    /// Control addresses of all controllers known, this one included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        std::iter::once(self.this).chain(self.peers.keys().copied()).collect()
    }
}
