//! The state of a subscriber: updates from any number of sources, merged into one view.
//!
//! Configurations are ordered by revision and registrations by sequence, so a source that lags behind another can never
//! revert the view. Which of two incarnations at one address has ended is left to the sources: their removals carry the
//! sequence as of which they hold, while a view does not receive every heartbeat. Endpoints that were removed while a source was disconnected are dropped at the end of that source's
//! next snapshot.
//!
//! What is retained for a limited time is dropped at the first message after that time, whether or not the source sends
//! heartbeats, so that no removal outlasts its retention.

use crate::configuration_feed::fetcher::{ConfigurationFetcher, FetchPacing};
use crate::message::{
    CommittedConfiguration, ConfigurationVersion, Controllers, FeedHeartbeat, Message,
    Registered as RegisteredMessage, Removed, ResidencyUpdate,
};
use crate::registration::Registered;
use lanegate_coordination::feed::Position;
use lanegate_coordination::registry::{Registry, RegistryUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a tombstone is retained, so that a late registration does not undo it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);
/// How long the state of a lost source is retained, so that its feed can resume at its offset. Shorter than tombstones
/// are retained, so that a registration that is replayed cannot outlive its tombstone.
const LOST_SOURCE_RETENTION: Duration = Duration::from_secs(30);
/// How long endpoints that only a lost source had listed are kept after its link ended. The source may have been ahead of
/// the others, which receive a registration within tenths of a second. Or it may have been behind, and have missed the
/// removal of the endpoint.
const LOST_SOURCE_GRACE: Duration = Duration::from_millis(1_000);
/// Interval at which retention times are checked, besides the checks at heartbeats of the feed: an agent sends its router
/// one only when it reports something else.
const RETENTION_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// How long a controller is retained after a source last named it.
const CONTROLLER_RETENTION: Duration = Duration::from_secs(30);

/// State that one source has reported.
#[derive(Debug, Default)]
struct Source {
    /// Position in its journal, from its last heartbeat; reset when a snapshot begins.
    position: Position,
    /// Whether it last reported contact with a majority.
    quorum: bool,
    /// Controllers that it names.
    controllers: BTreeSet<SocketAddr>,
    /// Incarnations that are live according to this source.
    listed: BTreeSet<String>,
    /// Whether its last snapshot has ended, and its registry was complete.
    complete: bool,
    /// Number of live routers that it reported; 0 while it does not know.
    routers: u32,
}

/// A source whose link has ended.
#[derive(Debug)]
struct LostSource {
    since: Duration,
    source: Source,
    /// Whether the endpoints that only it had listed have been dropped.
    expired: bool,
}

/// The merged view.
#[derive(Debug)]
pub struct View {
    configuration: ConfigurationFetcher,
    registry: Registry<Registered>,
    sources: BTreeMap<SocketAddr, Source>,
    lost: BTreeMap<SocketAddr, LostSource>,
    controllers: BTreeSet<SocketAddr>,
    /// When each controller was last named by a source.
    named: BTreeMap<SocketAddr, Duration>,
    routers: u32,
    /// When retention times are checked next, if a message arrives.
    next_retention_check: Duration,
}

impl Default for View {
    fn default() -> Self {
        View::new(FetchPacing::LINK)
    }
}

impl View {
    /// An empty view that fetches configurations at this pacing.
    pub fn new(pacing: FetchPacing) -> Self {
        View {
            configuration: ConfigurationFetcher::new(pacing),
            registry: Registry::default(),
            sources: BTreeMap::new(),
            lost: BTreeMap::new(),
            controllers: BTreeSet::new(),
            named: BTreeMap::new(),
            routers: 0,
            next_retention_check: Duration::ZERO,
        }
    }

    /// Applies a message of `source`, and appends the resulting changes of the view to `updates`.
    pub fn receive(
        &mut self,
        now: Duration,
        source: SocketAddr,
        message: Message,
        updates: &mut Vec<Message>,
    ) {
        self.restore_source(source, &message);
        if now >= self.next_retention_check {
            self.drop_expired(now, updates);
        }
        match message {
            Message::SnapshotBegin => *self.source(source) = Source::default(),
            Message::SnapshotEnd { complete } => self.snapshot_ended(source, complete == 1, updates),
            Message::CommittedConfiguration(committed) => {
                self.apply_configuration(now, source, committed, updates)
            }
            Message::ConfigurationDelta(delta) => {
                let committed = self.configuration.on_delta(now, source, &delta);
                updates.extend(committed.map(Message::CommittedConfiguration));
            }
            Message::ConfigurationAnnounced(version) => self.apply_announcement(source, version, updates),
            Message::ConfigurationKnown(version) => self.apply_known_version(version, updates),
            Message::Registered(registered) => self.apply_registration(now, source, registered, updates),
            Message::Removed(removed) => self.apply_removal(now, source, removed, updates),
            Message::ResidencyUpdate(update) => self.apply_residency(update, updates),
            Message::FeedHeartbeat(heartbeat) => self.heartbeat(now, source, heartbeat, updates),
            Message::Controllers(controllers) => self.apply_controllers(now, source, &controllers),
            _ => {}
        }
    }

