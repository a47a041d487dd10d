//! The metrics of a controller, collected from its state at each scrape.
//!
//! `tests/behaviour_digests.rs` covers the help texts of the metrics that [`Controller::metrics`] exports.

use crate::controller::Controller;
use crate::controller::consensus::disk::DiskCounts;
use crate::controller::consensus::shards;
use crate::controller::counters::{ChangeOutcome, OPERATIONS, OrderOutcome};
use crate::controller::operator::unavailable::{Unavailable, UnavailableCounts};
use lanegate_config::instance::InstanceState;
use lanegate_coordination::register::Status;
use lanegate_http_framing::RefusalCounts;
use lanegate_metrics::{Exposition, Metric};
use std::time::Duration;

const SHARD_ROLE: Metric = Metric::gauge(
    "lanegate_controller_shard_role",
    "1 for the role that this controller's replica of the shard has now, 0 for the others",
);
const SHARD_REVISION: Metric = Metric::gauge(
    "lanegate_controller_shard_revision",
    "Newest decided revision of the shard that is known here, 0 for none",
);
const SHARD_MEMBERS: Metric =
    Metric::gauge("lanegate_controller_shard_members", "Members of the shard's newest group known here");
const SHARD_FAULT_TOLERANCE: Metric = Metric::gauge(
    "lanegate_controller_shard_margin",
    "Further losses that the shard can bear; without a sample while it has no majority",
);
const SHARD_OWNER: Metric = Metric::gauge(
    "lanegate_controller_shard_owner",
    "1 if this controller is the one that acts for the shard first, as far as it knows",
);
const SHARD_CONTACT: Metric = Metric::gauge(
    "lanegate_controller_shard_contact",
    "1 while a majority of the shard's group has answered this controller a moment ago",
);
const SHARD_LEASE: Metric = Metric::gauge(
    "lanegate_controller_shard_lease",
    "1 while this controller holds the lease of the shard and may act now",
);
const SHARD_EPOCH: Metric = Metric::gauge(
    "lanegate_controller_shard_epoch",
    "Epoch under which this controller acts for the shard, 0 for none",
);
const TENURES: Metric =
    Metric::counter("lanegate_controller_tenures_total", "Tenures of leases that this controller has begun");
const QUORUM: Metric = Metric::gauge(
    "lanegate_controller_quorum",
    "1 while a majority of the configuration's group has answered this controller a moment ago",
);
const CURRENT: Metric = Metric::gauge(
    "lanegate_controller_current",
    "1 while this controller vouches for the configuration that it knows",
);
const COMPLETE: Metric = Metric::gauge(
    "lanegate_controller_complete",
    "1 once everyone that registers with the system has been heard",
);
const DRAINING: Metric = Metric::gauge("lanegate_controller_leaving", "1 once the process was asked to end");
const LIVE_CONTROLLERS: Metric =
    Metric::gauge("lanegate_controller_live_controllers", "Controllers that are heard, this one included");
const LINKED_PEERS: Metric =
    Metric::gauge("lanegate_controller_linked_peers", "Other controllers to which a link is up");
const ROUTERS: Metric = Metric::gauge("lanegate_controller_routers", "Routers that are live");
const SUBSCRIBERS: Metric =
    Metric::gauge("lanegate_controller_readers", "Agents that follow this controller's feed");
const REGISTRATIONS: Metric =
    Metric::gauge("lanegate_controller_registrations", "Live registrations of endpoints, by their state");
