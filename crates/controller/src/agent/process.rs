//! Runs an agent as a process, with sockets, signals and the system clock.

use super::{Agent, Environment, SOURCE_REVIEW_PERIOD, SOURCE_TIMEOUT, SubscriberEvent, loopback_address};
use crate::incarnation::draw_incarnation;
use crate::link::{self, MessageReader, Outbox};
use crate::message::Hello;
use crate::subscription::{SourceEvent, follow};
use lanegate_config::settings::{Settings, SettingsError};
use lanegate_metrics::{MetricsAddress, Scrapes};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

/// The [`Environment`] of an agent that runs as a process. Must be used inside a `LocalSet`.
struct ProcessEnvironment {
    started: Instant,
    events: mpsc::UnboundedSender<SourceEvent>,
    /// Tasks of the links that are connecting or up.
    links: BTreeMap<SocketAddr, AbortHandle>,
}

impl Environment for ProcessEnvironment {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn follow(&mut self, source: SocketAddr, hello: Hello) {
        let task = follow(source, hello, Some(SOURCE_TIMEOUT), self.events.clone());
        let handle = tokio::task::spawn_local(task).abort_handle();
        self.links.insert(source, handle);
    }

    fn unfollow(&mut self, source: SocketAddr) {
        if let Some(link) = self.links.remove(&source) {
            link.abort();
        }
    }

    fn read_settings(&mut self) -> Result<Settings, SettingsError> {
        Settings::from_environment()
    }
}

/// Runs an agent until SIGTERM; it exports its metrics at `metrics`. Must run inside a `LocalSet`.
///
/// # Errors
/// If the loopback listener or a signal handler cannot be set up.
pub async fn run_agent(settings: Settings, metrics: Option<MetricsAddress>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listener = link::listen(loopback_address(&settings))?;
    let (subscriber_events, mut from_subscribers) = mpsc::unbounded_channel();
    tokio::task::spawn_local(accept(listener, subscriber_events));
    let (events, mut from_sources) = mpsc::unbounded_channel();
    let started = Instant::now();
    let environment = ProcessEnvironment { started, events, links: BTreeMap::new() };
    let mut agent = Agent::new(settings, draw_incarnation(), Box::new(environment));
    agent.review_sources();
    let mut scrapes = Scrapes::at(metrics);
    let mut review = tokio::time::interval(SOURCE_REVIEW_PERIOD);
    review.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let fetch = agent.next_fetch().map(|at| started + at);
        tokio::select! {
            Some(events) = from_sources.recv() => agent.on_source_event(events),
            Some(event) = from_subscribers.recv() => agent.on_subscriber_event(event),
            Some(scrape) = scrapes.next() => scrape.answer(agent.metrics()),
            _ = review.tick() => agent.review_sources(),
            _ = reload.recv() => agent.read_settings(),
            _ = terminate.recv() => return Ok(()),
            () = sleep_until(fetch.unwrap_or(started).into()), if fetch.is_some() => {}
        }
        agent.fetch();
    }
}

async fn accept(listener: tokio::net::TcpListener, events: mpsc::UnboundedSender<SubscriberEvent>) {
    let mut subscriber = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(link::REDIAL_DELAY).await;
            continue;
        };
        subscriber += 1;
        tokio::task::spawn_local(serve(stream, subscriber, events.clone()));
    }
}

async fn serve(stream: TcpStream, subscriber: u64, events: mpsc::UnboundedSender<SubscriberEvent>) {
    if let Err(error) = link::set_options(&stream) {
        log::debug!("socket options not set interface=loopback error={error}");
    }
    let (read, write) = stream.into_split();
    let (outbox, frames) = Outbox::new();
    let writer = tokio::task::spawn_local(link::write_frames(write, frames));
    let _ = events.send(SubscriberEvent::Up { subscriber, outbox });
    let mut messages = MessageReader::new(read);
    while let Ok(message) = messages.next().await {
        let _ = events.send(SubscriberEvent::Message { subscriber, message });
    }
    writer.abort();
    let _ = events.send(SubscriberEvent::Down { subscriber });
}
