//! Registry of endpoints: the newest registration of each incarnation, merged from any number of replicas.
//!
//! Every incarnation numbers its own heartbeats, so the registration with the highest sequence is the newest,
//! whichever replica received it and in whatever order: replicas that received the same registrations agree
//! without a log. Only the expiry of an incarnation without heartbeats must be decided by one replica alone: the
//! owner of its shard calls [`Registry::expire`]. A removed incarnation leaves a tombstone, so that a late message
//! does not register it again.
//!
//! Invariant: of the incarnations at one address at most one is registered, and it is the one that goes on sending
//! heartbeats. Ids and sequences do not tell which of two incarnations started later, and a replica that has just
//! started, or that a heartbeat reached seconds late, may see the older one last. So an incarnation that registers at an
//! address removes the other one there only as of its newest heartbeat, and of those that may still be on their way.
//! Were it removed for good, the late heartbeat of an incarnation that has ended would remove the live one for as long
//! as the tombstone is retained. As it is, the live one returns with its heartbeat after the next, and then removes the
//! other in the same way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Heartbeats of an incarnation that may still be on their way when another one registers at its address: it may have
/// sent one just before it ended.
pub const IN_FLIGHT_HEARTBEATS: u64 = 1;

/// Sequence of an incarnation that has ended permanently: no later heartbeat can register it again.
pub const FINAL_SEQUENCE: u64 = u64::MAX;

/// The registration of one incarnation of an endpoint.
pub trait Registration: Clone {
    /// Name of the service, which determines the shard.
    fn service(&self) -> &str;
    /// Address at which the incarnation serves; at most one is registered at an address.
    fn address(&self) -> SocketAddr;
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
    /// Where the incarnation serves, or served; `None` if it was never registered here.
    pub address: Option<SocketAddr>,
}

impl<R> Entry<R> {
    /// Whether the incarnation is registered, and serves at `address`.
    fn is_registered_at(&self, address: SocketAddr) -> bool {
        self.registration.is_some() && self.address == Some(address)
    }

    /// A tombstone as of `sequence`.
    fn tombstone(now: Duration, sequence: u64, address: Option<SocketAddr>) -> Self {
        Entry { registration: None, sequence, heartbeat_sequence: sequence, last_heartbeat: now, address }
    }
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
        replaced: Vec<RemovedIncarnation>,
    },
}

/// An incarnation that was removed because it sent no heartbeat, or because another one registered at its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemovedIncarnation {
    /// Id of the incarnation.
    pub id: String,
    /// Sequence as of which it was removed: no heartbeat up to this one registers it again.
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
    /// Merges a registration that was received from the endpoint itself or from another replica. If the incarnation was
    /// not registered at its address before, any other one there is removed.
    pub fn merge(&mut self, now: Duration, id: &str, sequence: u64, registration: R) -> RegistryUpdate {
        let address = registration.address();
        let arrives = self.get(id).is_none_or(|known| !known.is_registered_at(address));
        match self.merge_reported(now, id, sequence, registration) {
            RegistryUpdate::Stale => RegistryUpdate::Stale,
            _ if arrives => RegistryUpdate::Changed { replaced: self.vacate(now, address, id) },
            update => update,
        }
    }

    /// Merges a registration that a source reports which decides itself what is at an address. Removes no other
    /// incarnation: the source reports that as well, and does not repeat a registration that was removed here by mistake.
    pub fn merge_reported(
        &mut self,
        now: Duration,
        id: &str,
        sequence: u64,
        registration: R,
    ) -> RegistryUpdate {
        let known = self.entries.get(id);
        if known.is_some_and(|known| sequence <= known.sequence) {
            return RegistryUpdate::Stale;
        }
        let before = known.and_then(|known| known.registration.as_ref());
        let changed = before.is_none_or(|old| old.differs(&registration));
        let heartbeat_sequence = known.map_or(sequence, |known| known.heartbeat_sequence.max(sequence));
        let address = Some(registration.address());
        let registration = Some(registration);
        let entry = Entry { registration, sequence, heartbeat_sequence, last_heartbeat: now, address };
        self.entries.insert(id.to_owned(), entry);
        if changed { RegistryUpdate::Changed { replaced: Vec::new() } } else { RegistryUpdate::Refreshed }
    }

    /// Removes every incarnation at `address` but `id`, and returns those that were registered. The heartbeats that may
    /// still be on their way are void, also those of an incarnation that had expired there.
    fn vacate(&mut self, now: Duration, address: SocketAddr, id: &str) -> Vec<RemovedIncarnation> {
        let mut removed = Vec::new();
        let others = self.entries.iter_mut().filter(|(other, _)| *other != id);
        for (other, entry) in others.filter(|(_, entry)| entry.address == Some(address)) {
            let sequence = entry.heartbeat_sequence.saturating_add(IN_FLIGHT_HEARTBEATS);
            if entry.registration.is_some() {
                removed.push(RemovedIncarnation { id: other.clone(), sequence });
                *entry = Entry::tombstone(now, sequence, Some(address));
            } else {
                // Its age stays: tombstones at an address that is used again and again would never be purged else.
                *entry = Entry::tombstone(entry.last_heartbeat, sequence, Some(address));
            }
        }
        removed
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
        let Some(known) = self.entries.get_mut(id) else {
            self.entries.insert(id.to_owned(), Entry::tombstone(now, sequence, None));
            return false;
        };
        if sequence < known.heartbeat_sequence
            || (known.registration.is_none() && sequence == known.heartbeat_sequence)
        {
            return false;
        }
        let was_registered = known.registration.is_some();
        *known = Entry::tombstone(now, sequence, known.address);
        was_registered
    }

    /// Removes the incarnations without a heartbeat for longer than `idle_timeout`, in the services that this
    /// replica owns, and returns them.
    pub fn expire(
        &mut self,
        now: Duration,
        idle_timeout: Duration,
        owns: impl Fn(&str) -> bool,
    ) -> Vec<RemovedIncarnation> {
        let is_expired = |entry: &Entry<R>| {
            let registration = entry.registration.as_ref();
            registration
                .is_some_and(|r| now.saturating_sub(entry.last_heartbeat) > idle_timeout && owns(r.service()))
        };
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired = expired
            .map(|(id, entry)| RemovedIncarnation { id: id.clone(), sequence: entry.heartbeat_sequence })
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
