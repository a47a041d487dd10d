//! Changes of members: a joint value with the old and the new group, then the new group alone.

use super::batch::{Batch, MembershipStep, Operation, plan_membership_change};
use super::context::Context;
use super::event::Outcome;
use super::node::Node;
use super::proposer::Proposer;
use super::round::{AfterCommit, Round};
use super::settings::Fault;

impl Proposer {
    pub(super) fn propose_membership_change(
        &mut self,
        context: &mut Context,
        mut round: Round,
        batch: Batch,
        remove: &[Node],
        add: &[Node],
        joint_committed: bool,
    ) {
        if !round.base_confirmed {
            return self.commit_base(context, round, batch);
        }
        if round.base.value.is_joint() {
            self.batch = Some(batch);
            return self.propose_final_group(context, round);
        }
        let revision = round.base.value.revision;
        if joint_committed {
            batch.complete(context, vec![Outcome::Changed { revision, answer: Vec::new() }]);
            return self.finish_round(context, &round);
        }
        match plan_membership_change(&round.base.value, remove, add) {
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

    /// Ends a change of members that someone has begun. Its end may have been accepted, and yet be committed for
    /// nobody: then it is committed here, as otherwise all who wait for it would wait for ever.
    pub(super) fn propose_completion(&mut self, context: &mut Context, round: Round, batch: Batch) {
        let joint = round.base.value.is_joint();
        if !joint && context.settings.has(Fault::LeaveChangeUncommitted) {
            return self.finish_round(context, &round);
        }
        if !round.base_committed {
            return self.commit_base(context, round, batch);
        }
        if !joint {
            return self.finish_round(context, &round);
        }
        self.batch = Some(batch);
        self.propose_final_group(context, round);
    }

    /// The second half of a change of members; the joint value must be committed.
    fn propose_final_group(&mut self, context: &mut Context, mut round: Round) {
        let id = self.next_id(context);
        let base = &round.base.value;
        let newest = base.groups.last().cloned().into_iter().collect();
        let value = base.changed(id, 1, newest, base.state.clone());
        round.start_accept(context, value, AfterCommit::Continue);
        self.round = Some(round);
    }

    pub(super) fn record_joint_committed(&mut self) {
        for task in self.batch.iter_mut().flat_map(|batch| batch.tasks.iter_mut()) {
            if let Operation::ChangeMembers { joint_committed, .. } = &mut task.operation {
                *joint_committed = true;
            }
        }
    }
}
