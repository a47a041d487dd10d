//! The feed to agents: a new reader, and the heartbeat that tells them of the quorum.

use crate::controller::{Controller, ControllerFault};
use crate::link::Outbox;
use crate::message::{Hello, Message};
use std::time::Duration;

/// Time between heartbeats of the feed.
pub(crate) const FEED_HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

impl Controller {
    pub(crate) fn send_feed_heartbeat(&mut self) {
        let (quorum, routers) = (self.is_trusted(), self.routers.count(self.now()));
        self.subscribers.heartbeat(quorum, routers);
    }

    /// Whether agents may rely on this controller: what it knows is current, and it is not about to end.
    fn is_trusted(&self) -> bool {
        let claims = self.has_fault(ControllerFault::AlwaysCurrent);
        (self.is_current() || claims) && !self.is_draining()
    }

    pub(crate) fn agent_up(&mut self, agent: u64, hello: &Hello, outbox: Outbox) {
        let send_feed_heartbeat = (self.is_trusted(), self.routers.count(self.now()));
        let controllers = self.controllers_message();
        let (endpoints, complete) = (&self.endpoints, self.complete);
        let snapshot = || {
            let mut messages = vec![Message::SnapshotBegin, controllers];
            messages.extend(endpoints.snapshot());
            messages.push(Message::SnapshotEnd { complete: u8::from(complete) });
            messages
        };
        self.subscribers.up(agent, hello, outbox, snapshot, send_feed_heartbeat);
    }

    pub(crate) fn agent_message(&mut self, agent: u64, message: Message) {
        match message {
            Message::Demand(demand) => {
                self.on_demand(&demand);
                self.peers.broadcast(&Message::Demand(demand));
            }
            Message::ConfigurationFetch(base) => self.subscribers.fetch(agent, base),
            _ => {}
        }
    }
}
