//! Handling of messages from other controllers.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::consensus::shards;
use crate::controller::endpoints::registry::RemovalMerge;
use crate::controller::membership::failure_domains::Location;
use crate::controller::{Controller, ControllerFault};
use crate::message::{
    Blob, Confirmation, Controllers, Forwarded, HeartbeatBatch, Message, Registered, Removed,
    ResidencyUpdate, ShardMessage, Token,
};
use lanegate_coordination::lease::LeaseMessage;
use lanegate_coordination::membership::Heartbeat;
use lanegate_coordination::register::{self, Input};
use std::net::SocketAddr;

impl Controller {
    /// Handles a message from another controller.
    pub(crate) fn peer_message(&mut self, peer: SocketAddr, message: Message) {
        match message {
            Message::Heartbeat { body } => self.on_peer_heartbeat(peer, body),
            Message::HeartbeatEcho { body } => self.on_heartbeat_echo(peer, &body),
            Message::Register(message) => self.register_message(peer, &message),
            Message::Lease(message) => self.on_lease_message(peer, &message),
            Message::Registered(registered) => self.merge_registration(peer, &registered),
            Message::Removed(removed) => self.merge_removal(peer, &removed),
            Message::ResidencyUpdate(update) => self.apply_peer_residency(update),
            Message::HeartbeatBatch(batch) => self.merge_heartbeats(peer, &batch),
            Message::SnapshotEnd { complete: 1 } => self.mark_complete(),
            Message::Flush(flush) => self.confirm_flush(peer, flush),
            Message::Flushed(confirmation) => self.flushed(peer, &confirmation),
            Message::MemberStatus(status) => self.record_status(peer, status),
            Message::Controllers(controllers) => self.on_controllers(peer, &controllers),
            Message::Change(change) => self.propose_forwarded(peer, change),
            Message::ChangeOutcome(outcome) => self.complete_change(outcome.request, &outcome.body.bytes),
            Message::Demand(demand) => self.on_demand(&demand),
            _ => {}
        }
    }

    fn on_peer_heartbeat(&mut self, peer: SocketAddr, body: Blob) {
        let now = self.now();
        let Ok(heartbeat) = Heartbeat::decode(&body.bytes) else { return };
        self.peers.send(peer, &Message::HeartbeatEcho { body });
        self.quorum_contact.heartbeat_received(now, peer);
        let outputs = self.membership.on_heartbeat(now, &heartbeat);
        self.membership_outputs(outputs);
    }

    fn on_heartbeat_echo(&mut self, peer: SocketAddr, body: &Blob) {
        let now = self.now();
        if let Ok(heartbeat) = Heartbeat::decode(&body.bytes) {
            self.quorum_contact.echo_received(now, peer, &heartbeat);
        }
    }

    fn on_lease_message(&mut self, peer: SocketAddr, message: &ShardMessage) {
        let now = self.now();
        if let Ok(message) = LeaseMessage::decode(&message.body.bytes) {
            let outputs = self.leases.on_message(now, peer, &message);
            self.lease_outputs(outputs);
        }
    }

    fn merge_registration(&mut self, peer: SocketAddr, registered: &Registered) {
        let merge = self.endpoints.merge(self.now(), registered);
        for message in &merge.updates {
            self.subscribers.append(message);
        }
        if merge.relay && !self.has_fault(ControllerFault::SkipDrainRelay) {
            merge.updates.iter().for_each(|message| self.peers.broadcast(message));
        } else {
            merge.updates.iter().for_each(|message| self.relay(peer, message));
        }
        self.update_placers(&registered.id.text());
        self.update_placers_of_removed(&merge.updates);
    }

    /// Relays a message from `source` to the peers that are considered partitioned from its sender.
    fn relay(&mut self, source: SocketAddr, message: &Message) {
        if self.has_fault(ControllerFault::SkipHeartbeatRelay) {
            return;
        }
        let targets = self.relay_targets.targets(self.now(), source);
        targets.into_iter().for_each(|target| self.peers.send(target, message));
    }

