//! The registry of endpoints at a controller: merges registrations, replicates them to the peers, and acknowledges them.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::endpoints::acknowledgements::{
    AcknowledgementFault, Acknowledgements, acknowledged, not_replicated,
};
use crate::controller::endpoints::tombstone_log::{TOMBSTONE_RETENTION, TombstoneLog};
use crate::controller::event::Answer;
use crate::message::{
    BatchedHeartbeat, HeartbeatBatch, Message, Registered as RegisteredMessage, Removed, ResidencyUpdate,
};
use crate::registration::Registered;
use crate::view::registered_message;
use bytes::Bytes;
use lanegate_config::instance::InstanceState;
use lanegate_coordination::registry::{FINAL_SEQUENCE, Registry, RegistryUpdate, RemovedIncarnation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of heartbeats that an endpoint may miss before it expires. Routers detect a dead endpoint long before; the
/// expiry only keeps the registry from growing.
const MISSED_HEARTBEATS: f64 = 3.5;

/// The changes of a call: messages for the other controllers and for subscribers.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    pub messages: Vec<Message>,
    /// Token of a flush by which the other controllers are asked to confirm the messages.
    pub flush: Option<u64>,
}

/// The result of merging a registration that another controller sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct RegistrationMerge {
    /// Updates for subscribers.
    pub updates: Vec<Message>,
    /// Whether the updates have to be relayed to the other controllers. The drain may have been acknowledged already, so
    /// it must reach every controller that this one reaches, including those partitioned from the original receiver.
    /// And a controller that knows a later heartbeat of an incarnation which was removed for another one at its address
    /// has to contradict, or the two controllers would go on with different incarnations.
    pub relay: bool,
}

/// The result of merging a removal that another controller sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RemovalMerge {
    /// The incarnation has been removed here too; subscribers must be notified.
    Removed,
    /// Nothing changed.
    Known,
    /// A later heartbeat is known here, so the removal is void. The other controllers and all subscribers need this
    /// registration: those that merged the removal would not be updated by heartbeats that change nothing.
    Contradicted(Message),
}

/// The endpoint registry of one controller.
#[derive(Debug)]
pub(crate) struct EndpointRegistry {
    registry: Registry<Registered>,
    timeout: Duration,
    /// Sequences of unchanged heartbeats that were received here since the last batch to the other controllers.
    heartbeats: BTreeMap<String, u64>,
    /// Acknowledgements of drains and deregistrations.
    pub(crate) acknowledgements: Acknowledgements,
    /// Drains and deregistrations that have to outlast a restart.
    pub(crate) tombstone_log: TombstoneLog,
}

impl EndpointRegistry {
    /// An empty registry of the controller `own_address`, for endpoints that send a heartbeat every `heartbeat`. Flushes
    /// are numbered from `incarnation`, as described at [`Acknowledgements::new`].
    pub(crate) fn new(heartbeat: Duration, own_address: SocketAddr, incarnation: u64) -> Self {
        EndpointRegistry {
            registry: Registry::default(),
            timeout: heartbeat.mul_f64(MISSED_HEARTBEATS),
            heartbeats: BTreeMap::new(),
            acknowledgements: Acknowledgements::new(own_address, incarnation),
            tombstone_log: TombstoneLog::default(),
        }
    }

    /// The same with the tombstones that an earlier process left on disk.
    pub(crate) fn with_tombstones(mut self, now: Duration, tombstone_log: TombstoneLog) -> Self {
        for (id, sequence) in tombstone_log.iter() {
            self.registry.remove(now, id, sequence);
        }
        EndpointRegistry { tombstone_log, ..self }
    }

    /// The same with a deliberate fault, for tests.
    pub(crate) fn with_fault(self, fault: Option<AcknowledgementFault>) -> Self {
        EndpointRegistry { acknowledgements: self.acknowledgements.with_fault(fault), ..self }
    }

