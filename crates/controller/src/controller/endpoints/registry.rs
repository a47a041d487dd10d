//! Registrations of endpoints at a controller: what is taken, told to the others, acknowledged.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::event::Answer;
use crate::controller::operator::unavailable::Unavailable;
use crate::message::{
    BatchedHeartbeat, HeartbeatBatch, Message, Registered as RegisteredMessage, Removed, ResidencyUpdate,
};
use crate::registration::Registered;
use crate::view::registered_message;
use bytes::Bytes;
use lanegate_config::instance::InstanceState;
use lanegate_coordination::registry::{FINAL_SEQUENCE, Registry, RegistryUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for the other replicas before a leaving endpoint is sent elsewhere; it waits a second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(850);
/// How long the end of an incarnation is remembered.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);
/// Heartbeats that an endpoint may miss before it counts as lost. Routers see a dead endpoint long before;
/// this only keeps the list from growing.
const MISSED_HEARTBEATS: f64 = 3.5;

/// Deliberate mistakes: each must be found by a test.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcknowledgementFault {
    /// Confirmations of controllers that are no members count as those of members.
    CountNonMembers,
    /// What a peer confirmed counts after its restart.
    CountRestartedPeers,
    /// Flushes are numbered alike in every life of the process.
    RepeatTokens,
    /// Groups that only a peer knows do not count.
    OwnGroupsOnly,
}

/// An acknowledgement that waits until a majority of every group in force has what it promises.
#[derive(Debug)]
struct PendingAcknowledgement {
    reply: oneshot::Sender<Answer>,
    id: String,
    /// Controllers that have it, each with the groups that it knew when it said so.
    confirmed_by: BTreeMap<SocketAddr, KnownGroups>,
    until: Duration,
}

impl PendingAcknowledgement {
    /// Whether it may be acknowledged by the controller `this`, which knows of the groups `known`.
    ///
    /// A controller that confirmed may know of a change of members that `this` has not heard of. Whoever holds
    /// the newer group's majority must have the notice too, so that group counts beside those known here.
    fn is_confirmed(
        &self,
        this: SocketAddr,
        known: &KnownGroups,
        fault: Option<AcknowledgementFault>,
    ) -> bool {
        if fault == Some(AcknowledgementFault::CountNonMembers) {
            let majority = known.groups.iter().map(|group| group.len() / 2 + 1).max();
            return majority.is_some_and(|majority| self.confirmed_by.len() + 1 >= majority);
        }
        let counts = |node| node == this || self.confirmed_by.contains_key(&node);
        if fault == Some(AcknowledgementFault::OwnGroupsOnly) {
            return known.have_majority(counts);
        }
        let newer =
            self.confirmed_by.values().filter(|known_to_peer| known_to_peer.revision > known.revision);
        known.have_majority(counts)
            && newer.into_iter().all(|known_to_peer| known_to_peer.have_majority(counts))
    }
}

/// What a call changed: messages for the other controllers, those of them that readers hear too.
#[derive(Debug, Default)]
pub struct Changes {
    pub messages: Vec<Message>,
    /// Asks the other controllers to confirm what was sent before.
    pub flush: Option<u64>,
}

/// What became of a registration that another controller told.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RegistrationMerge {
    /// What readers have to hear.
    pub updates: Vec<Message>,
    /// Whether the other controllers have to hear it from here too: an endpoint that leaves may have been
    /// acknowledged, so whoever reaches this controller must get to know, also if it does not reach the first.
    pub relay: bool,
}

/// What became of a removal that another controller told.
#[derive(Debug, PartialEq, Eq)]
pub enum RemovalMerge {
    /// The incarnation is gone here too; readers have to hear of it.
    Removed,
    /// Nothing is new.
    Known,
    /// A later heartbeat was heard: the other controllers and all readers need this registration, as
    /// whoever took the removal hears nothing of an unchanged heartbeat.
    Contradicted(Message),
}

