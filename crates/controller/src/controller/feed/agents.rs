//! The feed to agents: a new reader, and the heartbeat that tells them of the quorum.

use crate::controller::{Controller, ControllerFault};
use crate::link::Outbox;
use crate::message::{Hello, Message};
use std::time::Duration;

/// Time between heartbeats of the feed.
pub(crate) const BEAT_PERIOD: Duration = Duration::from_millis(500);

impl Controller {
    pub(crate) fn beat(&mut self) {
        let (quorum, routers) = (self.is_trusted(), self.routers.count(self.now()));
        self.readers.beat(quorum, routers);
    }

    /// Whether agents may rely on this controller: what it knows is current, and it is not about to end.
    fn is_trusted(&self) -> bool {
        let claims = self.has_fault(ControllerFault::AlwaysCurrent);
        (self.is_current() || claims) && !self.is_leaving()
    }

    pub(crate) fn agent_up(&mut self, agent: u64, hello: &Hello, outbox: Outbox) {
        let beat = (self.is_trusted(), self.routers.count(self.now()));
        let controllers = self.controllers_message();
        let (endpoints, complete) = (&self.endpoints, self.complete);
        let snapshot = || {
            let mut messages = vec![Message::SnapshotBegin, controllers];
            messages.extend(endpoints.snapshot());
            messages.push(Message::SnapshotEnd { complete: u8::from(complete) });
            messages
        };
        self.readers.up(agent, hello, outbox, snapshot, beat);
    }

    pub(crate) fn agent_message(&mut self, agent: u64, message: Message) {
        match message {
            Message::Demand(demand) => {
                self.demand(&demand);
                self.peers.broadcast(&Message::Demand(demand));
            }
            Message::ConfigurationFetch(base) => self.readers.fetch(agent, base),
            _ => {}
        }
    }
}