    /// Handles a heartbeat of `id`. If the endpoint is draining, it is acknowledged once a majority of the groups
    /// `known`, and of any newer ones, has received the notice. Otherwise it is acknowledged at once, but only
    /// `in_contact` with a majority; without contact it is merged and the call is refused, because the controller
    /// that expires the endpoint may not receive the heartbeat from here and the endpoint has to call another
    /// controller as well.
    pub(crate) fn register(
        &mut self,
        now: Duration,
        id: &str,
        body: Bytes,
        known: &KnownGroups,
        in_contact: bool,
        reply: oneshot::Sender<Answer>,
    ) -> Changes {
        let registration = match Registered::parse(id, body) {
            Ok(registration) => registration.carry_over_from(self.registration(id)),
            Err(error) => {
                let _ = reply.send(Answer::error(400, &format!("registration: {error}")));
                return Changes::default();
            }
        };
        let sequence = registration.instance.sequence;
        let draining = registration.instance.state == InstanceState::Draining;
        let mut changes = Changes::default();
        match self.registry.merge(now, id, sequence, registration) {
            RegistryUpdate::Stale => {}
            RegistryUpdate::Refreshed => {
                self.heartbeats.insert(id.to_owned(), sequence);
            }
            RegistryUpdate::Changed { replaced } => {
                self.record_draining(now, id);
                changes.messages = self.changed(id, replaced);
            }
        }
        if !draining {
            self.acknowledgements.forget(id);
        }
        if draining && !self.acknowledgements.is_confirmed(id) {
            changes.messages.extend(self.current(id));
            changes.flush = self.acknowledgements.wait(now, id, self.tombstone_log.version(), known, reply);
        } else if in_contact {
            let _ = reply.send(acknowledged());
        } else {
            let _ = reply.send(not_replicated());
        }
        changes
    }

    /// Handles the deregistration of the endpoint `id`.
    pub(crate) fn deregister(
        &mut self,
        now: Duration,
        id: &str,
        known: &KnownGroups,
        reply: oneshot::Sender<Answer>,
    ) -> Changes {
        self.registry.remove(now, id, FINAL_SEQUENCE);
        self.heartbeats.remove(id);
        self.tombstone_log.record(now, id, FINAL_SEQUENCE);
        let messages = vec![removed_message(id, FINAL_SEQUENCE)];
        let flush = self.acknowledgements.wait(now, id, self.tombstone_log.version(), known, reply);
        Changes { messages, flush }
    }

    /// Records an incarnation that is draining, so that after a restart no earlier heartbeat makes it ready again.
    fn record_draining(&mut self, now: Duration, id: &str) {
        let Some(entry) = self.registry.get(id) else { return };
        let registration = entry.registration.as_ref();
        if registration.is_some_and(|registration| registration.instance.state == InstanceState::Draining) {
            self.tombstone_log.record(now, id, entry.sequence);
        }
    }

    /// Merges a registration that another controller received.
    pub(crate) fn merge(&mut self, now: Duration, message: &RegisteredMessage) -> RegistrationMerge {
        let id = message.id.text();
        let Ok(registration) = Registered::parse(&id, message.body.bytes.clone().into()) else {
            return RegistrationMerge::default();
        };
        let draining = registration.instance.state == InstanceState::Draining;
        let registration = registration.carry_over_from(self.registration(&id));
        match self.registry.merge(now, &id, message.sequence, registration) {
            RegistryUpdate::Changed { replaced } => {
                self.record_draining(now, &id);
                let relay = draining || !replaced.is_empty();
                RegistrationMerge { updates: self.changed(&id, replaced), relay }
            }
            RegistryUpdate::Refreshed | RegistryUpdate::Stale => RegistrationMerge::default(),
        }
    }

    /// Merges a residency update from a local placer. Returns the update to publish, if it changed anything.
    pub(crate) fn publish(&mut self, mut update: ResidencyUpdate) -> Option<ResidencyUpdate> {
        let entry = self.registry.get(&update.id.text())?;
        update.sequence = entry.heartbeat_sequence;
        update.order = entry.registration.as_ref()?.next_order();
        self.apply_residency(&update).then_some(update)
    }

    /// Merges a residency update from a placer of any controller. Returns whether it changed anything.
    pub(crate) fn apply_residency(&mut self, update: &ResidencyUpdate) -> bool {
        let registration = self.registry.get_mut(&update.id.text());
        registration.is_some_and(|registration| registration.apply_residency(update.clone()))
    }

    /// Whether a removal that another controller sent has to be relayed, for the same reason as in
    /// [`RegistrationMerge::relay`]. To be called before the removal is merged.
    pub(crate) fn relays_removal(&self, removed: &Removed) -> bool {
        let known = self.registry.get(&removed.id.text());
        removed.sequence == FINAL_SEQUENCE && known.is_none_or(|entry| entry.sequence != FINAL_SEQUENCE)
    }

    /// Merges the removal of an incarnation that another controller sent.
    pub(crate) fn merge_removal(&mut self, now: Duration, removed: &Removed) -> RemovalMerge {
        let id = removed.id.text();
        if removed.sequence == FINAL_SEQUENCE {
            self.tombstone_log.record(now, &id, FINAL_SEQUENCE);
        }
        if self.registry.remove(now, &id, removed.sequence) {
            return RemovalMerge::Removed;
        }
        match self.newer_registration(&id) {
            Some(registered) => RemovalMerge::Contradicted(registered),
            None => RemovalMerge::Known,
        }
    }