/// The registry, and the acknowledgements under way.
#[derive(Debug)]
pub struct EndpointRegistry {
    /// This controller, which counts among those that know of a notice.
    this: SocketAddr,
    registry: Registry<Registered>,
    timeout: Duration,
    /// Heartbeats since the last report to the other controllers.
    heartbeats: BTreeMap<String, u64>,
    /// Leaving incarnations of which a majority knows.
    confirmed: BTreeSet<String>,
    pending: BTreeMap<u64, PendingAcknowledgement>,
    next_token: u64,
    fault: Option<AcknowledgementFault>,
}

impl EndpointRegistry {
    /// An empty registry for endpoints that send a heartbeat every `heartbeat`, at the controller `this`. Flushes
    /// are numbered from `incarnation`, drawn anew at each start: an answer to an earlier life confirms nothing.
    pub fn new(heartbeat: Duration, this: SocketAddr, incarnation: u64) -> Self {
        EndpointRegistry {
            this,
            registry: Registry::default(),
            timeout: heartbeat.mul_f64(MISSED_HEARTBEATS),
            heartbeats: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            pending: BTreeMap::new(),
            next_token: incarnation,
            fault: None,
        }
    }

    /// The same with a deliberate mistake, for tests.
    pub fn with_fault(self, fault: Option<AcknowledgementFault>) -> Self {
        let repeats = fault == Some(AcknowledgementFault::RepeatTokens);
        let next_token = if repeats { 1 } else { self.next_token };
        EndpointRegistry { next_token, fault, ..self }
    }

    /// A heartbeat of `id`. A majority of the groups `known`, and of any newer ones, has to know of one that is
    /// leaving. One that is not leaving is taken in any case, but acknowledged only `in_contact` with a majority:
    /// whoever judges its silence may not hear of it from here, so it has to call another controller as well.
    pub fn register(
        &mut self,
        now: Duration,
        id: &str,
        body: Bytes,
        known: &KnownGroups,
        in_contact: bool,
        reply: oneshot::Sender<Answer>,
    ) -> Changes {
        let registration = match Registered::parse(id, body) {
            Ok(registration) => registration.following(self.registration(id)),
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
            RegistryUpdate::Changed { replaced } => changes.messages = self.changed(id, replaced),
        }
        if !draining {
            self.confirmed.remove(id);
        }
        if draining && !self.confirmed.contains(id) {
            changes.messages.extend(self.current(id));
            changes.flush = self.wait(now, id, known, reply);
        } else if in_contact {
            let _ = reply.send(acknowledged());
        } else {
            let _ = reply.send(too_few_reached());
        }
        changes
    }

    /// `id` says that it has ended.
    pub fn deregister(
        &mut self,
        now: Duration,
        id: &str,
        known: &KnownGroups,
        reply: oneshot::Sender<Answer>,
    ) -> Changes {
        self.registry.remove(now, id, FINAL_SEQUENCE);
        self.heartbeats.remove(id);
        let messages = vec![removed_message(id, FINAL_SEQUENCE)];
        Changes { messages, flush: self.wait(now, id, known, reply) }
    }

    /// Another controller heard a registration.
    pub fn merge(&mut self, now: Duration, message: &RegisteredMessage) -> RegistrationMerge {
        let id = message.id.text();
        let Ok(registration) = Registered::parse(&id, message.body.bytes.clone().into()) else {
            return RegistrationMerge::default();
        };
        let draining = registration.instance.state == InstanceState::Draining;
        let registration = registration.following(self.registration(&id));
        match self.registry.merge(now, &id, message.sequence, registration) {
            RegistryUpdate::Changed { replaced } => {
                RegistrationMerge { updates: self.changed(&id, replaced), relay: draining }
            }
            RegistryUpdate::Refreshed | RegistryUpdate::Stale => RegistrationMerge::default(),
        }
    }