    fn merge_removal(&mut self, peer: SocketAddr, removed: &Removed) {
        let relays = self.endpoints.relays_removal(removed);
        if relays && !self.has_fault(ControllerFault::SkipDrainRelay) {
            self.peers.broadcast(&Message::Removed(removed.clone()));
        }
        match self.endpoints.merge_removal(self.now(), removed) {
            RemovalMerge::Removed if self.has_fault(ControllerFault::SkipRemovalForwarding) => {}
            RemovalMerge::Removed => self.subscribers.append(&Message::Removed(removed.clone())),
            RemovalMerge::Contradicted(registered) => {
                self.relay_targets.contradicted(self.now(), peer);
                self.subscribers.append(&registered);
                self.peers.broadcast(&registered);
            }
            RemovalMerge::Known => {}
        }
        self.update_placers(&removed.id.text());
    }

    fn merge_heartbeats(&mut self, peer: SocketAddr, batch: &HeartbeatBatch) {
        let newer = self.endpoints.merge_heartbeats(self.now(), batch);
        if !newer.is_empty() {
            self.relay(peer, &Message::HeartbeatBatch(newer.into()));
        }
        batch.heartbeats.iter().for_each(|heartbeat| self.update_placers(&heartbeat.id.text()));
    }

    /// Confirms a flush once the tombstones that were received before it are on disk.
    fn confirm_flush(&mut self, peer: SocketAddr, flush: Token) {
        let may_confirm = self.endpoints.tombstone_log.may_confirm(self.now(), peer, flush.token);
        if may_confirm || self.endpoints.acknowledgements.counts_unwritten() {
            self.send_confirmation(peer, flush.token);
        }
    }

    fn send_confirmation(&self, peer: SocketAddr, token: u64) {
        let known = self.known_groups(shards::CONFIGURATION);
        self.peers.send(peer, &Message::Flushed(known.confirmation(token)));
    }

    /// Writes the tombstones that are not on disk yet, unless a write is pending or has just failed.
    pub(crate) fn write_tombstones(&mut self) {
        let now = self.now();
        if let Some(write) = self.endpoints.tombstone_log.take_write(now) {
            self.environment.persist_tombstones(write);
        }
    }

    /// A write of the tombstone log has ended: acknowledgements and confirmations may have waited for it.
    pub(crate) fn tombstones_written(&mut self, version: u64, durable: bool) {
        self.endpoints.tombstone_log.write_ended(self.now(), version, durable);
        let known = self.acknowledging_groups();
        let durable_version = self.endpoints.tombstone_log.durable_version();
        self.endpoints.acknowledgements.tombstones_written(durable_version, &known);
        for (peer, token) in self.endpoints.tombstone_log.take_confirmable() {
            self.send_confirmation(peer, token);
        }
    }

    /// A peer names the controllers that it knows, or its own location.
    fn on_controllers(&mut self, peer: SocketAddr, controllers: &Controllers) {
        let addresses = controllers.addresses.text();
        if let Some(location) = Location::from_words(&addresses) {
            self.record_location(peer, location);
        }
        let peers = addresses.split_whitespace().filter_map(|address| address.parse().ok());
        peers.for_each(|peer| self.discover_peer(peer));
    }

    fn propose_forwarded(&mut self, peer: SocketAddr, change: Forwarded) {
        let now = self.now();
        let request = self.pending_changes.begin_forwarded(now, peer, change.request, change.body.bytes);
        self.propose_change(request);
    }

    /// A peer confirms that it has received everything that was sent to it before a flush.
    fn flushed(&mut self, peer: SocketAddr, confirmation: &Confirmation) {
        let known = self.known_groups(shards::CONFIGURATION);
        let known_to_peer = KnownGroups::from_confirmation(confirmation);
        self.endpoints.acknowledgements.flushed(confirmation.token, peer, known_to_peer, &known);
        if let Some(handover) = &mut self.handover {
            handover.flushed(confirmation.token, peer);
        }
    }

    /// Merges a residency update from a placer of another controller.
    fn apply_peer_residency(&mut self, update: ResidencyUpdate) {
        if self.endpoints.apply_residency(&update) {
            self.subscribers.append(&Message::ResidencyUpdate(update));
        }
    }

    fn register_message(&mut self, peer: SocketAddr, message: &ShardMessage) {
        let SocketAddr::V4(from) = peer else { return };
        match register::Message::decode(&message.body.bytes) {
            Ok(decoded) => {
                let input = Input::Message { from: from.into(), message: decoded };
                let outputs = self.shards.handle(self.now(), message.shard, input);
                self.execute_outputs(message.shard, outputs);
            }
            Err(error) => {
                log::warn!("register message not decoded peer={peer} shard={} error={error}", message.shard)
            }
        }
    }
}