const ACKNOWLEDGEMENTS_WAITING: Metric = Metric::gauge(
    "lanegate_controller_acknowledgements_waiting",
    "Ends and drains of endpoints that wait until a majority knows of them",
);
const EXPIRIES: Metric = Metric::counter(
    "lanegate_controller_expiries_total",
    "Endpoints that this controller removed as they were silent for too long",
);
const INVALID_ANSWERS: Metric = Metric::counter(
    "lanegate_controller_invalid_answers_total",
    "Answers of endpoints to orders and report requests that are not valid, by endpoint and reason",
);
const ORDERS: Metric = Metric::counter(
    "lanegate_controller_orders_total",
    "Orders to endpoints that have ended, by operation and outcome",
);
const ORDERS_IN_FLIGHT: Metric =
    Metric::gauge("lanegate_controller_orders_under_way", "Orders that were given and have no answer yet");
const CHANGES: Metric = Metric::counter(
    "lanegate_controller_changes_total",
    "Changes of the configuration that an operator sent here, by their outcome",
);
const CHANGES_IN_FLIGHT: Metric =
    Metric::gauge("lanegate_controller_changes_under_way", "Changes that have no outcome yet");
const CONFIGURATION_REVISION: Metric = Metric::gauge(
    "lanegate_controller_configuration_revision",
    "Revision of the newest configuration that is known here, 0 for none",
);
const CONFIGURATION_VERSION: Metric = Metric::gauge(
    "lanegate_controller_configuration_version",
    "Version of the newest configuration that is known here, 0 for none",
);
const STALLS: Metric = Metric::counter(
    "lanegate_controller_pauses_total",
    "Times that the process noticed that it had stood still",
);
const UNAVAILABLE: Metric = Metric::counter(
    "lanegate_controller_unavailable_total",
    "Calls on the control interface that were answered 503, by reason",
);
const DISK_WRITES: Metric = Metric::counter(
    "lanegate_controller_disk_writes_total",
    "Attempts to write and sync a record, by result",
);
const DISK_WRITE_TIME: Metric = Metric::counter(
    "lanegate_controller_disk_write_seconds_total",
    "Total time spent writing and syncing records",
);
const DISK_WRITE_LONGEST: Metric = Metric::gauge(
    "lanegate_controller_disk_write_longest_seconds",
    "Longest time that a single write has taken since the start",
);
const DISK_WRITES_WAITING: Metric =
    Metric::gauge("lanegate_controller_disk_writes_waiting", "Records that are queued or being written");

/// Values of the role label of a replica.
const ROLES: [&str; 3] = ["member", "spare", "recovering"];

impl Controller {
    /// Collects the current metrics.
    pub(crate) fn metrics(&self) -> Exposition {
        let mut exposition = Exposition::default();
        for shard in shards::all() {
            self.add_shard(&mut exposition, shard);
        }
        self.add_status(&mut exposition);
        self.add_endpoints(&mut exposition);
        self.add_counts(&mut exposition);
        exposition.set_violations(&self.violations);
        exposition
    }

    fn add_shard(&self, exposition: &mut Exposition, shard: u8) {
        let name = shard.to_string();
        let labels = [("shard", name.as_str())];
        let replica = self.shards.get(shard);
        let role = role(replica.status());
        for known in ROLES {
            exposition.set_labelled(&SHARD_ROLE, &[labels[0], ("role", known)], role == known);
        }
        let revision = replica.committed().map_or(0, |value| value.revision);
        exposition.set_labelled(&SHARD_REVISION, &labels, revision);
        exposition.set_labelled(&SHARD_MEMBERS, &labels, self.group(shard).len());
        exposition.declare(&SHARD_FAULT_TOLERANCE);
        if let Some(margin) = self.fault_tolerance(shard) {
            exposition.set_labelled(&SHARD_FAULT_TOLERANCE, &labels, margin);
        }
        exposition.set_labelled(&SHARD_OWNER, &labels, self.owns(shard));
        exposition.set_labelled(&SHARD_CONTACT, &labels, self.has_contact(shard));
        let may_act = self.leases.current_epoch(self.now(), u32::from(shard), Duration::ZERO);
        exposition.set_labelled(&SHARD_LEASE, &labels, may_act.is_some());
        exposition.set_labelled(&SHARD_EPOCH, &labels, self.placers.epoch(shard).unwrap_or_default());
    }

