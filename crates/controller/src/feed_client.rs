//! The router's side of its agent's feed: messages become events for the router.

use crate::agent::loopback_address;
use crate::life::draw_life;
use crate::link::Outbox;
use crate::message::{Hello, Message, Role, RouterDemand};
use crate::subscription::{News, follow};
use crate::view::View;
use lanegate_model::configuration::Configuration;
use lanegate_model::demand::DemandReport;
use lanegate_model::feed::FeedEvent;
use lanegate_model::settings::Settings;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Pause before the agent is dialled again, which may just be starting.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Follows the agent for the life of the process. Must run inside a `LocalSet`.
pub async fn feed_client(
    settings: Settings,
    events: mpsc::UnboundedSender<FeedEvent>,
    mut demand: mpsc::UnboundedReceiver<DemandReport>,
) {
    let (owner, mut news) = mpsc::unbounded_channel();
    let mut client = Client::new(settings, events);
    client.follow(owner.clone());
    loop {
        tokio::select! {
            Some(news) = news.recv() => {
                if client.heard(news) {
                    tokio::time::sleep(REDIAL_PAUSE).await;
                    client.follow(owner.clone());
                }
            }
            Some(report) = demand.recv() => client.send_demand(&report),
            else => return,
        }
    }
}

struct Client {
    settings: Settings,
    started: Instant,
    life: u64,
    view: View,
    outbox: Option<Outbox>,
    events: mpsc::UnboundedSender<FeedEvent>,
    synchronized: bool,
}

impl Client {
    fn new(settings: Settings, events: mpsc::UnboundedSender<FeedEvent>) -> Self {
        let life = draw_life();
        let view = View::default();
        Client { settings, started: Instant::now(), life, view, outbox: None, events, synchronized: false }
    }

    fn follow(&self, owner: mpsc::UnboundedSender<News>) {
        let hello = Hello {
            role: Role::Router,
            name: self.settings.node_name.as_str().into(),
            control_address: "".into(),
            life: self.life,
            source: 0,
            offset: 0,
        };
        tokio::task::spawn_local(follow(loopback_address(&self.settings), hello, None, owner));
    }

    /// Takes news of the link. True if it is down.
    fn heard(&mut self, news: News) -> bool {
        match news {
            News::Up { outbox, .. } => self.outbox = Some(outbox),
            News::Message { source, message } => {
                let routers = self.view.routers();
                let mut changes = Vec::new();
                self.view.receive(self.started.elapsed(), source, message, &mut changes);
                changes.into_iter().for_each(|message| self.pass_on(message));
                if routers != self.view.routers() {
                    self.send(FeedEvent::Routers { live: self.view.routers() });
                }
            }
            News::Down { source } => {
                self.outbox = None;
                self.view.lost(source);
                return true;
            }
        }
        false
    }

    fn pass_on(&mut self, message: Message) {
        match message {
            Message::Decided(decided) => {
                match serde_json::from_slice::<Configuration>(&decided.document.bytes) {
                    Ok(configuration) => self.send(FeedEvent::Configuration(Arc::new(configuration))),
                    Err(error) => log::error!("configuration of revision {}: {error}", decided.revision),
                }
            }
            Message::Registered(message) => self.pass_on_instance(&message.id.text()),
            Message::Holding(holding) => self.pass_on_instance(&holding.id.text()),
            Message::Removed(removed) => self.send(FeedEvent::Removed { id: removed.id.text() }),
            Message::SnapshotEnd { .. } if !self.synchronized => {
                self.synchronized = true;
                self.send(FeedEvent::Synchronized);
            }
            _ => {}
        }
    }

    /// Passes on an incarnation as it is known now; one that is gone is passed on as that.
    fn pass_on_instance(&self, id: &str) {
        if let Some(registered) = self.view.registration(id) {
            self.send(FeedEvent::Instance(registered.current_instance()));
        }
    }

    fn send(&self, event: FeedEvent) {
        let _ = self.events.send(event);
    }

    fn send_demand(&self, report: &DemandReport) {
        let Some(outbox) = &self.outbox else { return };
        match serde_json::to_vec(report) {
            Ok(report) => {
                let router = self.settings.node_name.as_str().into();
                outbox.message(&Message::Demand(RouterDemand { router, report: report.into(), age_ms: 0 }));
            }
            Err(error) => log::error!("demand report: {error}"),
        }
    }
}
