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
                    self.contact.heard(now, peer);
                    let outputs = self.membership.on_heartbeat(now, &heartbeat);
                    self.membership_outputs(outputs);
                }
            }
            Message::HeartbeatEcho { body } => {
                if let Ok(heartbeat) = Heartbeat::decode(&body.bytes) {
                    self.contact.echoed(now, peer, &heartbeat);
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
                for message in &merge.news {
                    self.readers.append(message);
                }
                if merge.relay && !self.has_fault(ControllerFault::KeepDrainsFromPeers) {
                    merge.news.iter().for_each(|message| self.peers.broadcast(message));
                }
                self.tell_placers(&registered.id.text());
            }
            Message::Removed(removed) => {
                let relays = self.endpoints.relays_removal(&removed);
                if relays && !self.has_fault(ControllerFault::KeepDrainsFromPeers) {
                    self.peers.broadcast(&Message::Removed(removed.clone()));
                }
                match self.endpoints.merge_removal(now, &removed) {
                    RemovalMerge::Removed if self.has_fault(ControllerFault::KeepRemovalsFromAgents) => {}
                    RemovalMerge::Removed => self.readers.append(&Message::Removed(removed.clone())),
                    RemovalMerge::Contradicted(registered) => {
                        self.readers.append(&registered);
                        self.peers.broadcast(&registered);
                    }
                    RemovalMerge::Known => {}
                }
                self.tell_placers(&removed.id.text());
            }
            Message::ResidencyUpdate(holding) => self.held_elsewhere(holding),
            Message::HeartbeatBatch(list) => {
                self.endpoints.merge_heartbeats(now, &list);
                list.heartbeats.iter().for_each(|heartbeat| self.tell_placers(&heartbeat.id.text()));
            }
            Message::SnapshotEnd { complete: 1 } => self.became_complete(),
            Message::Flush(Token { token }) => {
                let known = self.known_groups(shards::CONFIGURATION);
                self.peers.send(peer, &Message::Flushed(known.confirmation(token)));
            }
            Message::Flushed(confirmation) => self.flushed(peer, &confirmation),
            Message::MemberStatus(standing) => self.stands(peer, standing),
            Message::Controllers(controllers) => {
                let text = controllers.addresses.text();
                text.split_whitespace().filter_map(|a| a.parse().ok()).for_each(|peer| self.know(peer));
            }
            Message::Change(change) => {
                let request = self.pending_changes.begin_for(now, peer, change.request, change.body.bytes);
                self.propose(request);
            }
            Message::ChangeOutcome(outcome) => self.change_settled(outcome.request, &outcome.body.bytes),
            Message::Demand(demand) => self.demand(&demand),
            _ => {}
        }
    }

    /// A peer has all that was sent to it before a flush.
    fn flushed(&mut self, peer: SocketAddr, confirmation: &Confirmation) {
        let known = self.known_groups(shards::CONFIGURATION);
        let told = KnownGroups::told(confirmation);
        self.endpoints.flushed(confirmation.token, peer, told, &known);
        if let Some(handover) = &mut self.handover {
            handover.flushed(confirmation.token, peer);
        }
    }

    /// Another controller's placer knows of a model at an endpoint.
    fn held_elsewhere(&mut self, holding: ResidencyUpdate) {
        if self.endpoints.hold(&holding) {
            self.readers.append(&Message::ResidencyUpdate(holding));
        }
    }

    fn register_message(&mut self, peer: SocketAddr, message: &ShardMessage) {
        let SocketAddr::V4(from) = peer else { return };
        match register::Message::decode(&message.body.bytes) {
            Ok(decoded) => {
                let input = Input::Message { from: from.into(), message: decoded };
                let outputs = self.shards.handle(self.now(), message.shard, input);
                self.follow(message.shard, outputs);
            }
            Err(error) => log::warn!("message of {peer} for shard {}: {error}", message.shard),
        }
    }
}
