//! Whether the configuration that this controller knows is current.
//!
//! Contact with a majority says that updates can arrive; it does not say that all of them have arrived. So a
//! controller whose contact with the group of the configuration begins, at its start, after a partition or a freeze,
//! first reads the register: a read that was begun in contact misses nothing that was acknowledged before it.
//! Only from its answer on, and for as long as contact lasts unbroken, does the feed call this controller
//! current.
//!
//! A member of the group that does not answer may commit changes all the same, with others whom it reaches, and announces
//! them to those whom it reaches only. So while some member does not answer, the register is read again and again.

use crate::controller::consensus::shards;
use crate::controller::operator::pending_changes::ANSWER_TIMEOUT;
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use lanegate_coordination::register::{Input, Outcome};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// What is known of the configuration, compared with what a majority knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Knowledge {
    /// Out of contact, or in contact again without having read.
    #[default]
    Unknown,
    /// The register is read, under this request, begun in contact.
    Reading(u64),
    /// It has been read, and contact has lasted since before that.
    Current,
}

/// How contact changed since it was last observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ContactChange {
    /// Contact with the group of some shard has begun.
    pub contact_started: bool,
    /// The register of the configuration is to be read.
    pub read: bool,
    /// What subscribers of the feed were last notified of is not true any more.
    pub notify: bool,
}

/// Contact with the groups as it was last observed, and whether the configuration known here is current.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    in_contact: BTreeSet<u8>,
    knowledge: Knowledge,
    /// What subscribers of the feed were notified of last.
    advertised: bool,
}

impl Freshness {
    /// Compares contact with what it was; `reached` are the shards whose groups are in contact now.
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

    /// The register is being read under `request`.
    pub(crate) fn read_started(&mut self, request: u64) {
        self.knowledge = Knowledge::Reading(request);
    }

    /// The read `request` has ended, with the value or without. One that contact did not outlast is void.
    pub(crate) fn read_ended(&mut self, request: u64, known: bool) {
        if self.knowledge == Knowledge::Reading(request) {
            self.knowledge = if known { Knowledge::Current } else { Knowledge::Unknown };
        }
    }

    /// Whether the configuration was read in the contact that lasts.
    pub(crate) fn is_current(&self) -> bool {
        self.knowledge == Knowledge::Current
    }

    /// Whether there was contact with the group of the configuration when it was last observed.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.in_contact.contains(&shards::CONFIGURATION)
    }
}

impl Controller {
    /// The groups of a shard whose majorities count: two while the members change, none while not known.
    fn groups(&self, shard: u8) -> Vec<Vec<SocketAddr>> {
        let Some(value) = self.shards.get(shard).committed() else { return Vec::new() };
        let addresses = |node: &lanegate_coordination::register::Node| SocketAddr::V4((*node).into());
        value.groups.iter().map(|group| group.members().iter().map(addresses).collect()).collect()
    }

    /// Whether a majority of the shard's group has answered a moment ago. The clock is read anew.
    pub(crate) fn has_contact(&self, shard: u8) -> bool {
        self.quorum_contact.reaches(self.now(), &self.groups(shard))
    }

    /// Whether the configuration that this controller knows is current.
    pub(crate) fn is_current(&self) -> bool {
        self.freshness.is_current() && self.has_contact(shards::CONFIGURATION)
    }

    /// When contact ends, if nobody answers any more.
    pub(crate) fn contact_expiry(&self) -> Option<Duration> {
        let in_contact = self.freshness.is_in_contact();
        in_contact.then(|| self.quorum_contact.valid_until(&self.groups(shards::CONFIGURATION))).flatten()
    }

    /// Reacts to the beginning and the end of quorum contact.
    pub(crate) fn update_contact(&mut self) {
        let reached: BTreeSet<u8> = shards::all().filter(|shard| self.has_contact(*shard)).collect();
        let change = self.freshness.observe_contact(reached);
        if change.contact_started {
            // Heartbeats that other controllers received meanwhile are still in flight.
            self.endpoints.reset_timeouts(self.now());
        }
        if change.read {
            self.read_barrier();
        }
        if change.notify {
            log::info!("configuration currency changed current={}", self.freshness.is_current());
            self.send_feed_heartbeat();
        }
    }

    fn read_barrier(&mut self) {
        let request = self.request_number();
        self.freshness.read_started(request);
        self.start_read(request, InFlightRequest::Barrier);
    }

    /// Reads the configuration again while a member of its group does not answer: that member may have committed a change
    /// whose announcement does not arrive here. The flag is not taken back meanwhile.
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

    /// The read that [`Freshness`] waits for has ended; what it found has been learned already.
    pub(crate) fn on_barrier_read(&mut self, request: u64, outcome: &Outcome) {
        self.freshness.read_ended(request, matches!(outcome, Outcome::Value { .. }));
        self.update_contact();
    }
}
