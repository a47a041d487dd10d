//! Messages of other controllers.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::consensus::shards;
use crate::controller::endpoints::registry::RemovalMerge;
use crate::controller::{Controller, ControllerFault};
use crate::message::{Confirmation, Message, ResidencyUpdate, ShardMessage, Token};
use lanegate_coordination::lease::LeaseMessage;
use lanegate_coordination::membership::Heartbeat;
use lanegate_coordination::register::{self, Input};
use std::net::SocketAddr;

impl Controller {
    pub(crate) fn peer_message(&mut self, peer: SocketAddr, message: Message) {
        let now = self.now();
        match message {
            Message::Heartbeat { body } => {
                if let Ok(heartbeat) = Heartbeat::decode(&body.bytes) {
                    self.peers.send(peer, &Message::HeartbeatEcho { body });
                    self.quorum_contact.heartbeat_received(now, peer);
                    let outputs = self.membership.on_heartbeat(now, &heartbeat);
                    self.membership_outputs(outputs);
                }
            }
            Message::HeartbeatEcho { body } => {
                if let Ok(heartbeat) = Heartbeat::decode(&body.bytes) {
                    self.quorum_contact.echo_received(now, peer, &heartbeat);
                }
            }
            Message::Register(message) => self.register_message(peer, &message),
            Message::Lease(message) => {
                if let Ok(message) = LeaseMessage::decode(&message.body.bytes) {
                    let outputs = self.leases.on_message(now, peer, &message);
                    self.lease_outputs(outputs);
                }
            }
            Message::Registered(registered) => {
                let merge = self.endpoints.merge(now, &registered);
                for message in &merge.updates {
                    self.subscribers.append(message);
                }
                if merge.relay && !self.has_fault(ControllerFault::KeepDrainsFromPeers) {
                    merge.updates.iter().for_each(|message| self.peers.broadcast(message));
                }
                self.update_placers(&registered.id.text());
            }
            Message::Removed(removed) => {
                let relays = self.endpoints.relays_removal(&removed);
                if relays && !self.has_fault(ControllerFault::KeepDrainsFromPeers) {
                    self.peers.broadcast(&Message::Removed(removed.clone()));
                }
                match self.endpoints.merge_removal(now, &removed) {
                    RemovalMerge::Removed if self.has_fault(ControllerFault::KeepRemovalsFromAgents) => {}
                    RemovalMerge::Removed => self.subscribers.append(&Message::Removed(removed.clone())),
                    RemovalMerge::Contradicted(registered) => {
                        self.subscribers.append(&registered);
                        self.peers.broadcast(&registered);
                    }
                    RemovalMerge::Known => {}
                }
                self.update_placers(&removed.id.text());
            }
            Message::ResidencyUpdate(holding) => self.apply_peer_residency(holding),
            Message::HeartbeatBatch(list) => {
                self.endpoints.merge_heartbeats(now, &list);
                list.heartbeats.iter().for_each(|heartbeat| self.update_placers(&heartbeat.id.text()));
            }
            Message::SnapshotEnd { complete: 1 } => self.mark_complete(),
            Message::Flush(Token { token }) => {
                let known = self.known_groups(shards::CONFIGURATION);
                self.peers.send(peer, &Message::Flushed(known.confirmation(token)));
            }
            Message::Flushed(confirmation) => self.flushed(peer, &confirmation),
            Message::MemberStatus(standing) => self.record_status(peer, standing),
            Message::Controllers(controllers) => {
                let text = controllers.addresses.text();
                text.split_whitespace()
                    .filter_map(|a| a.parse().ok())
                    .for_each(|peer| self.discover_peer(peer));
            }
            Message::Change(change) => {
                let request =
                    self.pending_changes.begin_forwarded(now, peer, change.request, change.body.bytes);
                self.propose_change(request);
            }
            Message::ChangeOutcome(outcome) => self.complete_change(outcome.request, &outcome.body.bytes),
            Message::Demand(demand) => self.on_demand(&demand),
            _ => {}
        }
    }

    /// A peer has all that was sent to it before a flush.
    fn flushed(&mut self, peer: SocketAddr, confirmation: &Confirmation) {
        let known = self.known_groups(shards::CONFIGURATION);
        let known_to_peer = KnownGroups::from_confirmation(confirmation);
        self.endpoints.flushed(confirmation.token, peer, known_to_peer, &known);
        if let Some(handover) = &mut self.handover {
            handover.flushed(confirmation.token, peer);
        }
    }

    /// Another controller's placer knows of a model at an endpoint.
    fn apply_peer_residency(&mut self, holding: ResidencyUpdate) {
        if self.endpoints.apply_residency(&holding) {
            self.subscribers.append(&Message::ResidencyUpdate(holding));
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
            Err(error) => log::warn!("message of {peer} for shard {}: {error}", message.shard),
        }
    }
}
