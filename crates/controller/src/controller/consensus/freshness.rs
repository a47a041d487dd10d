//! Tracks whether the configuration that this controller knows is current.
//!
//! Quorum contact shows that updates can arrive, not that all earlier ones have arrived. Therefore, whenever a
//! controller gains contact with the configuration's replica group (at its start, or after a partition or a freeze), it
//! first reads the register through a majority. A read that starts while in contact returns every change that was
//! acknowledged before the read. The feed reports this controller as current only once that read has completed, and
//! only until contact is lost.
//!
//! A group member that does not answer this controller may still commit changes with other members, and its
//! announcements reach only the controllers that it can reach. Therefore the register is read periodically while some
//! member does not answer.

use crate::controller::consensus::shards;
use crate::controller::operator::pending_changes::ANSWER_TIMEOUT;
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use lanegate_coordination::register::{Input, Outcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How the locally known configuration relates to the newest one that a majority has committed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Knowledge {
    /// Not in contact, or back in contact without a read yet.
    #[default]
    Unknown,
    /// A read of the register, which started while in contact, is in flight under this request number.
    Reading(u64),
    /// A read has completed, and contact has lasted since before it started.
    Current,
}

/// How contact changed since it was last observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ContactChange {
    /// Contact with the group of at least one shard has begun.
    pub contact_started: bool,
    /// The register of the configuration has to be read.
    pub read: bool,
    /// The status that was last sent to subscribers of the feed is outdated.
    pub notify: bool,
}

/// Contact with the replica groups at the last observation, and whether the locally known configuration is current.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    in_contact: BTreeSet<u8>,
    knowledge: Knowledge,
    /// The status that was last sent to subscribers of the feed.
    advertised: bool,
}

impl Freshness {
    /// Updates the contact status and returns what changed; `reached` are the shards whose groups are in contact now.
    pub(crate) fn observe_contact(&mut self, reached: BTreeSet<u8>) -> ContactChange {
        let contact_started = !reached.is_subset(&self.in_contact);
        self.in_contact = reached;
        if !self.in_contact.contains(&shards::CONFIGURATION) {
            self.knowledge = Knowledge::Unknown;
        }
        let reached = self.in_contact.contains(&shards::CONFIGURATION);
        let notify = self.advertised != self.is_current();
        self.advertised = self.is_current();
        ContactChange { contact_started, read: reached && self.knowledge == Knowledge::Unknown, notify }
    }

    /// A read of the register has started under `request`.
    pub(crate) fn read_started(&mut self, request: u64) {
        self.knowledge = Knowledge::Reading(request);
    }

    /// The read `request` has ended; `known` states whether it returned a value. Ignored if contact was lost during the
    /// read.
    pub(crate) fn read_ended(&mut self, request: u64, known: bool) {
        if self.knowledge == Knowledge::Reading(request) {
            self.knowledge = if known { Knowledge::Current } else { Knowledge::Unknown };
        }
    }

    /// Whether the configuration was read since contact last began.
    pub(crate) fn is_current(&self) -> bool {
        self.knowledge == Knowledge::Current
    }

    /// Whether there was contact with the configuration's group at the last observation.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.in_contact.contains(&shards::CONFIGURATION)
    }
}

impl Controller {
    /// The committed replica groups of a shard, each of which needs a majority: two during a membership change, none
    /// while they are not known.
    fn groups(&self, shard: u8) -> Vec<Vec<SocketAddr>> {
        let Some(value) = self.shards.get(shard).committed() else { return Vec::new() };
        let addresses = |node: &lanegate_coordination::register::Node| SocketAddr::V4((*node).into());
        value.groups.iter().map(|group| group.members().iter().map(addresses).collect()).collect()
    }

    /// Whether a majority of the shard's group has answered within the contact validity. Reads the clock again, because
    /// the process may have stalled.
    pub(crate) fn has_contact(&self, shard: u8) -> bool {
        self.quorum_contact.reaches(self.now(), &self.groups(shard))
    }

    /// Whether the configuration that this controller knows is current.
    pub(crate) fn is_current(&self) -> bool {
        self.freshness.is_current() && self.has_contact(shards::CONFIGURATION)
    }

    /// When contact with the configuration's group ends unless further answers arrive.
    pub(crate) fn contact_expiry(&self) -> Option<Duration> {
        let in_contact = self.freshness.is_in_contact();
        in_contact.then(|| self.quorum_contact.valid_until(&self.groups(shards::CONFIGURATION))).flatten()
    }

    /// Reacts to the beginning and the end of quorum contact.
    pub(crate) fn update_contact(&mut self) {
        let reached: BTreeSet<u8> = shards::all().filter(|shard| self.has_contact(*shard)).collect();
        let change = self.freshness.observe_contact(reached);
        if change.contact_started {
            // Endpoint heartbeats that other controllers received in the meantime are still on their way to this one.
            self.endpoints.reset_timeouts(self.now());
        }
        if change.read {
            self.read_barrier();
        }
        if change.notify {
            log::info!("configuration freshness changed current={}", self.freshness.is_current());
            self.send_feed_heartbeat();
        }
    }

    fn read_barrier(&mut self) {
        let request = self.request_number();
        self.freshness.read_started(request);
        self.start_read(request, InFlightRequest::Barrier);
    }

    /// Reads the configuration again while a member of its group does not answer: that member may have committed a
    /// change whose announcement does not arrive here. This controller still counts as current during the read.
    pub(crate) fn reread_configuration(&mut self) {
        if !self.is_current() || self.has_fault(ControllerFault::SkipReread) {
            return;
        }
        let now = self.now();
        let answers = |member: &SocketAddr| self.quorum_contact.is_answered_by(now, *member);
        if self.groups(shards::CONFIGURATION).iter().flatten().all(answers) {
            return;
        }
        let request = self.request_number();
        self.start_read(request, InFlightRequest::Reread);
    }

    /// Reads the configuration's register through a majority.
    pub(in crate::controller) fn start_read(&mut self, request: u64, purpose: InFlightRequest) {
        let now = self.now();
        self.in_flight.insert(request, purpose);
        let deadline = now + ANSWER_TIMEOUT;
        let outputs = self.shards.handle(now, shards::CONFIGURATION, Input::Read { request, deadline });
        self.execute_outputs(shards::CONFIGURATION, outputs);
    }

    /// The read that [`Freshness`] waits for has ended. The value that it returned has been applied already.
    pub(crate) fn on_barrier_read(&mut self, request: u64, outcome: &Outcome) {
        self.freshness.read_ended(request, matches!(outcome, Outcome::Value { .. }));
        self.update_contact();
    }
}