    /// The registration of a live incarnation, with the sequence of its newest heartbeat.
    fn newer_registration(&self, id: &str) -> Option<Message> {
        let entry = self.registry.get(id)?;
        Some(registered_message(id, entry.heartbeat_sequence, entry.registration.as_ref()?))
    }

    /// Merges heartbeats that another controller received. Returns those of live incarnations that are newer than any
    /// known here. Heartbeats of removed incarnations are excluded: they do not update the registry, so they would count
    /// as newer each time that they arrive.
    pub(crate) fn merge_heartbeats(&mut self, now: Duration, list: &HeartbeatBatch) -> Vec<BatchedHeartbeat> {
        let mut newer = Vec::new();
        for heartbeat in &list.heartbeats {
            let id = heartbeat.id.text();
            let known = self.registry.get(&id).filter(|entry| entry.registration.is_some());
            if known.is_some_and(|entry| heartbeat.sequence > entry.heartbeat_sequence) {
                newer.push(heartbeat.clone());
            }
            self.registry.refresh(now, &id, heartbeat.sequence);
        }
        newer
    }

    /// Takes the unchanged heartbeats that were received here since the last call, as a batch for the other controllers.
    pub(crate) fn take_heartbeat_batch(&mut self) -> Option<Message> {
        if self.heartbeats.is_empty() {
            return None;
        }
        let heartbeats = std::mem::take(&mut self.heartbeats).into_iter();
        let heartbeats: Vec<BatchedHeartbeat> =
            heartbeats.map(|(id, sequence)| BatchedHeartbeat { id: id.as_str().into(), sequence }).collect();
        Some(Message::HeartbeatBatch(heartbeats.into()))
    }

    /// Removes endpoints whose heartbeats have timed out, in the services that this controller owns.
    pub(crate) fn expire(&mut self, now: Duration, owns: impl Fn(&str) -> bool) -> Vec<Message> {
        self.registry.purge_tombstones(now, TOMBSTONE_RETENTION);
        self.tombstone_log.purge(now);
        let registry = &self.registry;
        self.acknowledgements
            .retain_confirmed(|id| registry.get(id).is_some_and(|entry| entry.registration.is_some()));
        let expired = self.registry.expire(now, self.timeout, owns);
        expired
            .into_iter()
            .map(|incarnation| removed_message(&incarnation.id, incarnation.sequence))
            .collect()
    }

    /// This process could not receive messages for a while: restarts all time-outs.
    pub(crate) fn reset_timeouts(&mut self, now: Duration) {
        self.registry.restart_timeouts(now);
    }

    /// The registrations of all live incarnations, for subscribers of the feed.
    pub(crate) fn snapshot(&self) -> impl Iterator<Item = Message> {
        self.registry.entries().flat_map(|(id, entry)| {
            let registration = entry.registration.as_ref();
            let residency_updates = registration.into_iter().flat_map(Registered::residency_updates);
            let registered = registration.map(|r| registered_message(id, entry.sequence, r));
            registered.into_iter().chain(residency_updates.cloned().map(Message::ResidencyUpdate))
        })
    }

    /// All incarnations, tombstones included, for another controller.
    pub(crate) fn full_snapshot(&self) -> impl Iterator<Item = Message> {
        let gone = self.registry.entries().filter(|(_, entry)| entry.registration.is_none());
        self.snapshot().chain(gone.map(|(id, entry)| removed_message(id, entry.sequence)))
    }

    /// The registration of a live incarnation.
    pub(crate) fn registration(&self, id: &str) -> Option<&Registered> {
        self.registry.get(id)?.registration.as_ref()
    }

    /// Live registrations.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&String, &Registered)> + Clone {
        self.registry.entries().filter_map(|(id, entry)| Some((id, entry.registration.as_ref()?)))
    }

    fn changed(&self, id: &str, replaced: Vec<RemovedIncarnation>) -> Vec<Message> {
        let removed = replaced.iter().map(|removed| removed_message(&removed.id, removed.sequence));
        self.current(id).into_iter().chain(removed).collect()
    }

    fn current(&self, id: &str) -> Option<Message> {
        let entry = self.registry.get(id)?;
        Some(match &entry.registration {
            Some(registration) => registered_message(id, entry.sequence, registration),
            None => removed_message(id, entry.sequence),
        })
    }
}

fn removed_message(id: &str, sequence: u64) -> Message {
    Message::Removed(Removed { id: id.into(), sequence })
}
