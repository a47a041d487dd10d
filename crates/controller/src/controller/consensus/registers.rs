//! The registers of the shards: executes replica outputs, applies committed values, and completes requests.

use crate::controller::consensus::replica_groups::KnownGroups;
use crate::controller::consensus::shards::{self, read_epoch};
use crate::controller::counters::ChangeOutcome;
use crate::controller::event::Answer;
use crate::controller::operator::pending_changes::Completion;
use crate::controller::operator::unavailable::Unavailable;
use crate::controller::{Controller, ControllerFault, InFlightRequest};
use crate::message::{Blob, CommittedConfiguration, Forwarded, Message, ShardMessage};
use lanegate_config::control_state::{ControlState, Outcome as Taken};
use lanegate_coordination::lease::Tenure;
use lanegate_coordination::register::{Input, Outcome, Output, Value};
use lanegate_invariants::Invariant;
use std::net::SocketAddr;
use std::sync::Arc;

impl Controller {
    /// Executes the outputs of a replica.
    pub(crate) fn execute_outputs(&mut self, shard: u8, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => match message.encode() {
                    Ok(bytes) => {
                        let message = Message::Register(ShardMessage { shard, body: bytes.into() });
                        self.peers.send(SocketAddr::V4(to.into()), &message);
                    }
                    Err(error) => log::error!("register message not encoded shard={shard} error={error}"),
                },
                Output::Persist { token, record } => {
                    self.pending_writes.started(self.now(), shard);
                    self.environment.persist(shard, token, record);
                }
                Output::Done { request, outcome } => self.on_request_done(request, outcome),
                Output::Committed { value } => self.on_committed(shard, &value),
            }
        }
    }

    /// Applies a newer committed value of a shard.
    pub(crate) fn on_committed(&mut self, shard: u8, value: &Value) {
        let now = self.now();
        let newest = self.newest_revisions.entry(shard).or_default();
        self.violations.check(Invariant::RevisionRises, value.revision >= *newest);
        *newest = value.revision.max(*newest);
        let members = self.on_groups_committed(shard, value);
        if shard == shards::CONFIGURATION {
            self.endpoints.acknowledgements.acknowledge_confirmed(&self.known_groups(shard));
            self.on_configuration_committed(value);
        } else {
            self.leases.set_group(now, u32::from(shard), value.revision, &members);
        }
    }

    /// Applies the replica groups of a committed value. Returns the members of the newest one.
    fn on_groups_committed(&mut self, shard: u8, value: &Value) -> Vec<SocketAddr> {
        let members: Vec<SocketAddr> =
            value.newest_group().iter().map(|node| SocketAddr::V4((*node).into())).collect();
        members.iter().for_each(|member| self.discover_peer(*member));
        let groups = KnownGroups::of(Some(value));
        if self.replacement_planner.groups_committed(shard, &groups) {
            log::info!(
                "replica groups committed shard={shard} revision={} groups={:?}",
                value.revision,
                groups.groups
            );
        }
        members
    }

    /// Publishes the configuration of a committed value, if it has changed.
    fn on_configuration_committed(&mut self, value: &Value) {
        let state = match ControlState::decode(&value.state) {
            Ok(state) => state,
            Err(error) => return log::error!("configuration state not decoded error={error}"),
        };
        let Some(document) = state.document() else { return };
        if self.committed_configuration.as_ref().is_some_and(|known| known.document.bytes == document) {
            return;
        }
        log::info!("configuration committed version={} revision={}", state.version(), value.revision);
        match serde_json::from_slice(document) {
            Ok(configuration) => self.configuration = Some(Arc::new(configuration)),
            Err(error) => log::error!("configuration not parsed version={} error={error}", state.version()),
        }
        let committed =
            CommittedConfiguration { revision: value.revision, document: document.to_vec().into() };
        self.committed_configuration = Some(committed.clone());
        self.subscribers.publish(committed);
        self.configure_placements(0);
        self.campaign_for_leases();
    }

    fn on_request_done(&mut self, request: u64, outcome: Outcome) {
        match self.in_flight.remove(&request) {
            Some(InFlightRequest::Read(reply)) => {
                let _ = reply.send(read_answer(&outcome));
            }
            Some(InFlightRequest::Change(change)) => match outcome {
                Outcome::Changed { answer, .. }
                | Outcome::Unchanged { answer, .. }
                | Outcome::Refused { answer, .. } => self.complete_change(change, &answer),
                _ => {}
            },
            Some(InFlightRequest::Epoch(shard, tenure)) => self.on_epoch_answered(shard, tenure, &outcome),
            Some(InFlightRequest::Barrier) => self.on_barrier_read(request, &outcome),
            Some(InFlightRequest::MemberChange(shard)) => {
                self.replacement_planner.end(shard);
                if matches!(outcome, Outcome::Changed { .. }) {
                    // Another member may have to be replaced.
                    self.reconcile_members(self.now());
                }
            }
            // The value that the read returned has been applied through its committed output.
            Some(InFlightRequest::Reread) | None => {}
        }
    }

    /// A request for an epoch has completed or failed.
    fn on_epoch_answered(&mut self, shard: u32, tenure: Tenure, outcome: &Outcome) {
        let now = self.now();
        let outputs = match outcome {
            Outcome::Changed { .. } if self.has_fault(ControllerFault::ReuseEpoch) => {
                self.leases.epoch_acquired(now, shard, tenure, 1)
            }
            Outcome::Changed { answer, .. } => {
                self.leases.epoch_acquired(now, shard, tenure, read_epoch(answer))
            }
            _ if self.has_fault(ControllerFault::SkipEpochRetry) => Vec::new(),
            _ => self.leases.epoch_unavailable(now, shard, tenure),
        };
        self.lease_outputs(outputs);
    }

    /// The outcome of a change is known; `answer` is the encoded [`Outcome`](Taken) of the control state.
    pub(crate) fn complete_change(&mut self, change: u64, answer: &[u8]) {
        match self
            .pending_changes
            .complete(change, || crate::controller::operator::control_calls::change_answer(answer))
        {
            Completion::Return { peer, request } => {
                let body = Blob::from(answer.to_vec());
                self.peers.send(peer, &Message::ChangeOutcome(Forwarded { request, body }));
            }
            Completion::Answered => self.counters.change_ended(ChangeOutcome::of_encoded(answer)),
            Completion::Unknown => {}
        }
    }

    /// Proposes an operator's change through this controller's own replica.
    pub(crate) fn propose_change(&mut self, change: u64) {
        let Some(command) = self.pending_changes.command(change).map(<[u8]>::to_vec) else { return };
        let now = self.now();
        let request = self.request_number();
        self.in_flight.insert(request, InFlightRequest::Change(change));
        let deadline = now + crate::controller::operator::pending_changes::ANSWER_TIMEOUT;
        let outputs =
            self.shards.handle(now, shards::CONFIGURATION, Input::Propose { request, command, deadline });
        self.execute_outputs(shards::CONFIGURATION, outputs);
        if self.has_fault(ControllerFault::AcknowledgeProposed) {
            self.complete_change(change, &Taken::Taken { version: 0 }.encode());
        }
    }
}

fn read_answer(outcome: &Outcome) -> Answer {
    let Outcome::Value { state, .. } = outcome else {
        return Answer::unavailable(Unavailable::NoMajority);
    };
    match ControlState::decode(state) {
        Ok(state) => match state.document() {
            Some(document) => Answer::new(200, document.to_vec()),
            None => Answer::error(404, "no configuration has been taken yet"),
        },
        Err(error) => Answer::error(500, &error.to_string()),
    }
}