    /// Restores the state of a lost source that has reconnected, unless it starts with a new snapshot.
    fn restore_source(&mut self, source: SocketAddr, message: &Message) {
        if let Some(lost) = self.lost.remove(&source)
            && *message != Message::SnapshotBegin
        {
            self.sources.insert(source, lost.source);
        }
    }

    fn apply_configuration(
        &mut self,
        now: Duration,
        source: SocketAddr,
        committed: CommittedConfiguration,
        updates: &mut Vec<Message>,
    ) {
        if self.configuration.on_document(now, source, &committed) {
            updates.push(Message::CommittedConfiguration(committed));
        }
    }

    fn apply_announcement(
        &mut self,
        source: SocketAddr,
        version: ConfigurationVersion,
        updates: &mut Vec<Message>,
    ) {
        if self.configuration.on_announcement(source, version) {
            updates.push(Message::ConfigurationKnown(version));
        }
    }

    fn apply_known_version(&mut self, version: ConfigurationVersion, updates: &mut Vec<Message>) {
        if self.configuration.on_known_version(version) {
            updates.push(Message::ConfigurationKnown(version));
        }
    }

    fn apply_residency(&mut self, update: ResidencyUpdate, updates: &mut Vec<Message>) {
        let registration = self.registry.get_mut(&update.id.text());
        if registration.is_some_and(|registration| registration.apply_residency(update.clone())) {
            updates.push(Message::ResidencyUpdate(update));
        }
    }

    fn heartbeat(
        &mut self,
        now: Duration,
        source: SocketAddr,
        heartbeat: FeedHeartbeat,
        updates: &mut Vec<Message>,
    ) {
        let entry = self.source(source);
        entry.position = Position { source: heartbeat.source, offset: heartbeat.offset };
        entry.quorum = heartbeat.quorum == 1;
        self.count_routers(source, heartbeat);
        self.drop_expired(now, updates);
    }

    /// Drops what has been retained for its time: tombstones, the state of lost sources and what only they listed, and
    /// controllers that no source names any more.
    fn drop_expired(&mut self, now: Duration, updates: &mut Vec<Message>) {
        self.next_retention_check = now + RETENTION_CHECK_PERIOD;
        self.registry.purge_tombstones(now, TOMBSTONE_RETENTION);
        self.lost.retain(|_, lost| now.saturating_sub(lost.since) <= LOST_SOURCE_RETENTION);
        self.expire_lost_sources(now, updates);
        self.refresh_controllers(now);
    }

    /// Drops endpoints that only lost sources had listed, once the grace period after the end of their links has passed
    /// and another source is complete.
    fn expire_lost_sources(&mut self, now: Duration, updates: &mut Vec<Message>) {
        if !self.is_complete() {
            return;
        }
        let is_due = |lost: &LostSource| !lost.expired && now.saturating_sub(lost.since) >= LOST_SOURCE_GRACE;
        if !self.lost.values().any(is_due) {
            return;
        }
        self.lost.values_mut().filter(|lost| is_due(lost)).for_each(|lost| lost.expired = true);
        self.drop_unlisted(updates);
    }

    fn apply_controllers(&mut self, now: Duration, source: SocketAddr, controllers: &Controllers) {
        let text = controllers.addresses.text();
        self.source(source).controllers =
            text.split_whitespace().filter_map(|address| address.parse().ok()).collect();
        self.refresh_controllers(now);
    }

    /// Updates the known controllers: those that a source names, or named within [`CONTROLLER_RETENTION`].
    fn refresh_controllers(&mut self, now: Duration) {
        let named = self.sources.values().flat_map(|source| &source.controllers);
        self.named.extend(named.map(|controller| (*controller, now)));
        self.named.retain(|_, at| now.saturating_sub(*at) <= CONTROLLER_RETENTION);
        self.controllers = self.named.keys().copied().collect();
    }

    /// The fetch request for a configuration that is due, and the source to send it to: `preferred` if it has the newest.
    pub fn fetch(&mut self, now: Duration, preferred: Option<SocketAddr>) -> Option<(SocketAddr, Message)> {
        self.configuration.fetch(now, preferred)
    }

