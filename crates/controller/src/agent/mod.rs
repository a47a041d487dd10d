//! The agent on a router's machine: maintains links to controllers, and forwards their feed to the router over
//! loopback.

#[cfg(test)]
mod agent_test;
mod environment;
mod metrics;
mod process;
pub mod sources;
pub mod unconfirmed;

pub(crate) use environment::Environment;
pub use process::run_agent;

use crate::configuration_feed::publisher::ConfigurationPublisher;
use crate::link::Outbox;
use crate::message::{ConfigurationVersion, FeedHeartbeat, Hello, Message, Role};
use crate::subscription::SourceEvent;
use crate::view::View;
use lanegate_config::settings::Settings;
use lanegate_invariants::Violations;
use metrics::{Counters, LastHeartbeat};
use sources::Sources;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use unconfirmed::UnconfirmedConfigurations;

/// Interval at which the selection of sources is reviewed, besides the reviews that events cause.
pub(crate) const SOURCE_REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// Minimum interval between reads of the settings file while no source is trusted.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_000);
/// A link to a controller is closed if nothing is received for this long. The heartbeat period of controllers is
/// several times shorter.
pub(crate) const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Configurations retained as bases of deltas. Few suffice, as routers are at most some tenths of a second behind.
const RETAINED_CONFIGURATIONS: usize = 4;

/// Address on which an agent accepts its router: the last port of the range, as controllers accept links on the
/// first. Agents with different last ports can share a machine.
pub fn loopback_address(settings: &Settings) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, settings.port_range.1))
}

/// Address on which the controller with the control interface `control` accepts links.
pub fn link_address(control: SocketAddr, settings: &Settings) -> SocketAddr {
    SocketAddr::new(control.ip(), settings.port_range.0)
}

/// An event of the link to a router.
#[derive(Debug)]
pub(crate) enum SubscriberEvent {
    Up { subscriber: u64, outbox: Outbox },
    Message { subscriber: u64, message: Message },
    Down { subscriber: u64 },
}

/// The state machine of an agent. A single task owns it; no method blocks, and its [`Environment`] provides the clock
/// and the links.
pub(crate) struct Agent {
    settings: Settings,
    environment: Box<dyn Environment>,
    incarnation: u64,
    view: View,
    sources: Sources,
    unconfirmed: UnconfirmedConfigurations,
    outboxes: BTreeMap<SocketAddr, Outbox>,
    subscribers: BTreeMap<u64, Outbox>,
    configurations: ConfigurationPublisher,
    /// The heartbeat last sent to routers.
    notified_heartbeat: Option<FeedHeartbeat>,
    settings_read_at: Duration,
    /// The newest heartbeat of each source whose link is up.
    heartbeats: BTreeMap<SocketAddr, LastHeartbeat>,
    counters: Counters,
    violations: Violations,
}

impl Agent {
    /// An agent without links to sources. `incarnation` is drawn at random at each start of the process.
    pub(crate) fn new(settings: Settings, incarnation: u64, environment: Box<dyn Environment>) -> Self {
        Agent {
            settings,
            environment,
            incarnation,
            view: View::default(),
            sources: Sources::default(),
            unconfirmed: UnconfirmedConfigurations::default(),
            outboxes: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            configurations: ConfigurationPublisher::with_capacity(RETAINED_CONFIGURATIONS),
            notified_heartbeat: None,
            settings_read_at: Duration::ZERO,
            heartbeats: BTreeMap::new(),
            counters: Counters::default(),
            violations: Violations::default(),
        }
    }

    fn now(&self) -> Duration {
        self.environment.now()
    }

    /// Handles an event of the link to a source.
    pub(crate) fn on_source_event(&mut self, event: SourceEvent) {
        match event {
            SourceEvent::Up { source, outbox } => {
                self.outboxes.insert(source, outbox);
                self.counters.links_started += 1;
            }
            SourceEvent::Message { source, message } => self.on_source_message(source, message),
            SourceEvent::Down { source } => {
                self.counters.links_ended += 1;
                self.heartbeats.remove(&source);
                self.outboxes.remove(&source);
                self.environment.unfollow(source);
                self.view.source_lost(self.now(), source);
                self.unconfirmed.on_source_lost(source);
                self.sources.link_down(self.now(), source);
                self.review_sources();
                self.notify_heartbeat();
            }
        }
    }

    fn on_source_message(&mut self, source: SocketAddr, message: Message) {
        if !self.outboxes.contains_key(&source) {
            // The message was still queued when its link was closed.
            return;
        }
        let heartbeat = match &message {
            Message::FeedHeartbeat(heartbeat) => {
                self.heartbeats.insert(source, LastHeartbeat { at: self.now(), offset: heartbeat.offset });
                Some(heartbeat.quorum == 1)
            }
            _ => None,
        };
        let trusted = self.sources.is_trusted(source);
        let known = self.view.configuration().is_some();
        let Some(message) = self.unconfirmed.filter(self.now(), source, message, trusted || known) else {
            return;
        };
        self.receive(source, message);
        if let Some(quorum) = heartbeat {
            let changed = self.sources.report_quorum(source, quorum);
            self.notify_heartbeat();
            if quorum {
                self.apply_withheld(source);
            }
            if changed {
                self.review_sources();
            }
        }
    }

    /// Applies the withheld configuration of a source that is now trusted.
    fn apply_withheld(&mut self, source: SocketAddr) {
        if let Some(committed) = self.unconfirmed.take(source) {
            self.on_source_message(source, Message::CommittedConfiguration(committed));
        }
    }

