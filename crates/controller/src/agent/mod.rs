//! The agent beside a router: keeps links to the control plane, and feeds the router over loopback.

pub mod sources;

use crate::life::draw_life;
use crate::link::{self, Outbox, Reader};
use crate::message::{FeedBeat, Hello, Message, Role};
use crate::subscription::{News, follow};
use crate::view::View;
use lanegate_model::settings::Settings;
use sources::Sources;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// How often the choice of sources is looked at when nothing else happens.
const REVIEW_PERIOD: Duration = Duration::from_millis(500);
/// How often the settings file is read again while no controller can be trusted.
const SETTINGS_PERIOD: Duration = Duration::from_millis(1_000);
/// A controller that says nothing for so long is given up; its heartbeat is several times as fast.
const SOURCE_SILENCE: Duration = Duration::from_millis(1_800);

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
enum Downstream {
    Up { reader: u64, outbox: Outbox },
    Message { message: Message },
    Down { reader: u64 },
}

struct Agent {
    settings: Settings,
    started: Instant,
    life: u64,
    view: View,
    sources: Sources,
    outboxes: BTreeMap<SocketAddr, Outbox>,
    tasks: BTreeMap<SocketAddr, AbortHandle>,
    readers: BTreeMap<u64, Outbox>,
    news: mpsc::UnboundedSender<News>,
    routers_told: u32,
    settings_read: Duration,
}

/// Runs an agent until SIGTERM. Must run inside a `LocalSet`.
pub async fn run_agent(settings: Settings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listener = link::listen(loopback_address(&settings))?;
    let (downstream, mut from_readers) = mpsc::unbounded_channel();
    tokio::task::spawn_local(accept(listener, downstream));
    let (news, mut from_sources) = mpsc::unbounded_channel();
    let mut agent = Agent::new(settings, news);
    agent.review();
    let mut review = tokio::time::interval(REVIEW_PERIOD);
    review.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(news) = from_sources.recv() => agent.heard(news),
            Some(event) = from_readers.recv() => agent.downstream(event),
            _ = review.tick() => agent.review(),
            _ = reload.recv() => agent.read_settings(agent.now()),
            _ = terminate.recv() => return Ok(()),
        }
    }
}

async fn accept(listener: tokio::net::TcpListener, owner: mpsc::UnboundedSender<Downstream>) {
    let mut reader = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(link::REDIAL_PAUSE).await;
            continue;
        };
        reader += 1;
        tokio::task::spawn_local(serve(stream, reader, owner.clone()));
    }
}

async fn serve(stream: TcpStream, reader: u64, owner: mpsc::UnboundedSender<Downstream>) {
    if let Err(error) = link::set_options(&stream) {
        log::debug!("options of a reader's link: {error}");
    }
    let (read, write) = stream.into_split();
    let (outbox, frames) = Outbox::new();
    let writer = tokio::task::spawn_local(link::write_frames(write, frames));
    let _ = owner.send(Downstream::Up { reader, outbox });
    let mut messages = Reader::new(read);
    while let Ok(message) = messages.next().await {
        let _ = owner.send(Downstream::Message { message });
    }
    writer.abort();
    let _ = owner.send(Downstream::Down { reader });
}

impl Agent {
    fn new(settings: Settings, news: mpsc::UnboundedSender<News>) -> Self {
        Agent {
            settings,
            started: Instant::now(),
            life: draw_life(),
            view: View::default(),
            sources: Sources::default(),
            outboxes: BTreeMap::new(),
            tasks: BTreeMap::new(),
            readers: BTreeMap::new(),
            news,
            routers_told: 0,
            settings_read: Duration::ZERO,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn heard(&mut self, news: News) {
        match news {
            News::Up { source, outbox } => {
                self.outboxes.insert(source, outbox);
            }
            News::Message { source, message } => self.message(source, message),
            News::Down { source } => {
                self.outboxes.remove(&source);
                self.tasks.remove(&source);
                self.view.lost(source);
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
        let mut news = Vec::new();
        self.view.receive(self.now(), source, message, &mut news);
        for message in news {
            self.tell(&message);
        }
        if let Some(quorum) = beat {
            self.sources.heard(source, quorum);
            self.tell_routers();
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

    fn downstream(&mut self, event: Downstream) {
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
    fn review(&mut self) {
        let now = self.now();
        if self.sources.none_trusted() && now > self.settings_read + SETTINGS_PERIOD {
            self.read_settings(now);
        }
        let known: BTreeSet<SocketAddr> = self.known_controllers();
        let plan = self.sources.plan(now, &self.settings.node_name, &known);
        for source in plan.start {
            let hello = self.hello();
            let task = follow(source, hello, Some(SOURCE_SILENCE), self.news.clone());
            let handle = tokio::task::spawn_local(task).abort_handle();
            self.tasks.insert(source, handle);
        }
        for source in plan.stop {
            self.outboxes.remove(&source);
            self.view.lost(source);
            if let Some(task) = self.tasks.remove(&source) {
                task.abort();
            }
        }
    }

    fn known_controllers(&self) -> BTreeSet<SocketAddr> {
        let control = self.settings.seeds.iter().chain(self.view.controllers());
        control.map(|address| link_address(*address, &self.settings)).collect()
    }

    /// Seeds may have been exchanged since the process started.
    fn read_settings(&mut self, now: Duration) {
        self.settings_read = now;
        match Settings::from_environment() {
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