    /// The placer here knows of a model at an endpoint. Gives what everyone has to hear, if it is news.
    pub fn publish(&mut self, mut update: ResidencyUpdate) -> Option<ResidencyUpdate> {
        let entry = self.registry.get(&update.id.text())?;
        update.sequence = entry.latest;
        update.order = entry.registration.as_ref()?.next_order();
        self.apply_residency(&update).then_some(update)
    }

    /// A placer, here or elsewhere, knows of a model at an endpoint. True if it is news.
    pub fn apply_residency(&mut self, update: &ResidencyUpdate) -> bool {
        let registration = self.registry.get_mut(&update.id.text());
        registration.is_some_and(|registration| registration.apply_residency(update.clone()))
    }

    /// Whether a removal that another controller told has to be told to the others from here too, for the same
    /// reason as in [`RegistrationMerge::relay`]; to be asked before it is merged.
    pub fn relays_removal(&self, removed: &Removed) -> bool {
        let known = self.registry.get(&removed.id.text());
        removed.sequence == FINAL_SEQUENCE && known.is_none_or(|entry| entry.sequence != FINAL_SEQUENCE)
    }

    /// Another controller removed an incarnation.
    pub fn merge_removal(&mut self, now: Duration, removed: &Removed) -> RemovalMerge {
        let id = removed.id.text();
        if self.registry.remove(now, &id, removed.sequence) {
            return RemovalMerge::Removed;
        }
        match self.revived(&id) {
            Some(registered) => RemovalMerge::Contradicted(registered),
            None => RemovalMerge::Known,
        }
    }

    /// A live registration as of its newest heartbeat, which is newer than a removal that was heard.
    fn revived(&self, id: &str) -> Option<Message> {
        let entry = self.registry.get(id)?;
        Some(registered_message(id, entry.latest, entry.registration.as_ref()?))
    }

    /// Another controller heard these.
    pub fn merge_heartbeats(&mut self, now: Duration, list: &HeartbeatBatch) {
        for heartbeat in &list.heartbeats {
            self.registry.refresh(now, &heartbeat.id.text(), heartbeat.sequence);
        }
    }

    /// What was heard here since the last call, for the other controllers.
    pub fn take_heartbeat_batch(&mut self) -> Option<Message> {
        if self.heartbeats.is_empty() {
            return None;
        }
        let heartbeats = std::mem::take(&mut self.heartbeats).into_iter();
        let heartbeats: Vec<BatchedHeartbeat> =
            heartbeats.map(|(id, sequence)| BatchedHeartbeat { id: id.as_str().into(), sequence }).collect();
        Some(Message::HeartbeatBatch(heartbeats.into()))
    }

    /// Removes what nobody has heard, in the services that this controller owns.
    pub fn expire(&mut self, now: Duration, owns: impl Fn(&str) -> bool) -> Vec<Message> {
        self.registry.purge_removed(now, TOMBSTONE_RETENTION);
        let registry = &self.registry;
        self.confirmed.retain(|id| registry.get(id).is_some_and(|entry| entry.registration.is_some()));
        let silent = self.registry.expire(now, self.timeout, owns);
        silent.into_iter().map(|(id, sequence)| removed_message(&id, sequence)).collect()
    }

    /// This process could not listen for a while.
    pub fn excuse_silence(&mut self, now: Duration) {
        self.registry.restart_timeouts(now);
    }

    /// A peer that knows of the groups `known_to_peer` has everything up to the flush `token`.
    pub fn flushed(&mut self, token: u64, peer: SocketAddr, known_to_peer: KnownGroups, known: &KnownGroups) {
        let Some(pending) = self.pending.get_mut(&token) else { return };
        pending.confirmed_by.insert(peer, known_to_peer);
        self.acknowledge_confirmed(known);
    }

    /// A peer runs as another process than before: what the earlier one confirmed is lost with its memory.
    pub fn peer_restarted(&mut self, peer: SocketAddr) {
        if self.fault == Some(AcknowledgementFault::CountRestartedPeers) {
            return;
        }
        for pending in self.pending.values_mut() {
            pending.confirmed_by.remove(&peer);
        }
    }

