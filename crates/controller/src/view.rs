//! What a reader of feeds knows: news from any number of sources merged into one view.
//!
//! Configurations are ordered by revision and registrations by sequence, so a source that lags behind
//! another can never take the view back. What has vanished while a source was away shows at the end of that
//! source's next snapshot.

use crate::message::{Decided, FeedBeat, Message, Registered as RegisteredMessage, Removed};
use crate::registration::Registered;
use lanegate_coordination::registry::{Registry, Taken};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a removal is remembered, so that a late registration does not undo it.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// What one source has told.
#[derive(Debug, Default)]
struct Source {
    /// Incarnations that are there by this source.
    listed: BTreeSet<String>,
    /// Whether its last snapshot is whole, and it had itself heard from everyone.
    complete: bool,
    /// Live routers by its count; 0 while it does not know.
    routers: u32,
}

/// The merged view.
#[derive(Debug, Default)]
pub struct View {
    decided: Option<Decided>,
    registry: Registry<Registered>,
    sources: BTreeMap<SocketAddr, Source>,
    controllers: BTreeSet<SocketAddr>,
    routers: u32,
}

impl View {
    /// Takes a message of `source`, and appends what is news to `news`.
    pub fn receive(&mut self, now: Duration, source: SocketAddr, message: Message, news: &mut Vec<Message>) {
        match message {
            Message::SnapshotBegin => *self.source(source) = Source::default(),
            Message::SnapshotEnd { complete } => self.snapshot_ended(source, complete == 1, news),
            Message::Decided(decided) => self.decided(decided, news),
            Message::Registered(registered) => self.registered(now, source, registered, news),
            Message::Removed(removed) => self.removed(now, source, removed, news),
            Message::Holding(holding) => {
                let registration = self.registry.get_mut(&holding.id.text());
                if registration.is_some_and(|registration| registration.hold(holding.clone())) {
                    news.push(Message::Holding(holding));
                }
            }
            Message::FeedBeat(beat) => {
                self.count_routers(source, beat);
                self.registry.forget(now, REMOVAL_MEMORY);
            }
            Message::Controllers(controllers) => {
                let text = controllers.addresses.text();
                self.controllers = text.split_whitespace().filter_map(|a| a.parse().ok()).collect();
            }
            _ => {}
        }
    }

    /// A source's link has ended; what it listed stays until another source says otherwise.
    pub fn lost(&mut self, source: SocketAddr) {
        self.sources.remove(&source);
    }

    /// Whether some source has told everything.
    pub fn is_complete(&self) -> bool {
        self.sources.values().any(|source| source.complete)
    }

    /// Whether this source has told everything.
    pub fn has_all_of(&self, source: SocketAddr) -> bool {
        self.sources.get(&source).is_some_and(|source| source.complete)
    }

    /// Controllers that any source named last.
    pub fn controllers(&self) -> &BTreeSet<SocketAddr> {
        &self.controllers
    }

    /// Live routers, as a source told them last.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<&Decided> {
        self.decided.as_ref()
    }

    /// Everything as messages, for a reader that begins.
    pub fn snapshot(&self) -> Vec<Message> {
        let mut messages = vec![Message::SnapshotBegin];
        messages.extend(self.decided.clone().map(Message::Decided));
        for (id, entry) in self.registry.entries() {
            let Some(registration) = &entry.registration else { continue };
            messages.push(registered_message(id, entry.sequence, registration));
            messages.extend(registration.holdings().iter().cloned().map(Message::Holding));
        }
        messages.push(Message::SnapshotEnd { complete: u8::from(self.is_complete()) });
        messages
    }

    /// The registration of an incarnation.
    pub fn registration(&self, id: &str) -> Option<&Registered> {
        self.registry.get(id)?.registration.as_ref()
    }

    /// The highest count of those who can know it; the last one stays while nobody does.
    fn count_routers(&mut self, source: SocketAddr, beat: FeedBeat) {
        self.source(source).routers = if beat.quorum == 1 { beat.routers } else { 0 };
        let highest = self.sources.values().map(|source| source.routers).max().unwrap_or(0);
        if highest > 0 {
            self.routers = highest;
        }
    }

    fn source(&mut self, source: SocketAddr) -> &mut Source {
        self.sources.entry(source).or_default()
    }

    fn decided(&mut self, decided: Decided, news: &mut Vec<Message>) {
        if self.decided.as_ref().is_some_and(|known| known.revision >= decided.revision) {
            return;
        }
        self.decided = Some(decided.clone());
        news.push(Message::Decided(decided));
    }

    fn registered(
        &mut self,
        now: Duration,
        source: SocketAddr,
        message: RegisteredMessage,
        news: &mut Vec<Message>,
    ) {
        let id = message.id.text();
        self.source(source).listed.insert(id.clone());
        let body = message.body.bytes.clone().into();
        let Ok(registration) = Registered::parse(&id, body) else { return };
        let Taken::Changed { replaced } = self.registry.take(now, &id, message.sequence, registration) else {
            return;
        };
        news.push(Message::Registered(message));
        let gone = |id: String| Removed { id: id.as_str().into(), sequence: u64::MAX };
        news.extend(replaced.into_iter().map(|id| Message::Removed(gone(id))));
    }

    fn removed(&mut self, now: Duration, source: SocketAddr, removed: Removed, news: &mut Vec<Message>) {
        let id = removed.id.text();
        self.source(source).listed.remove(&id);
        if self.registry.remove(now, &id, removed.sequence) {
            news.push(Message::Removed(removed));
        }
    }

    /// Drops what no complete source lists.
    fn snapshot_ended(&mut self, source: SocketAddr, complete: bool, news: &mut Vec<Message>) {
        let was_complete = self.is_complete();
        self.source(source).complete = complete;
        if !complete {
            return;
        }
        let told = |id: &str| self.sources.values().any(|s| s.complete && s.listed.contains(id));
        let live = self.registry.entries().filter(|(_, entry)| entry.registration.is_some());
        let vanished: Vec<(String, u64)> =
            live.filter(|(id, _)| !told(id)).map(|(id, entry)| (id.clone(), entry.sequence)).collect();
        for (id, sequence) in vanished {
            self.registry.drop_entry(&id);
            news.push(Message::Removed(Removed { id: id.as_str().into(), sequence }));
        }
        if !was_complete {
            news.push(Message::SnapshotEnd { complete: 1 });
        }
    }
}

/// A registration as a message.
pub fn registered_message(id: &str, sequence: u64, registration: &Registered) -> Message {
    Message::Registered(RegisteredMessage {
        id: id.into(),
        sequence,
        body: registration.body.to_vec().into(),
    })
}
