//! Discovery of the other controllers, and the messages that each is sent when its link comes up.
//!
//! The settings file may name other seeds at any time, with or without a signal. So a controller reads it again while a
//! seed has no link: the seeds with which a process started would otherwise stay among the controllers that it names to
//! its peers and agents, however long ago their machines were replaced.

use crate::controller::consensus::shards;
use crate::controller::membership::failure_domains::Location;
use crate::controller::{Controller, ControllerFault};
use crate::link::Outbox;
use crate::message::{Controllers, Message};
use lanegate_coordination::register::Input;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between reads of the settings file while a seed has no link.
const SEED_REVIEW_PERIOD: Duration = Duration::from_secs(2);

impl Controller {
    /// Whether a controller at `peer` is known.
    pub(crate) fn knows_peer(&self, peer: SocketAddr) -> bool {
        self.peers.is_known(peer)
    }

    /// Sends the full state of this controller to a peer whose link has come up.
    pub(crate) fn send_greeting(&self, outbox: &Outbox) {
        outbox.message(&self.controllers_message());
        if self.failure_domains.are_required() {
            outbox.message(&self.location_message());
        }
        outbox.message(&Message::MemberStatus(self.own_status()));
        for message in self.endpoints.full_snapshot() {
            outbox.message(&message);
        }
        outbox.message(&Message::SnapshotEnd { complete: u8::from(self.complete) });
        for message in self.recent_demand.messages(self.now()) {
            outbox.message(&message);
        }
    }

    /// Records that a controller exists at this address, and opens a link to it if it is new.
    pub(crate) fn discover_peer(&mut self, peer: SocketAddr) {
        let now = self.now();
        if !self.peers.observe(now, peer) {
            return;
        }
        self.environment.open_link(peer);
        self.controllers_changed();
        self.retry_replicas(peer);
    }

    /// Makes the replicas resend the requests that this peer has not answered.
    pub(crate) fn retry_replicas(&mut self, peer: SocketAddr) {
        let now = self.now();
        let SocketAddr::V4(address) = peer else { return };
        for shard in shards::all() {
            let outputs = self.shards.handle(now, shard, Input::PeerReachable { node: address.into() });
            self.execute_outputs(shard, outputs);
        }
    }

    /// Removes peers that have not been named for long. Seeds and members of any group never expire, so that they and a
    /// controller that was partitioned for long find each other again.
    pub(crate) fn expire_peers(&mut self, now: Duration) {
        self.review_seeds(now);
        let members = shards::all().flat_map(|shard| self.group(shard));
        let needed: Vec<SocketAddr> = members.chain(self.settings.seeds.iter().copied()).collect();
        if !self.has_fault(ControllerFault::ExpireMembers) {
            needed.into_iter().for_each(|peer| self.discover_peer(peer));
        }
        let expired = self.peers.expire(now);
        if expired.is_empty() {
            return;
        }
        for peer in expired {
            self.environment.close_link(peer);
        }
        self.controllers_changed();
    }

    /// Reads the settings file again if a seed has no link, at most once in [`SEED_REVIEW_PERIOD`].
    fn review_seeds(&mut self, now: Duration) {
        let is_due = now >= self.settings_read_at + SEED_REVIEW_PERIOD;
        let all_linked = self.settings.seeds.iter().all(|seed| self.peers.is_linked(*seed));
        if is_due && !all_linked && !self.has_fault(ControllerFault::KeepSeeds) {
            self.read_seeds();
        }
    }

    fn controllers_changed(&mut self) {
        let now = self.now();
        self.membership.set_nodes(now, &self.peers.addresses());
        let message = self.controllers_message();
        self.peers.broadcast(&message);
        self.subscribers.append(&message);
    }

    pub(crate) fn controllers_message(&self) -> Message {
        let addresses: Vec<String> = self.peers.addresses().iter().map(ToString::to_string).collect();
        Message::Controllers(Controllers { addresses: addresses.join(" ").as_str().into() })
    }

    /// The location of this controller, as a list of controllers that names none: a peer of an earlier release skips words
    /// that are no addresses.
    fn location_message(&self) -> Message {
        let words = Location::of(&self.settings).to_words();
        Message::Controllers(Controllers { addresses: words.as_str().into() })
    }

    /// Records the location of a peer. A spare in another zone may allow a change of a group.
    pub(crate) fn record_location(&mut self, peer: SocketAddr, location: Location) {
        if self.failure_domains.record(peer, location) {
            self.reconcile_members(self.now());
        }
    }

    /// Reads the settings file again, and opens links to the controllers that it names; other settings are not changed.
    pub(crate) fn read_settings(&mut self) {
        self.read_seeds();
        let seeds = self.settings.seeds.clone();
        seeds.into_iter().for_each(|seed| self.discover_peer(seed));
    }

    fn read_seeds(&mut self) {
        self.settings_read_at = self.now();
        match self.environment.read_settings() {
            Ok(settings) => self.settings.seeds = settings.seeds,
            Err(findings) => log::warn!("settings not reloaded error={findings}"),
        }
    }
}