    /// Applies the newest withheld configuration once
    /// [`WITHHOLD_LIMIT`](unconfirmed::WITHHOLD_LIMIT) has passed without a trusted source.
    fn release_withheld(&mut self) {
        if let Some((source, committed)) = self.unconfirmed.overdue(self.now()) {
            log::warn!(
                "no source has quorum contact; applying unconfirmed configuration revision={}",
                committed.revision
            );
            self.receive(source, Message::CommittedConfiguration(committed));
        }
    }

    /// Merges a message into the view, and publishes the resulting changes to routers.
    fn receive(&mut self, source: SocketAddr, message: Message) {
        let mut events = Vec::new();
        self.view.receive(self.now(), source, message, &mut events);
        events.into_iter().for_each(|message| self.publish(message));
    }

    /// Publishes a change to routers. A configuration is only announced; routers fetch it.
    fn publish(&mut self, message: Message) {
        let message = match message {
            Message::CommittedConfiguration(committed) => self.configurations.publish(committed),
            message => Some(message),
        };
        if let Some(message) = message {
            self.broadcast(&message);
        }
    }

    /// Time at which [`Agent::fetch`] must be called next; `None` while there is nothing to fetch.
    pub(crate) fn next_fetch(&self) -> Option<Duration> {
        if self.awaits_trusted_source() { None } else { self.view.next_wake(self.now()) }
    }

    /// Requests a newer configuration if one is known and a fetch is due.
    pub(crate) fn fetch(&mut self) {
        if self.awaits_trusted_source() {
            return;
        }
        let Some((source, fetch)) = self.view.fetch(self.now(), self.sources.preferred()) else { return };
        if let Some(outbox) = self.outboxes.get(&source) {
            outbox.message(&fetch);
        }
    }

    /// Whether a fetched configuration would only be withheld, because none is in use and no source is trusted.
    fn awaits_trusted_source(&self) -> bool {
        self.view.configuration().is_none()
            && self.sources.has_no_trusted()
            && self.unconfirmed.has_withheld()
    }

    /// Sends routers the number of live routers and whether any source has quorum contact, if either has changed.
    fn notify_heartbeat(&mut self) {
        let heartbeat = self.heartbeat();
        if self.notified_heartbeat != Some(heartbeat) {
            self.notified_heartbeat = Some(heartbeat);
            self.broadcast(&Message::FeedHeartbeat(heartbeat));
        }
    }

    fn heartbeat(&self) -> FeedHeartbeat {
        let quorum = u8::from(!self.sources.has_no_trusted());
        FeedHeartbeat { quorum, source: self.incarnation, offset: 0, routers: self.view.routers() }
    }

    fn broadcast(&mut self, message: &Message) {
        let frame = message.frame();
        self.subscribers.retain(|_, outbox| outbox.send(frame.clone()));
    }

    /// Handles an event of the link to a router.
    pub(crate) fn on_subscriber_event(&mut self, event: SubscriberEvent) {
        match event {
            SubscriberEvent::Up { subscriber, outbox } => {
                for message in self.view.snapshot() {
                    outbox.message(&message);
                }
                if let Some(announcement) = self.configurations.announcement() {
                    outbox.message(&announcement);
                }
                outbox.message(&Message::FeedHeartbeat(self.heartbeat()));
                self.subscribers.insert(subscriber, outbox);
            }
            SubscriberEvent::Message { message: message @ Message::Demand(_), .. } => {
                self.forward_demand(&message)
            }
            SubscriberEvent::Message { subscriber, message: Message::ConfigurationFetch(base) } => {
                self.answer_fetch(subscriber, base);
            }
            SubscriberEvent::Message { .. } => {}
            SubscriberEvent::Down { subscriber } => {
                self.subscribers.remove(&subscriber);
            }
        }
    }

    fn answer_fetch(&mut self, subscriber: u64, base: ConfigurationVersion) {
        let Some(frame) = self.configurations.answer(base) else { return };
        if let Some(outbox) = self.subscribers.get(&subscriber) {
            outbox.send(frame);
        }
    }

    fn forward_demand(&self, message: &Message) {
        let outbox = self.sources.preferred().and_then(|source| self.outboxes.get(&source));
        if let Some(outbox) = outbox {
            outbox.message(message);
        }
    }

    /// Opens and closes links to controllers according to the selection of sources.
    pub(crate) fn review_sources(&mut self) {
        let now = self.now();
        self.release_withheld();
        if self.sources.has_no_trusted() && now > self.settings_read_at + SETTINGS_PERIOD {
            self.read_settings();
        }
        let known: BTreeSet<SocketAddr> = self.known_controllers();
        let plan = self.sources.plan(now, &self.settings.node_name, &known);
        for source in plan.start {
            let hello = self.hello(source);
            self.environment.follow(source, hello);
        }
        for source in plan.stop {
            self.heartbeats.remove(&source);
            self.outboxes.remove(&source);
            self.view.source_lost(now, source);
            self.unconfirmed.on_source_lost(source);
            self.environment.unfollow(source);
        }
    }

    fn known_controllers(&self) -> BTreeSet<SocketAddr> {
        let control = self.settings.seeds.iter().chain(self.view.controllers());
        control.map(|address| link_address(*address, &self.settings)).collect()
    }

    /// Reads the settings file again, as its seeds may have changed since the process started.
    pub(crate) fn read_settings(&mut self) {
        self.settings_read_at = self.now();
        match self.environment.read_settings() {
            Ok(settings) => self.settings.seeds = settings.seeds,
            Err(findings) => log::warn!("settings not reloaded error={findings}"),
        }
    }

    fn hello(&self, source: SocketAddr) -> Hello {
        let position = self.view.position(source);
        Hello {
            role: Role::Agent,
            name: self.settings.node_name.as_str().into(),
            control_address: "".into(),
            incarnation: self.incarnation,
            source: position.source,
            offset: position.offset,
        }
    }
}