    fn add_status(&self, exposition: &mut Exposition) {
        exposition.set(&QUORUM, self.has_contact(shards::CONFIGURATION));
        exposition.set(&CURRENT, self.is_current());
        exposition.set(&COMPLETE, self.complete);
        exposition.set(&DRAINING, self.is_draining());
        exposition.set(&LIVE_CONTROLLERS, self.membership.live().count());
        exposition.set(&LINKED_PEERS, self.peers.linked().count());
        exposition.set(&ROUTERS, self.routers.count(self.now()));
        exposition.set(&SUBSCRIBERS, self.subscribers.count());
        let version = self.configuration.as_ref().map_or(0, |configuration| configuration.version);
        exposition.set(&CONFIGURATION_VERSION, version);
        let revision = self.committed_configuration.as_ref().map_or(0, |committed| committed.revision);
        exposition.set(&CONFIGURATION_REVISION, revision);
        exposition.set(&STALLS, self.counters.stalls);
        exposition.set(&TENURES, self.counters.tenures);
    }

    fn add_endpoints(&self, exposition: &mut Exposition) {
        let in_state = |state| self.endpoints.live().filter(|(_, of)| of.instance.state == state).count();
        for (state, name) in [(InstanceState::Ready, "ready"), (InstanceState::Draining, "draining")] {
            exposition.set_labelled(&REGISTRATIONS, &[("state", name)], in_state(state));
        }
        exposition.set(&ACKNOWLEDGEMENTS_WAITING, self.endpoints.acknowledgements.pending());
        exposition.set(&EXPIRIES, self.counters.expiries);
    }

    fn add_counts(&self, exposition: &mut Exposition) {
        for (operation, operation_name) in OPERATIONS {
            for (outcome, outcome_name) in OrderOutcome::ALL {
                let labels = [("operation", operation_name), ("outcome", outcome_name)];
                exposition.set_labelled(&ORDERS, &labels, self.counters.orders(operation, outcome));
            }
        }
        exposition.set(&ORDERS_IN_FLIGHT, self.counters.orders_in_flight);
        for (outcome, name) in ChangeOutcome::ALL {
            let timed_out =
                if outcome == ChangeOutcome::Unclear { self.pending_changes.timed_out() } else { 0 };
            let changes = self.counters.changes(outcome) + timed_out;
            exposition.set_labelled(&CHANGES, &[("outcome", name)], changes);
        }
        exposition.set(&CHANGES_IN_FLIGHT, self.pending_changes.in_flight());
    }
}

/// Adds the metrics of the control interface, of the disk thread and of the client of endpoints, which are kept outside the
/// controller's state.
pub(super) fn add_process_metrics(
    exposition: &mut Exposition,
    unavailable: &UnavailableCounts,
    disk: &DiskCounts,
    refusals: &RefusalCounts,
) {
    exposition.declare(&INVALID_ANSWERS);
    for (endpoint, reason, count) in refusals.iter() {
        exposition.set_labelled(&INVALID_ANSWERS, &[("endpoint", endpoint), ("reason", reason)], count);
    }
    for reason in Unavailable::ALL {
        exposition.set_labelled(&UNAVAILABLE, &[("reason", reason.name())], unavailable.get(reason));
    }
    let written = disk.snapshot();
    exposition.set_labelled(&DISK_WRITES, &[("result", "written")], written.written);
    exposition.set_labelled(&DISK_WRITES, &[("result", "failed")], written.failed);
    exposition.set(&DISK_WRITE_TIME, written.time);
    exposition.set(&DISK_WRITE_LONGEST, written.longest);
    exposition.set(&DISK_WRITES_WAITING, written.waiting);
}

fn role(status: Status) -> &'static str {
    match status {
        Status::Member => "member",
        Status::Spare => "spare",
        Status::Recovering { .. } => "recovering",
    }
}
