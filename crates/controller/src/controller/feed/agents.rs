//! The feed to agents: new subscribers, and the heartbeat that reports whether agents may trust this controller.

use crate::controller::feed::subscribers::FeedStatus;
use crate::controller::{Controller, ControllerFault};
use crate::link::Outbox;
use crate::message::{Hello, Message};
use std::time::Duration;

/// Time between heartbeats of the feed.
pub(crate) const FEED_HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

impl Controller {
    pub(crate) fn send_feed_heartbeat(&mut self) {
        let status = self.feed_status();
        self.subscribers.heartbeat(status);
    }

    fn feed_status(&self) -> FeedStatus {
        FeedStatus { is_trusted: self.is_trusted(), routers: self.routers.count(self.now()) }
    }

    /// Whether agents may rely on this controller: its configuration is current, and it is not draining.
    fn is_trusted(&self) -> bool {
        let always_current = self.has_fault(ControllerFault::AlwaysCurrent);
        (self.is_current() || always_current) && !self.is_draining()
    }

    pub(crate) fn agent_up(&mut self, agent: u64, hello: &Hello, outbox: Outbox) {
        let status = self.feed_status();
        let controllers = self.controllers_message();
        let (endpoints, complete) = (&self.endpoints, self.complete);
        let snapshot = || {
            let mut messages = vec![Message::SnapshotBegin, controllers];
            messages.extend(endpoints.snapshot());
            messages.push(Message::SnapshotEnd { complete: u8::from(complete) });
            messages
        };
        self.subscribers.connected(agent, hello, outbox, snapshot, status);
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
