//! The agent beside a router: keeps links to the control plane, and feeds the router over loopback.

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

/// How often the choice of sources is reviewed when nothing else happens.
pub(crate) const SOURCE_REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// How often the settings file is read again while no controller can be trusted.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_000);
/// The link to a controller that sends nothing for so long is closed; its heartbeat period is several times shorter.
pub(crate) const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Configurations retained as bases of deltas: routers are some tenths of a second behind at most.
const RETAINED_CONFIGURATIONS: usize = 4;

/// Address on which an agent feeds its router: the last port of the range, as the first is where controllers
/// have their links. Agents with different last ports can share a machine.
pub fn loopback_address(settings: &Settings) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, settings.port_range.1))
}

/// Address of the links of the controller whose control interface is at `control`.
pub fn link_address(control: SocketAddr, settings: &Settings) -> SocketAddr {
    SocketAddr::new(control.ip(), settings.port_range.0)
}

/// What reaches the agent from routers.
#[derive(Debug)]
pub(crate) enum SubscriberEvent {
    Up { subscriber: u64, outbox: Outbox },
    Message { subscriber: u64, message: Message },
    Down { subscriber: u64 },
}

/// One agent. All of its state belongs to one task; nothing in it waits, and its clock and links are those of
/// its [`Environment`].
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
    /// The heartbeat that routers were sent last.
    notified_heartbeat: Option<FeedHeartbeat>,
    settings_read_at: Duration,
    /// The newest heartbeat of each source whose link is up.
    heartbeats: BTreeMap<SocketAddr, LastHeartbeat>,
    counters: Counters,
    violations: Violations,
}

impl Agent {
    /// An agent that follows nobody yet. `incarnation` is drawn at random at each start of the process.
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
            // Left over from a link that was given up.
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

    /// A source is trusted now: its withheld configuration can be used.
    fn apply_withheld(&mut self, source: SocketAddr) {
        if let Some(committed) = self.unconfirmed.take(source) {
            self.on_source_message(source, Message::CommittedConfiguration(committed));
        }
    }

    /// Uses the newest withheld configuration, once no source has been trusted for too long.
    fn release_withheld(&mut self) {
        if let Some((source, committed)) = self.unconfirmed.overdue(self.now()) {
            log::warn!(
                "unconfirmed configuration used, no controller has quorum contact revision={}",
                committed.revision
            );
            self.receive(source, Message::CommittedConfiguration(committed));
        }
    }

    /// Merges a message into the view, and publishes what changed to routers.
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

    /// When [`Agent::fetch`] is to be called next; `None` while there is nothing to fetch.
    pub(crate) fn next_fetch(&self) -> Option<Duration> {
        if self.awaits_trusted_source() { None } else { self.view.next_wake(self.now()) }
    }

    /// Fetches a newer configuration, if there is one and it is time.
    pub(crate) fn fetch(&mut self) {
        if self.awaits_trusted_source() {
            return;
        }
        let Some((source, fetch)) = self.view.fetch(self.now(), self.sources.preferred()) else { return };
        if let Some(outbox) = self.outboxes.get(&source) {
            outbox.message(&fetch);
        }
    }

    /// Whether another configuration would only be withheld.
    fn awaits_trusted_source(&self) -> bool {
        self.view.configuration().is_none()
            && self.sources.has_no_trusted()
            && self.unconfirmed.has_withheld()
    }

    /// Tells how many routers are live, and whether any source is in contact with a majority, when that has
    /// changed.
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

    /// Begins and ends links to controllers as needed.
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

    /// Seeds may have been exchanged since the process started.
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
