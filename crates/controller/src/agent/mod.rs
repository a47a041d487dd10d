//! The agent beside a router: keeps links to the control plane, and feeds the router over loopback.

mod environment;
mod process;
pub mod sources;
pub mod unconfirmed;

pub(crate) use environment::Environment;
pub use process::run_agent;

use crate::link::Outbox;
use crate::message::{FeedBeat, Hello, Message, Role};
use crate::subscription::News;
use crate::view::View;
use lanegate_model::settings::Settings;
use sources::Sources;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use unconfirmed::Unconfirmed;

/// How often the choice of sources is looked at when nothing else happens.
pub(crate) const REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// How often the settings file is read again while no controller can be trusted.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_000);
/// A controller that says nothing for so long is given up; its heartbeat is several times as fast.
pub(crate) const SOURCE_SILENCE: Duration = Duration::from_millis(1_800);

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
pub(crate) enum Downstream {
    Up { reader: u64, outbox: Outbox },
    Message { message: Message },
    Down { reader: u64 },
}

/// One agent. All of its state belongs to one task; nothing in it waits, and its clock and links are those of
/// its [`Environment`].
pub(crate) struct Agent {
    settings: Settings,
    environment: Box<dyn Environment>,
    life: u64,
    view: View,
    sources: Sources,
    unconfirmed: Unconfirmed,
    outboxes: BTreeMap<SocketAddr, Outbox>,
    readers: BTreeMap<u64, Outbox>,
    routers_told: u32,
    settings_read: Duration,
}

impl Agent {
    /// An agent that follows nobody yet. `life` tells this start of the process from all others.
    pub(crate) fn new(settings: Settings, life: u64, environment: Box<dyn Environment>) -> Self {
        Agent {
            settings,
            environment,
            life,
            view: View::default(),
            sources: Sources::default(),
            unconfirmed: Unconfirmed::default(),
            outboxes: BTreeMap::new(),
            readers: BTreeMap::new(),
            routers_told: 0,
            settings_read: Duration::ZERO,
        }
    }

    fn now(&self) -> Duration {
        self.environment.now()
    }

    /// Takes news of a source.
    pub(crate) fn heard(&mut self, news: News) {
        match news {
            News::Up { source, outbox } => {
                self.outboxes.insert(source, outbox);
            }
            News::Message { source, message } => self.message(source, message),
            News::Down { source } => {
                self.outboxes.remove(&source);
                self.environment.unfollow(source);
                self.view.lost(source);
                self.unconfirmed.lost(source);
                self.sources.ended(self.now(), source);
                self.review();
            }
        }
    }

    fn message(&mut self, source: SocketAddr, message: Message) {
        let beat = match &message {
            Message::FeedBeat(beat) => Some(beat.quorum == 1),
            _ => None,
        };
        let trusted = self.sources.is_trusted(source);
        let known = self.view.configuration().is_some();
        let Some(message) = self.unconfirmed.pass(self.now(), source, message, trusted || known) else {
            return;
        };
        let mut news = Vec::new();
        self.view.receive(self.now(), source, message, &mut news);
        for message in news {
            self.tell(&message);
        }
        if let Some(quorum) = beat {
            let changed = self.sources.heard(source, quorum);
            self.tell_routers();
            if quorum {
                self.take_held(source);
            }
            if changed {
                self.review();
            }
        }
    }

    /// A source vouches for the configuration that was held back.
    fn take_held(&mut self, source: SocketAddr) {
        if let Some(decided) = self.unconfirmed.take(source) {
            self.message(source, Message::Decided(decided));
        }
    }

    /// Goes on with what there is, once no source has vouched for anything for too long.
    fn give_up_holding(&mut self) {
        if let Some((source, decided)) = self.unconfirmed.overdue(self.now()) {
            log::warn!("no controller is in contact with a majority: revision {} is used", decided.revision);
            let mut news = Vec::new();
            self.view.receive(self.now(), source, Message::Decided(decided), &mut news);
            news.iter().for_each(|message| self.tell(message));
        }
    }

    /// Tells how many routers are live, when that has changed.
    fn tell_routers(&mut self) {
        if self.routers_told != self.view.routers() {
            self.routers_told = self.view.routers();
            self.tell(&self.routers_message());
        }
    }

    fn routers_message(&self) -> Message {
        Message::FeedBeat(FeedBeat { quorum: 1, source: self.life, offset: 0, routers: self.view.routers() })
    }

    fn tell(&mut self, message: &Message) {
        let frame = message.frame();
        self.readers.retain(|_, outbox| outbox.send(frame.clone()));
    }

    /// Takes what a router says.
    pub(crate) fn downstream(&mut self, event: Downstream) {
        match event {
            Downstream::Up { reader, outbox } => {
                for message in self.view.snapshot() {
                    outbox.message(&message);
                }
                outbox.message(&self.routers_message());
                self.readers.insert(reader, outbox);
            }
            Downstream::Message { message: message @ Message::Demand(_) } => self.pass_up(&message),
            Downstream::Message { .. } => {}
            Downstream::Down { reader } => {
                self.readers.remove(&reader);
            }
        }
    }

    fn pass_up(&self, message: &Message) {
        let outbox = self.sources.preferred().and_then(|source| self.outboxes.get(&source));
        if let Some(outbox) = outbox {
            outbox.message(message);
        }
    }

    /// Begins and ends links to controllers as needed.
    pub(crate) fn review(&mut self) {
        let now = self.now();
        self.give_up_holding();
        if self.sources.none_trusted() && now > self.settings_read + SETTINGS_PERIOD {
            self.read_settings();
        }
        let known: BTreeSet<SocketAddr> = self.known_controllers();
        let plan = self.sources.plan(now, &self.settings.node_name, &known);
        for source in plan.start {
            let hello = self.hello();
            self.environment.follow(source, hello);
        }
        for source in plan.stop {
            self.outboxes.remove(&source);
            self.view.lost(source);
            self.unconfirmed.lost(source);
            self.environment.unfollow(source);
        }
    }

    fn known_controllers(&self) -> BTreeSet<SocketAddr> {
        let control = self.settings.seeds.iter().chain(self.view.controllers());
        control.map(|address| link_address(*address, &self.settings)).collect()
    }

    /// Seeds may have been exchanged since the process started.
    pub(crate) fn read_settings(&mut self) {
        self.settings_read = self.now();
        match self.environment.read_settings() {
            Ok(settings) => self.settings.seeds = settings.seeds,
            Err(findings) => log::warn!("settings not read again: {findings}"),
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            role: Role::Agent,
            name: self.settings.node_name.as_str().into(),
            control_address: "".into(),
            life: self.life,
            source: 0,
            offset: 0,
        }
    }
}