    /// Acknowledges what is confirmed, now that confirmations or the groups `known` have changed.
    pub fn acknowledge_confirmed(&mut self, known: &KnownGroups) {
        let (this, fault) = (self.this, self.fault);
        let is_confirmed = |pending: &PendingAcknowledgement| pending.is_confirmed(this, known, fault);
        let confirmed = self.pending.iter().filter(|(_, pending)| is_confirmed(pending));
        let confirmed: Vec<u64> = confirmed.map(|(token, _)| *token).collect();
        for token in confirmed {
            let pending = self.pending.remove(&token).expect("it was just there");
            self.confirmed.insert(pending.id);
            let _ = pending.reply.send(acknowledged());
        }
    }

    /// A number for a flush that no acknowledgement waits for.
    pub fn next_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token = token.wrapping_add(1);
        token
    }

    /// Gives up acknowledgements for which no majority was reached in time.
    pub fn expire_pending(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            let pending = self.pending.remove(&token).expect("it was just there");
            let _ = pending.reply.send(too_few_reached());
        }
    }

    /// Acknowledgements that wait for the other replicas.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// When [`EndpointRegistry::expire_pending`] is to be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.until).min()
    }

    /// Live incarnations, for readers of the feed.
    pub fn snapshot(&self) -> impl Iterator<Item = Message> {
        self.registry.entries().flat_map(|(id, entry)| {
            let registration = entry.registration.as_ref();
            let residency_updates = registration.into_iter().flat_map(Registered::residency_updates);
            let registered = registration.map(|r| registered_message(id, entry.sequence, r));
            registered.into_iter().chain(residency_updates.cloned().map(Message::ResidencyUpdate))
        })
    }

    /// All incarnations, those that are gone included, for another controller.
    pub fn full_snapshot(&self) -> impl Iterator<Item = Message> {
        let gone = self.registry.entries().filter(|(_, entry)| entry.registration.is_none());
        self.snapshot().chain(gone.map(|(id, entry)| removed_message(id, entry.sequence)))
    }

    /// The registration of a live incarnation.
    pub fn registration(&self, id: &str) -> Option<&Registered> {
        self.registry.get(id)?.registration.as_ref()
    }

    /// Live registrations.
    pub fn live(&self) -> impl Iterator<Item = (&String, &Registered)> + Clone {
        self.registry.entries().filter_map(|(id, entry)| Some((id, entry.registration.as_ref()?)))
    }

    fn changed(&self, id: &str, replaced: Vec<String>) -> Vec<Message> {
        let removed = replaced.iter().map(|id| removed_message(id, FINAL_SEQUENCE));
        self.current(id).into_iter().chain(removed).collect()
    }

    fn current(&self, id: &str) -> Option<Message> {
        let entry = self.registry.get(id)?;
        Some(match &entry.registration {
            Some(registration) => registered_message(id, entry.sequence, registration),
            None => removed_message(id, entry.sequence),
        })
    }

    /// Lets an acknowledgement wait for the other replicas. Tells the token of the flush, if any is needed.
    fn wait(
        &mut self,
        now: Duration,
        id: &str,
        known: &KnownGroups,
        reply: oneshot::Sender<Answer>,
    ) -> Option<u64> {
        let until = now + REPLICATION_TIMEOUT;
        let pending =
            PendingAcknowledgement { reply, id: id.to_owned(), confirmed_by: BTreeMap::new(), until };
        let token = self.next_token();
        self.pending.insert(token, pending);
        self.acknowledge_confirmed(known);
        self.pending.contains_key(&token).then_some(token)
    }
}

fn acknowledged() -> Answer {
    Answer::new(200, "{}")
}

fn too_few_reached() -> Answer {
    Answer::unavailable(Unavailable::HeartbeatNotReplicated)
}

fn removed_message(id: &str, sequence: u64) -> Message {
    Message::Removed(Removed { id: id.into(), sequence })
}
