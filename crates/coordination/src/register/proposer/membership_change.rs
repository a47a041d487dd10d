//! Membership changes by joint consensus: a joint value with the old and the new group, then the new group alone.

use super::Proposer;
use super::batch::Batch;
use super::round::{AfterCommit, BaseStatus, Round};
use crate::register::context::Context;
use crate::register::event::Outcome;
use crate::register::fault::Fault;
use crate::register::group::Group;
use crate::register::task::{MembershipChange, Operation};
use crate::register::value::Value;

/// The next step of a membership change.
enum MembershipStep {
    /// A joint value with these groups has to be committed.
    EnterJoint(Vec<Group>),
    /// Nothing has to be committed; the task has this outcome.
    Done(Outcome),
}

impl Proposer {
    /// Proposes the next step of a membership change; the base itself is committed in this round first.
    pub(super) fn propose_membership_change(
        &mut self,
        context: &mut Context,
        mut round: Round,
        batch: Batch,
        change: &MembershipChange,
    ) {
        if round.base_status < BaseStatus::Confirmed {
            return self.commit_base(context, round, batch);
        }
        if round.base.value.is_joint() {
            self.batch = Some(batch);
            return self.propose_final_group(context, round);
        }
        let revision = round.base.value.revision;
        if change.is_joint_committed {
            batch.complete(context, vec![Outcome::Changed { revision, answer: Vec::new() }]);
            return self.finish_round(context, &round);
        }
        match plan_membership_change(&round.base.value, change) {
            MembershipStep::Done(outcome) => {
                batch.complete(context, vec![outcome]);
                self.finish_round(context, &round);
            }
            MembershipStep::EnterJoint(groups) => {
                self.batch = Some(batch);
                let id = self.next_id(context);
                let base = &round.base.value;
                let value = base.changed(id, 1, groups, base.state.clone());
                round.start_accept(context, value, AfterCommit::JointCommitted);
                self.round = Some(round);
            }
        }
    }

    /// Completes a membership change that any replica has started. Its final value may have been accepted without
    /// any replica knowing whether it is committed: it is then committed here, as no other replica would do so.
    pub(super) fn propose_completion(&mut self, context: &mut Context, round: Round, batch: Batch) {
        let is_joint = round.base.value.is_joint();
        if !is_joint && context.settings.has(Fault::LeaveChangeUncommitted) {
            return self.finish_round(context, &round);
        }
        if round.base_status < BaseStatus::Committed {
            return self.commit_base(context, round, batch);
        }
        if !is_joint {
            return self.finish_round(context, &round);
        }
        self.batch = Some(batch);
        self.propose_final_group(context, round);
    }

    /// Proposes the newest group alone; the joint value must be committed.
    fn propose_final_group(&mut self, context: &mut Context, mut round: Round) {
        let id = self.next_id(context);
        let base = &round.base.value;
        let newest = base.groups.last().cloned().into_iter().collect();
        let value = base.changed(id, 1, newest, base.state.clone());
        round.start_accept(context, value, AfterCommit::Continue);
        self.round = Some(round);
    }

    /// Records in the task that its joint value is committed.
    pub(super) fn record_joint_committed(&mut self) {
        for task in self.batch.iter_mut().flat_map(|batch| batch.tasks.iter_mut()) {
            if let Operation::ChangeMembers(change) = &mut task.operation {
                change.is_joint_committed = true;
            }
        }
    }
}

/// The next step of a membership change, given a value with a single group.
fn plan_membership_change(base: &Value, change: &MembershipChange) -> MembershipStep {
    let MembershipChange { remove, add, .. } = change;
    let old = Group::new(base.newest_group().to_vec());
    let kept = old.members().iter().copied().filter(|node| !remove.contains(node));
    let new = Group::new(kept.chain(add.iter().copied()).collect());
    let revision = base.revision;
    let answer = Vec::new();
    if new == old {
        return MembershipStep::Done(Outcome::Unchanged { revision, answer });
    }
    let removes_non_member = remove.iter().any(|node| !old.contains(*node));
    // Two callers may have chosen the same new member: the second replacement would only remove a member.
    let shrinks = !add.is_empty() && new.members().len() < old.members().len();
    if removes_non_member || shrinks || new.members().is_empty() {
        return MembershipStep::Done(Outcome::Refused { revision, answer });
    }
    MembershipStep::EnterJoint(vec![old, new])
}
