//! Graceful shutdown: hands over leases, group memberships and unsent updates before the process exits.

use crate::controller::consensus::shards;
use crate::controller::membership::handover::{GroupMembership, Handover};
use crate::controller::{Controller, ControllerFault};
use crate::message::{Message, Token};
use std::time::Duration;

impl Controller {
    /// Starts the shutdown. The controller releases its leases, refuses further calls, makes agents switch to other
    /// controllers, and reports that it is draining, so that the other controllers replace it by a spare if there is one.
    pub(crate) fn begin_shutdown(&mut self) {
        if self.is_draining() {
            return;
        }
        let now = self.now();
        let grace = Duration::from_secs_f64(self.settings.bounds.grace_s);
        self.handover = Some(Handover::begin(now, grace));
        for shard in shards::all() {
            let outputs = self.leases.set_candidate(now, u32::from(shard), false);
            self.lease_outputs(outputs);
        }
        self.broadcast_status();
        self.send_feed_heartbeat();
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.handover.is_some()
    }

    /// Whether the process may exit.
    pub(crate) fn has_shut_down(&self) -> bool {
        self.handover.as_ref().is_some_and(Handover::is_done)
    }

    /// Advances the handover, if one is in progress.
    pub(crate) fn advance_handover(&mut self, now: Duration) {
        let Some(handover) = &self.handover else { return };
        let skip_handover = self.has_fault(ControllerFault::ShutDownWithoutHandover);
        let mut membership = self.group_membership();
        membership.has_spare &= !skip_handover;
        if handover.is_replaced(now, membership) {
            self.flush_last(now);
        }
        let idle = self.is_idle();
        if let Some(handover) = &mut self.handover {
            handover.end_if_flushed(now, idle);
        }
    }

    /// Whether this controller is a member of any group, and whether a spare could replace it.
    fn group_membership(&self) -> GroupMembership {
        let is_member = shards::all().any(|shard| self.known_groups(shard).contains(self.own_address));
        let could_join = |shard| {
            let group = self.group(shard);
            self.membership
                .live()
                .any(|node| !group.contains(&node) && !self.member_statuses.is_draining(node))
        };
        GroupMembership { is_member, has_spare: shards::all().any(could_join) }
    }

    /// Sends all updates that the other controllers do not have yet, and asks them to confirm.
    fn flush_last(&mut self, now: Duration) {
        if let Some(batch) = self.endpoints.take_heartbeat_batch() {
            self.peers.broadcast(&batch);
        }
        let token = self.endpoints.acknowledgements.next_token();
        self.peers.broadcast(&Message::Flush(Token { token }));
        let live = self.peers.linked().filter(|peer| self.membership.is_live(*peer));
        if let Some(handover) = &mut self.handover {
            handover.flush(now, token, live);
        }
    }

    /// Whether no caller waits for an answer and all leases are released.
    fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.pending_changes.next_wake().is_none()
            && self.endpoints.acknowledgements.next_wake().is_none()
            && self.leases.next_wake().is_none()
    }
}
