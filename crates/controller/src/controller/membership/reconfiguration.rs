//! Heartbeats of controllers, and the reconfiguration of replica groups that follows from them.

use crate::controller::consensus::fault_tolerance::{
    FailureUnit, MemberState, ToleranceChange, tolerable_failures,
};
use crate::controller::consensus::shards;
use crate::controller::membership::replacement::{GroupView, MemberChange, group_size};
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use crate::message::{MemberStatus, Message};
use lanegate_coordination::membership::{Heartbeat, Output};
use lanegate_coordination::register::{Input, Node};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for a membership change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the start of the process before fault tolerance is reported, so that the other controllers can report
/// their status first.
const FAULT_TOLERANCE_GRACE: Duration = Duration::from_secs(2);

impl Controller {
    /// Sends the newest heartbeat again to a peer when the link in either direction has come up, so that contact after a
    /// start of all controllers does not have to wait for the next heartbeat.
    pub(crate) fn repeat_heartbeat(&self, peer: SocketAddr) {
        if let Some(heartbeat) = self.quorum_contact.newest() {
            self.send_heartbeat(peer, heartbeat);
        }
    }

    fn send_heartbeat(&self, to: SocketAddr, heartbeat: &Heartbeat) {
        match heartbeat.encode() {
            Ok(bytes) => self.peers.send(to, &Message::Heartbeat { body: bytes.into() }),
            Err(error) => log::error!("heartbeat not encoded error={error}"),
        }
    }

    pub(crate) fn membership_outputs(&mut self, outputs: Vec<Output>) {
        let changed = outputs.iter().any(|output| matches!(output, Output::StateChanged { .. }));
        for output in outputs {
            match output {
                Output::Send { to, heartbeat } => {
                    // The clock is read before the heartbeat is sent: the age of its echo is measured from this time.
                    let now = self.now();
                    self.quorum_contact.heartbeat_sent(now, &heartbeat);
                    self.send_heartbeat(to, &heartbeat);
                }
                Output::StateChanged { peer, state } => {
                    log::info!("controller state changed peer={peer} state={state:?}");
                }
                Output::Restarted { peer, incarnation } => {
                    self.member_statuses.restarted(peer, incarnation);
                    self.endpoints.acknowledgements.peer_restarted(peer);
                }
            }
        }
        if changed {
            self.reconcile_members(self.now());
        }
    }

    /// Adds missing members, and replaces unreachable and draining ones, in the groups of the shards that this controller
    /// owns.
    pub(crate) fn reconcile_members(&mut self, now: Duration) {
        let live: Vec<SocketAddr> =
            self.membership.live().filter(|member| self.is_reached(now, *member)).collect();
        let size = group_size(&self.settings.fault_tolerance);
        for shard in shards::all() {
            let group = self.group(shard);
            self.replacement_planner.observe(now, shard, &group, &live);
            if !self.owns(shard) || !self.has_contact(shard) {
                continue;
            }
            let view = GroupView {
                shard,
                group: &group,
                live: &live,
                member_statuses: &self.member_statuses,
                failure_domains: &self.failure_domains,
            };
            if let Some(change) = self.replacement_planner.plan(now, view, size) {
                self.change_members(now, shard, &change);
            }
        }
        self.report_fault_tolerance(now);
    }

    fn change_members(&mut self, now: Duration, shard: u8, change: &MemberChange) {
        log::info!(
            "replica group change proposed shard={shard} joining={:?} leaving={:?}",
            change.add,
            change.remove
        );
        let request = self.request_number();
        self.in_flight.insert(request, InFlightRequest::MemberChange(shard));
        self.replacement_planner.begin(shard);
        let node = |address: SocketAddr| match address {
            SocketAddr::V4(address) => Some(Node::from(address)),
            SocketAddr::V6(_) => None,
        };
        let input = Input::ChangeMembers {
            request,
            remove: change.remove.and_then(node).into_iter().collect(),
            add: node(change.add).into_iter().collect(),
            deadline: now + CHANGE_TIMEOUT,
        };
        let outputs = self.shards.handle(now, shard, input);
        self.execute_outputs(shard, outputs);
    }