    /// When [`View::fetch`] is to be called next; `None` while there is nothing to fetch.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        self.configuration.next_wake(now)
    }

    /// Whether a newer configuration is known to exist, or no connected source is in contact with a majority, so that one
    /// could exist unnoticed.
    pub fn may_be_behind(&self) -> bool {
        self.configuration.is_behind() || !self.sources.values().any(|source| source.quorum)
    }

    /// The position from which the feed of `source` can resume; the default position if it has to start from a snapshot.
    pub fn position(&self, source: SocketAddr) -> Position {
        self.lost.get(&source).map(|lost| lost.source.position).unwrap_or_default()
    }

    /// The link of a source has ended. Endpoints that only it listed are kept for a grace period, and until another
    /// source is complete.
    pub fn source_lost(&mut self, now: Duration, source: SocketAddr) {
        self.configuration.on_source_lost(source);
        if let Some(lost) = self.sources.remove(&source) {
            self.lost.insert(source, LostSource { since: now, source: lost, expired: false });
        }
    }

    /// Whether some source is complete.
    pub fn is_complete(&self) -> bool {
        self.sources.values().any(|source| source.complete)
    }

    /// The known controllers.
    pub fn controllers(&self) -> &BTreeSet<SocketAddr> {
        &self.controllers
    }

    /// Number of live routers, as last reported.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<&CommittedConfiguration> {
        self.configuration.current()
    }

    /// A complete snapshot as messages, for a new subscriber.
    pub fn snapshot(&self) -> Vec<Message> {
        let mut messages = vec![Message::SnapshotBegin];
        messages.extend(self.configuration().cloned().map(Message::CommittedConfiguration));
        for (id, entry) in self.registry.entries() {
            let Some(registration) = &entry.registration else { continue };
            messages.push(registered_message(id, entry.sequence, registration));
            messages.extend(registration.residency_updates().iter().cloned().map(Message::ResidencyUpdate));
        }
        messages.push(Message::SnapshotEnd { complete: u8::from(self.is_complete()) });
        messages
    }

    /// Number of live endpoints.
    pub fn endpoints(&self) -> usize {
        self.registry.entries().filter(|(_, entry)| entry.registration.is_some()).count()
    }

    /// The registration of an incarnation.
    pub fn registration(&self, id: &str) -> Option<&Registered> {
        self.registry.get(id)?.registration.as_ref()
    }

    /// Updates the number of live routers to the highest count among sources in contact with a majority. Keeps the last
    /// number while no source reports one.
    fn count_routers(&mut self, source: SocketAddr, heartbeat: FeedHeartbeat) {
        self.source(source).routers = if heartbeat.quorum == 1 { heartbeat.routers } else { 0 };
        let highest = self.sources.values().map(|source| source.routers).max().unwrap_or(0);
        if highest > 0 {
            self.routers = highest;
        }
    }

    fn source(&mut self, source: SocketAddr) -> &mut Source {
        self.sources.entry(source).or_default()
    }

    fn apply_registration(
        &mut self,
        now: Duration,
        source: SocketAddr,
        message: RegisteredMessage,
        updates: &mut Vec<Message>,
    ) {
        let id = message.id.text();
        self.source(source).listed.insert(id.clone());
        let body = message.body.bytes.clone().into();
        let Ok(registration) = Registered::parse(&id, body) else { return };
        let registration = registration.carry_over_from(self.registration(&id));
        let update = self.registry.merge_reported(now, &id, message.sequence, registration);
        if matches!(update, RegistryUpdate::Changed { .. }) {
            updates.push(Message::Registered(message));
        }
    }

    fn apply_removal(
        &mut self,
        now: Duration,
        source: SocketAddr,
        removed: Removed,
        updates: &mut Vec<Message>,
    ) {
        let id = removed.id.text();
        self.source(source).listed.remove(&id);
        if self.registry.remove(now, &id, removed.sequence) {
            updates.push(Message::Removed(removed));
        }
    }

    fn snapshot_ended(&mut self, source: SocketAddr, complete: bool, updates: &mut Vec<Message>) {
        let was_complete = self.is_complete();
        self.source(source).complete = complete;
        if !complete {
            return;
        }
        self.drop_unlisted(updates);
        if !was_complete {
            updates.push(Message::SnapshotEnd { complete: 1 });
        }
    }

    /// Drops endpoints that no complete source lists.
    fn drop_unlisted(&mut self, updates: &mut Vec<Message>) {
        let is_listed = |id: &str| self.sources.values().any(|s| s.complete && s.listed.contains(id));
        let live = self.registry.entries().filter(|(_, entry)| entry.registration.is_some());
        let vanished: Vec<(String, u64)> =
            live.filter(|(id, _)| !is_listed(id)).map(|(id, entry)| (id.clone(), entry.sequence)).collect();
        for (id, sequence) in vanished {
            self.registry.drop_entry(&id);
            // A lost source that lists the endpoint must not resume at its offset: its feed would not send it again.
            self.lost.retain(|_, lost| !lost.source.listed.contains(&id));
            updates.push(Message::Removed(Removed { id: id.as_str().into(), sequence }));
        }
    }
}

/// The message for a registration.
pub fn registered_message(id: &str, sequence: u64, registration: &Registered) -> Message {
    Message::Registered(RegisteredMessage {
        id: id.into(),
        sequence,
        body: registration.body.to_vec().into(),
    })
}
