//! What no event tells: silent endpoints and routers, peers that nobody names any more, a controller that
//! has heard everyone.

use crate::controller::consensus::shards::{self, shard_of};
use crate::controller::{Controller, ControllerFault};
use crate::message::Message;
use std::time::Duration;

/// Time between looks at what no event tells: silent endpoints, members, settings.
pub(crate) const PERIODIC_TASKS_PERIOD: Duration = Duration::from_millis(400);
/// Heartbeats of endpoints after which a controller that started alone has heard them all.
const HEARTBEATS_TO_COMPLETE: f64 = 2.2;

impl Controller {
    pub(crate) fn run_periodic_tasks(&mut self, now: Duration) {
        if let Some(heard) = self.endpoints.take_heartbeat_batch() {
            self.peers.broadcast(&heard);
        }
        self.routers.expire(now);
        if !self.complete && now.as_secs_f64() * 1e3 > self.settings.heartbeat_ms * HEARTBEATS_TO_COMPLETE {
            self.mark_complete();
        }
        self.expire_endpoints(now);
        self.expire_peers(now);
        self.reconcile_members(now);
        self.campaign_for_leases();
    }

    fn expire_endpoints(&mut self, now: Duration) {
        if !self.complete {
            return;
        }
        let alone = self.has_fault(ControllerFault::ExpireWithoutContact);
        let acts = |shard| (alone || self.has_contact(shard)) && self.owns(shard);
        let owns: Vec<bool> = shards::all().map(acts).collect();
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

    /// Everyone that registers has been heard: readers may drop what they did not hear of.
    pub(crate) fn mark_complete(&mut self) {
        if !self.complete {
            self.complete = true;
            self.subscribers.append(&Message::SnapshotEnd { complete: 1 });
        }
    }
}
