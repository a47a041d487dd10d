//! The router's client of its agent's feed: converts messages into events for the router.

use crate::agent::loopback_address;
use crate::configuration_feed::fetcher::FetchPacing;
use crate::incarnation::draw_incarnation;
use crate::link::Outbox;
use crate::message::{Hello, Message, Role, RouterDemand};
use crate::subscription::{SourceEvent, follow};
use crate::view::View;
use lanegate_config::configuration::Configuration;
use lanegate_config::demand::DemandReport;
use lanegate_config::feed::FeedEvent;
use lanegate_config::settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

/// Delay before the agent, which may be starting, is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Follows the feed of the agent until the process exits. Must run inside a `LocalSet`.
pub async fn feed_client(
    settings: Settings,
    events: mpsc::UnboundedSender<FeedEvent>,
    mut demand: mpsc::UnboundedReceiver<DemandReport>,
) {
    let (agent_events, mut event) = mpsc::unbounded_channel();
    let (started, agent) = (Instant::now(), loopback_address(&settings));
    let mut client = Client::new(settings, draw_incarnation(), events);
    let dial =
        |client: &Client| tokio::task::spawn_local(follow(agent, client.hello(), None, agent_events.clone()));
    dial(&client);
    loop {
        let fetch = client.next_fetch(started.elapsed()).map(|at| started + at);
        tokio::select! {
            Some(event) = event.recv() => {
                if client.on_agent_event(started.elapsed(), event) {
                    tokio::time::sleep(REDIAL_DELAY).await;
                    dial(&client);
                }
            }
            Some(report) = demand.recv() => client.send_demand(&report),
            () = sleep_until(fetch.unwrap_or(started).into()), if fetch.is_some() => {}
            else => return,
        }
        client.fetch(started.elapsed());
    }
}

/// The router's view of the agent's feed, and the queue of events for the router. No method blocks or reads a clock.
pub(crate) struct Client {
    settings: Settings,
    incarnation: u64,
    view: View,
    outbox: Option<Outbox>,
    events: mpsc::UnboundedSender<FeedEvent>,
    synchronized: bool,
    /// The last value that the router was sent as [`FeedEvent::Behind`].
    behind: bool,
}

impl Client {
    /// A client with an empty view. `incarnation` is drawn at random at each start of the process.
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        events: mpsc::UnboundedSender<FeedEvent>,
    ) -> Self {
        let view = View::new(FetchPacing::LOOPBACK);
        Client { settings, incarnation, view, outbox: None, events, synchronized: false, behind: false }
    }

    /// The first message on its link to the agent.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            role: Role::Router,
            name: self.settings.node_name.as_str().into(),
            control_address: "".into(),
            incarnation: self.incarnation,
            source: 0,
            offset: 0,
        }
    }

    /// When [`Client::fetch`] is to be called next; `None` while there is nothing to fetch.
    pub(crate) fn next_fetch(&self, now: Duration) -> Option<Duration> {
        self.outbox.as_ref()?;
        self.view.next_wake(now)
    }

    /// Fetches a newer configuration, if a fetch is due.
    pub(crate) fn fetch(&mut self, now: Duration) {
        let Some(outbox) = &self.outbox else { return };
        if let Some((_, fetch)) = self.view.fetch(now, None) {
            outbox.message(&fetch);
        }
    }

    /// Handles an event of the link to the agent. Returns whether the link is down.
    pub(crate) fn on_agent_event(&mut self, now: Duration, event: SourceEvent) -> bool {
        let is_down = self.apply_event(now, event);
        let behind = self.view.may_be_behind();
        if behind != self.behind {
            self.behind = behind;
            self.send(FeedEvent::Behind { behind });
        }
        is_down
    }

    fn apply_event(&mut self, now: Duration, event: SourceEvent) -> bool {
        match event {
            SourceEvent::Up { outbox, .. } => {
                self.outbox = Some(outbox);
                self.send(FeedEvent::AgentLink { up: true });
            }
            SourceEvent::Message { source, message } => {
                let routers = self.view.routers();
                let mut changes = Vec::new();
                self.view.receive(now, source, message, &mut changes);
                changes.into_iter().for_each(|message| self.forward_update(message));
                if routers != self.view.routers() {
                    self.send(FeedEvent::Routers { live: self.view.routers() });
                }
            }
            SourceEvent::Down { source } => {
                self.outbox = None;
                self.send(FeedEvent::AgentLink { up: false });
                self.view.source_lost(now, source);
                return true;
            }
        }
        false
    }

    fn forward_update(&mut self, message: Message) {
        match message {
            Message::CommittedConfiguration(committed) => {
                match serde_json::from_slice::<Configuration>(&committed.document.bytes) {
                    Ok(configuration) => self.send(FeedEvent::Configuration(Arc::new(configuration))),
                    Err(error) => {
                        log::error!("configuration not parsed revision={} error={error}", committed.revision)
                    }
                }
            }
            Message::Registered(message) => self.forward_instance(&message.id.text()),
            Message::ResidencyUpdate(update) => self.forward_instance(&update.id.text()),
            Message::Removed(removed) => self.send(FeedEvent::Removed { id: removed.id.text() }),
            Message::SnapshotEnd { .. } if !self.synchronized => {
                self.synchronized = true;
                self.send(FeedEvent::Synchronized);
            }
            _ => {}
        }
    }

    /// Sends the current state of an incarnation to the router. Does nothing for one that is not live: its removal is
    /// sent separately.
    fn forward_instance(&self, id: &str) {
        if let Some(registered) = self.view.registration(id) {
            self.send(FeedEvent::Instance(registered.current_instance()));
        }
    }

    fn send(&self, event: FeedEvent) {
        let _ = self.events.send(event);
    }

    /// Sends a demand report of the router to the agent.
    pub(crate) fn send_demand(&self, report: &DemandReport) {
        let Some(outbox) = &self.outbox else { return };
        match serde_json::to_vec(report) {
            Ok(report) => {
                let router = self.settings.node_name.as_str().into();
                outbox.message(&Message::Demand(RouterDemand { router, report: report.into(), age_ms: 0 }));
            }
            Err(error) => log::error!("demand report not encoded error={error}"),
        }
    }
}
