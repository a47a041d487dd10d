//! Periodic tasks: expiry of endpoints, routers and peers, reconciliation of members, repeated reads of the
//! configuration, and detection that the registry is complete after a start.

use crate::controller::consensus::shards::{self, shard_of};
use crate::controller::{Controller, ControllerFault};
use crate::message::Message;
use std::time::Duration;

/// Time between runs of the periodic tasks.
pub(crate) const PERIODIC_TASKS_PERIOD: Duration = Duration::from_millis(400);
/// Number of heartbeat periods after which a controller that started without peers has received a heartbeat from every
/// endpoint.
const HEARTBEATS_TO_COMPLETE: f64 = 2.2;

impl Controller {
    pub(crate) fn run_periodic_tasks(&mut self, now: Duration) {
        if let Some(batch) = self.endpoints.take_heartbeat_batch() {
            self.peers.broadcast(&batch);
        }
        self.routers.expire(now);
        if !self.complete && now.as_secs_f64() * 1e3 > self.settings.heartbeat_ms * HEARTBEATS_TO_COMPLETE {
            self.mark_complete();
        }
        self.expire_endpoints(now);
        self.expire_peers(now);
        self.reconcile_members(now);
        self.campaign_for_leases();
        self.reread_configuration();
    }

    fn expire_endpoints(&mut self, now: Duration) {
        if !self.complete {
            return;
        }
        let without_contact = self.has_fault(ControllerFault::ExpireWithoutContact);
        let may_expire = |shard| (without_contact || self.has_contact(shard)) && self.owns(shard);
        let owns: Vec<bool> = shards::all().map(may_expire).collect();
        let removed = self.endpoints.expire(now, |service| owns[usize::from(shard_of(service))]);
        self.counters.expiries += removed.len() as u64;
        for message in removed {
            self.peers.broadcast(&message);
            self.subscribers.append(&message);
            if let Message::Removed(removed) = &message {
                self.update_placers(&removed.id.text());
            }
        }
    }

    /// Marks the registry as complete: subscribers may drop endpoints that this feed has not sent.
    pub(crate) fn mark_complete(&mut self) {
        if !self.complete {
            self.complete = true;
            self.subscribers.append(&Message::SnapshotEnd { complete: 1 });
        }
    }
}
