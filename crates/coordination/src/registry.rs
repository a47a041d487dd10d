//! Registry of endpoints: the newest registration of each incarnation, merged from any number of replicas.
//!
//! Every incarnation counts its own heartbeats, so the registration with the highest sequence is the newest,
//! whoever heard it and in whatever order: replicas that heard the same registrations agree without a log.
//! What must be decided by one alone is that an incarnation is lost because nobody hears it; that is left
//! to the owner of its shard ([`Registry::expire`]).

use std::collections::BTreeMap;
use std::time::Duration;

/// Sequence of an incarnation that said itself that it ends: no later heartbeat can revive it.
pub const FINAL_SEQUENCE: u64 = u64::MAX;

/// What a registry keeps of one incarnation's registration.
pub trait Registration: Clone {
    /// Name of the service, which places the registration in a shard.
    fn service(&self) -> &str;
    /// Address at which the incarnation serves; another incarnation there replaces it.
    fn address(&self) -> std::net::SocketAddr;
    /// Whether routers have to hear of the step from `self` to `newer`.
    fn differs(&self, newer: &Self) -> bool;
}

/// The newest state of one incarnation.
#[derive(Debug, Clone)]
pub struct Entry<R> {
    /// The registration; `None` once the incarnation is gone.
    pub registration: Option<R>,
    /// Sequence of the registration; once the incarnation is gone, that as of which it is, which is
    /// [`FINAL_SEQUENCE`] if it has ended for good.
    pub sequence: u64,
    /// Sequence of the newest heartbeat that any replica is known to have heard. It may be ahead of the
    /// registration's: word of an unchanged heartbeat may overtake the change before it.
    pub latest: u64,
    /// When any replica is known to have heard it last.
    pub last_heartbeat: Duration,
}

/// What taking a registration changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// Nothing: an older one, or one of an incarnation that has ended.
    Stale,
    /// The incarnation is still there, and nothing that routers need to hear has changed.
    Refreshed,
    /// Routers need to hear of it; `replaced` are incarnations that it displaces from its address.
    Changed { replaced: Vec<String> },
}

/// All known incarnations.
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
    /// Takes a registration that was heard directly or from another replica.
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
        known.latest = known.latest.max(sequence);
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
        let entry =
            Entry { registration: Some(registration), sequence, latest: sequence, last_heartbeat: now };
        self.entries.insert(id.to_owned(), entry);
        RegistryUpdate::Changed { replaced }
    }

    /// Notes that some replica heard heartbeat `sequence` and that nothing else had changed.
    pub fn refresh(&mut self, now: Duration, id: &str, sequence: u64) {
        let Some(known) = self.entries.get_mut(id) else { return };
        if known.registration.is_some() && sequence >= known.latest {
            known.latest = sequence;
            known.last_heartbeat = now;
        }
    }

    /// Removes an incarnation as of `sequence`. Tells whether that was news.
    pub fn remove(&mut self, now: Duration, id: &str, sequence: u64) -> bool {
        let gone = || Entry { registration: None, sequence, latest: sequence, last_heartbeat: now };
        let Some(known) = self.entries.get_mut(id) else {
            self.entries.insert(id.to_owned(), gone());
            return false;
        };
        if sequence < known.latest || (known.registration.is_none() && sequence == known.latest) {
            return false;
        }
        let was_there = known.registration.is_some();
        *known = gone();
        was_there
    }

    /// Removes the incarnations that nobody has heard for `silence`, in the shards that this replica owns.
    /// Tells each with the sequence as of which it is gone.
    pub fn expire(
        &mut self,
        now: Duration,
        silence: Duration,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<(String, u64)> {
        let lost = |entry: &Entry<R>| {
            let registration = entry.registration.as_ref();
            registration
                .is_some_and(|r| now.saturating_sub(entry.last_heartbeat) > silence && owns(r.service()))
        };
        let silent = self.entries.iter().filter(|(_, entry)| lost(entry));
        let silent: Vec<(String, u64)> = silent.map(|(id, entry)| (id.clone(), entry.latest)).collect();
        for (id, sequence) in &silent {
            self.remove(now, id, *sequence);
        }
        silent
    }

    /// Forgets incarnations that have been gone for `span`, after which no late message can name them.
    pub fn purge_removed(&mut self, now: Duration, span: Duration) {
        self.entries.retain(|_, entry| {
            entry.registration.is_some() || now.saturating_sub(entry.last_heartbeat) <= span
        });
    }

    /// Forgets an incarnation at once; a message of any sequence makes it known again.
    pub fn drop_entry(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Gives every incarnation a fresh start, after a time in which this process could not listen.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.registration.is_some()) {
            entry.last_heartbeat = now;
        }
    }

    /// All entries, gone ones included, by id.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry<R>)> + Clone {
        self.entries.iter()
    }

    /// The registration of a live incarnation, to be amended in place.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut R> {
        self.entries.get_mut(id)?.registration.as_mut()
    }

    /// The entry of one incarnation.
    pub fn get(&self, id: &str) -> Option<&Entry<R>> {
        self.entries.get(id)
    }
}