    /// The status of this controller. One on a machine that does not count for a majority reports no replica that can
    /// vote: so it joins no group, and no group relies on it for its fault tolerance.
    pub(crate) fn own_status(&self) -> MemberStatus {
        let is_stalled = self.pending_writes.is_stalled(self.now());
        let disk_works = !is_stalled || self.has_fault(ControllerFault::CountStalledDisk);
        let may_vote = disk_works && self.settings.counts_for_quorum;
        let voting = self.shards.iter().filter(|(_, replica)| may_vote && replica.can_vote());
        let voting = voting.map(|(shard, _)| shard);
        MemberStatus::new(self.incarnation, voting, self.is_draining())
    }

    /// Broadcasts the status of this controller if it has changed.
    pub(crate) fn broadcast_status(&mut self) {
        let status = self.own_status();
        if self.member_statuses.record(self.own_address, status) {
            self.peers.broadcast(&Message::MemberStatus(status));
        }
    }

    /// Records the status of another controller. A spare that can vote now, or a member that is draining, may allow
    /// a change of a group.
    pub(crate) fn record_status(&mut self, peer: SocketAddr, mut status: MemberStatus) {
        if self.has_fault(ControllerFault::IgnoreDraining) {
            status.draining = 0;
        }
        if self.member_statuses.record(peer, status) {
            self.reconcile_members(self.now());
        }
    }

    /// The state of a group member as this controller sees it.
    fn member_state(&self, shard: u8, member: SocketAddr) -> MemberState {
        if !self.membership.is_live(member) {
            return MemberState::Suspected;
        }
        match self.member_statuses.get(member) {
            Some(status) if status.can_vote(shard) => MemberState::Voting,
            Some(_) => MemberState::NotVoting,
            None => MemberState::Unknown,
        }
    }

    /// The members of all groups in force for a shard, each with its state, as text.
    pub(crate) fn member_states(&self, shard: u8) -> impl Iterator<Item = (String, String)> {
        let members: BTreeSet<SocketAddr> = self.known_groups(shard).groups.into_iter().flatten().collect();
        let describe = move |member| (format!("{member}"), format!("{:?}", self.member_state(shard, member)));
        members.into_iter().map(describe)
    }

    /// Number of machines that the groups of a shard can still lose; `None` without a majority.
    pub(crate) fn fault_tolerance(&self, shard: u8) -> Option<usize> {
        self.tolerable_losses(shard, FailureUnit::Machine)
    }

    /// Number of machines, zones or regions that the groups of a shard can still lose; `None` without a majority.
    pub(crate) fn tolerable_losses(&self, shard: u8, unit: FailureUnit) -> Option<usize> {
        let groups = self.known_groups(shard).groups;
        let state = |member| self.member_state(shard, member);
        match unit {
            FailureUnit::Machine => tolerable_failures(&groups, state, |member| member),
            FailureUnit::Zone => tolerable_failures(&groups, state, |node| self.failure_domains.zone(node)),
            FailureUnit::Region => {
                tolerable_failures(&groups, state, |node| self.failure_domains.region(node))
            }
        }
    }

    /// Number of machines, zones or regions whose loss the groups have to survive.
    pub(crate) fn required_tolerance(&self, unit: FailureUnit) -> usize {
        match unit {
            FailureUnit::Machine => self.settings.fault_tolerance.machines as usize,
            FailureUnit::Zone => self.failure_domains.required_zones(),
            FailureUnit::Region => self.failure_domains.required_regions(),
        }
    }

    /// Logs when a shard stops tolerating a further failure, and when it tolerates one again.
    fn report_fault_tolerance(&mut self, now: Duration) {
        if now < FAULT_TOLERANCE_GRACE {
            return;
        }
        let required = FailureUnit::ALL.into_iter().filter(|unit| self.required_tolerance(*unit) > 0);
        for unit in required.collect::<Vec<_>>() {
            shards::all().for_each(|shard| self.report_tolerable_losses(shard, unit));
        }
    }

    fn report_tolerable_losses(&mut self, shard: u8, unit: FailureUnit) {
        let tolerable = self.tolerable_losses(shard, unit);
        match self.tolerance_monitor.observe(shard, unit, tolerable) {
            Some(ToleranceChange::Exhausted) => {
                let states: Vec<_> = self.member_states(shard).collect();
                log::warn!("fault tolerance exhausted shard={shard} unit={unit} members={states:?}");
            }
            Some(ToleranceChange::Restored) => {
                log::info!("fault tolerance restored shard={shard} unit={unit}");
            }
            None => {}
        }
    }
}
