//! What a round proposes on top of its base value, and what it does once that is committed.

use super::Proposer;
use super::batch::{AppliedBatch, Attempt, Batch};
use super::round::{AfterCommit, BaseStatus, Phase, Round, announce_commit};
use crate::register::context::{Context, Proposal};
use crate::register::event::Outcome;
use crate::register::fault::Fault;
use crate::register::quorum::members;
use crate::register::task::Operation;
use crate::register::value::ChangeId;

impl Proposer {
    /// Applies the batch to the base and proposes the result, or answers the batch if nothing has to be proposed.
    pub(super) fn propose(&mut self, context: &mut Context) {
        let Some((round, batch)) = self.round.take().zip(self.batch.take()) else {
            return;
        };
        let base = &round.base.value;
        if let Some(index) = batch.attempts.iter().position(|attempt| base.has_change(attempt.id)) {
            return self.complete_earlier_attempt(context, round, batch, index);
        }
        if batch.attempts.iter().any(|attempt| !base.has_all_changes_since(attempt.base_revision)) {
            batch.complete_with_unknown_outcome(context);
            return self.finish_round(context, &round);
        }
        match batch.tasks.first().map(|task| task.operation.clone()) {
            Some(Operation::ChangeMembers(change)) => {
                self.propose_membership_change(context, round, batch, &change);
            }
            Some(Operation::CompleteMembershipChange) => self.propose_completion(context, round, batch),
            _ => self.propose_commands(context, round, batch),
        }
    }

    /// An earlier attempt has taken effect; the batch is answered once that is committed.
    fn complete_earlier_attempt(
        &mut self,
        context: &mut Context,
        round: Round,
        mut batch: Batch,
        index: usize,
    ) {
        if round.base_status < BaseStatus::Committed {
            return self.commit_base(context, round, batch);
        }
        let outcomes = batch.attempts.swap_remove(index).outcomes;
        batch.complete(context, outcomes);
        self.finish_round(context, &round);
    }

    /// Proposes the value after the commands of the batch, if they change it.
    fn propose_commands(&mut self, context: &mut Context, mut round: Round, mut batch: Batch) {
        let applied = batch.apply_commands(context, &round.base.value);
        let AppliedBatch { state, revisions, outcomes } = applied;
        if revisions == 0 {
            return self.answer_unchanged(context, round, batch, outcomes);
        }
        let id = self.next_id(context);
        let base = &round.base.value;
        let value = base.changed(id, revisions, base.groups.clone(), state.into());
        if !context.settings.has(Fault::ProposeTwice) {
            let outcomes = outcomes.clone();
            batch.attempts.push(Attempt { id, base_revision: base.revision, outcomes });
        }
        self.batch = Some(batch);
        round.start_accept(context, value, AfterCommit::Complete(outcomes));
        self.round = Some(round);
    }

    /// Nothing changes: the batch is answered once a majority has confirmed the base in this round.
    fn answer_unchanged(
        &mut self,
        context: &mut Context,
        round: Round,
        batch: Batch,
        outcomes: Vec<Outcome>,
    ) {
        if round.base_status < BaseStatus::Confirmed {
            return self.commit_base(context, round, batch);
        }
        batch.complete(context, outcomes);
        self.finish_round(context, &round);
    }

    /// Proposes the base itself under this round's ballot, so that it is committed; the batch is proposed afterwards.
    pub(super) fn commit_base(&mut self, context: &mut Context, mut round: Round, batch: Batch) {
        self.batch = Some(batch);
        let value = round.base.value.clone();
        round.start_accept(context, value, AfterCommit::Continue);
        self.round = Some(round);
    }

    /// A majority of every group has accepted the proposed value.
    pub(super) fn commit(&mut self, context: &mut Context) {
        let Some(mut round) = self.round.take() else {
            return;
        };
        let Phase::Accept { value, groups, after_commit } = round.phase else {
            return;
        };
        let ballot = round.ballot;
        context.record_committed(ballot, &value);
        announce_commit(context, ballot, &members(&groups));
        self.preemptions = 0;
        round.base = Proposal { ballot, value };
        round.base_status = BaseStatus::Confirmed;
        round.phase = Phase::Prepare { known: round.base.clone() };
        match after_commit {
            AfterCommit::Complete(outcomes) => {
                if let Some(batch) = self.batch.take() {
                    batch.complete(context, outcomes);
                }
                return self.finish_round(context, &round);
            }
            AfterCommit::JointCommitted => self.record_joint_committed(),
            AfterCommit::Continue => {}
        }
        self.round = Some(round);
        self.propose(context);
    }

    /// The batch is answered. The ballot can be reused if its last value was committed.
    pub(super) fn finish_round(&mut self, context: &mut Context, round: &Round) {
        self.round = None;
        self.reusable_ballot = None;
        if round.base_status < BaseStatus::Committed {
            return self.start_round(context, None);
        }
        self.reusable_ballot =
            Some(round.base.ballot).filter(|ballot| ballot.is_same_prepare_phase(round.ballot));
        if round.base.value.is_joint() {
            self.request_completion();
        }
        self.start_round(context, Some(round.base.clone()));
    }

    /// The id of the next change that this process proposes.
    pub(super) fn next_id(&mut self, context: &Context) -> ChangeId {
        self.sequence += 1;
        ChangeId { nonce: context.nonce, sequence: self.sequence }
    }
}
