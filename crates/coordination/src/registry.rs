//! Registry of endpoints: the newest registration of each incarnation, merged from any number of replicas.
//!
//! Every incarnation numbers its own heartbeats, so the registration with the highest sequence is the newest,
//! whichever replica received it and in whatever order: replicas that received the same registrations agree
//! without a log. Only the expiry of an incarnation without heartbeats must be decided by one replica alone: the
//! owner of its shard calls [`Registry::expire`]. A removed incarnation leaves a tombstone, so that a late message
//! does not register it again.

use std::collections::BTreeMap;
use std::time::Duration;

/// Sequence of an incarnation that has ended permanently: no later heartbeat can register it again.
pub const FINAL_SEQUENCE: u64 = u64::MAX;

/// The registration of one incarnation of an endpoint.
pub trait Registration: Clone {
    /// Name of the service, which determines the shard.
    fn service(&self) -> &str;
    /// Address at which the incarnation serves; another incarnation there replaces it.
    fn address(&self) -> std::net::SocketAddr;
    /// Whether routers have to be notified of the change from `self` to `newer`.
    fn differs(&self, newer: &Self) -> bool;
}

/// The newest state of one incarnation.
#[derive(Debug, Clone)]
pub struct Entry<R> {
    /// The registration; `None` for a tombstone.
    pub registration: Option<R>,
    /// Sequence of the registration; of a tombstone, the sequence as of which the incarnation was removed, which
    /// is [`FINAL_SEQUENCE`] if it has ended permanently.
    pub sequence: u64,
    /// Sequence of the newest heartbeat that any replica is known to have received. It may be ahead of the
    /// registration's, as the message about an unchanged heartbeat may overtake the change before it.
    pub heartbeat_sequence: u64,
    /// When the newest heartbeat was received here, or reported by another replica.
    pub last_heartbeat: Duration,
}

/// What merging a registration changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// Nothing: the registration is older, or its incarnation has ended.
    Stale,
    /// A newer heartbeat, without a change that routers have to be notified of.
    Refreshed,
    /// A change that routers have to be notified of.
    Changed {
        /// Incarnations that were removed because this one has their address.
        replaced: Vec<String>,
    },
}

/// An incarnation that was removed because it sent no heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredIncarnation {
    /// Id of the incarnation.
    pub id: String,
    /// Sequence as of which it was removed: that of its newest heartbeat.
    pub sequence: u64,
}

/// All known incarnations by id.
#[derive(Debug, Clone)]
pub struct Registry<R> {
    entries: BTreeMap<String, Entry<R>>,
}

impl<R> Default for Registry<R> {
    fn default() -> Self {
        Registry { entries: BTreeMap::new() }
    }
}

impl<R: Registration> Registry<R> {
    /// Merges a registration that was received from the endpoint itself or from another replica.
    pub fn merge(&mut self, now: Duration, id: &str, sequence: u64, registration: R) -> RegistryUpdate {
        let Some(known) = self.entries.get_mut(id) else {
            return self.insert(now, id, sequence, registration);
        };
        if sequence <= known.sequence {
            return RegistryUpdate::Stale;
        }
        let changed = known.registration.as_ref().is_none_or(|old| old.differs(&registration));
        known.registration = Some(registration);
        known.sequence = sequence;
        known.heartbeat_sequence = known.heartbeat_sequence.max(sequence);
        known.last_heartbeat = now;
        if changed { RegistryUpdate::Changed { replaced: Vec::new() } } else { RegistryUpdate::Refreshed }
    }

    fn insert(&mut self, now: Duration, id: &str, sequence: u64, registration: R) -> RegistryUpdate {
        let address = registration.address();
        let same_address =
            |entry: &Entry<R>| entry.registration.as_ref().is_some_and(|old| old.address() == address);
        let displaced = self.entries.iter().filter(|(_, entry)| same_address(entry));
        let replaced: Vec<String> = displaced.map(|(id, _)| id.clone()).collect();
        for id in &replaced {
            self.remove(now, id, FINAL_SEQUENCE);
        }
        let entry = Entry {
            registration: Some(registration),
            sequence,
            heartbeat_sequence: sequence,
            last_heartbeat: now,
        };
        self.entries.insert(id.to_owned(), entry);
        RegistryUpdate::Changed { replaced }
    }

    /// Records that some replica received heartbeat `sequence`, which changed nothing else.
    pub fn refresh(&mut self, now: Duration, id: &str, sequence: u64) {
        let Some(known) = self.entries.get_mut(id) else { return };
        if known.registration.is_some() && sequence >= known.heartbeat_sequence {
            known.heartbeat_sequence = sequence;
            known.last_heartbeat = now;
        }
    }

    /// Removes an incarnation as of `sequence`, unless a later heartbeat is known. Returns whether it was registered.
    pub fn remove(&mut self, now: Duration, id: &str, sequence: u64) -> bool {
        let tombstone =
            || Entry { registration: None, sequence, heartbeat_sequence: sequence, last_heartbeat: now };
        let Some(known) = self.entries.get_mut(id) else {
            self.entries.insert(id.to_owned(), tombstone());
            return false;
        };
        if sequence < known.heartbeat_sequence
            || (known.registration.is_none() && sequence == known.heartbeat_sequence)
        {
            return false;
        }
        let was_registered = known.registration.is_some();
        *known = tombstone();
        was_registered
    }

    /// Removes the incarnations without a heartbeat for longer than `idle_timeout`, in the services that this
    /// replica owns, and returns them.
    pub fn expire(
        &mut self,
        now: Duration,
        idle_timeout: Duration,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<ExpiredIncarnation> {
        let is_expired = |entry: &Entry<R>| {
            let registration = entry.registration.as_ref();
            registration
                .is_some_and(|r| now.saturating_sub(entry.last_heartbeat) > idle_timeout && owns(r.service()))
        };
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired = expired
            .map(|(id, entry)| ExpiredIncarnation { id: id.clone(), sequence: entry.heartbeat_sequence })
            .collect::<Vec<_>>();
        for incarnation in &expired {
            self.remove(now, &incarnation.id, incarnation.sequence);
        }
        expired
    }

    /// Drops tombstones older than `retention`; no message about their incarnations is expected after that time.
    pub fn purge_tombstones(&mut self, now: Duration, retention: Duration) {
        self.entries.retain(|_, entry| {
            entry.registration.is_some() || now.saturating_sub(entry.last_heartbeat) <= retention
        });
    }

    /// Drops an entry without leaving a tombstone: a message with any sequence registers the incarnation again.
    pub fn drop_entry(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Restarts the idle time of every incarnation, after a time in which this process could not receive heartbeats.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.registration.is_some()) {
            entry.last_heartbeat = now;
        }
    }

    /// All entries, tombstones included, by id.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry<R>)> + Clone {
        self.entries.iter()
    }

    /// The registration of an incarnation that was not removed, for changes in place.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut R> {
        self.entries.get_mut(id)?.registration.as_mut()
    }

    /// The entry of one incarnation.
    pub fn get(&self, id: &str) -> Option<&Entry<R>> {
        self.entries.get(id)
    }
}
