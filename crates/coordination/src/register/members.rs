//! Changes of members: a joint value with the old and the new group, then the new group alone.

use super::batch::{Batch, MemberStep, Work, change_members};
use super::core::Core;
use super::event::Outcome;
use super::node::Node;
use super::proposer::Proposer;
use super::round::{Round, Then};
use super::settings::Fault;

impl Proposer {
    pub(super) fn propose_members(
        &mut self,
        core: &mut Core,
        mut round: Round,
        batch: Batch,
        remove: &[Node],
        add: &[Node],
        joined: bool,
    ) {
        if !round.confirmed {
            return self.settle(core, round, batch);
        }
        if round.base.value.is_joint() {
            self.batch = Some(batch);
            return self.drop_old_group(core, round);
        }
        let revision = round.base.value.revision;
        if joined {
            batch.answer(core, vec![Outcome::Changed { revision, answer: Vec::new() }]);
            return self.finish(core, &round);
        }
        match change_members(&round.base.value, remove, add) {
            MemberStep::Done(outcome) => {
                batch.answer(core, vec![outcome]);
                self.finish(core, &round);
            }
            MemberStep::Join(groups) => {
                self.batch = Some(batch);
                let id = self.next_id(core);
                let base = &round.base.value;
                let value = base.changed(id, 1, groups, base.state.clone());
                round.accept(core, value, Then::Joined);
                self.round = Some(round);
            }
        }
    }

    /// Ends a change of members that someone has begun. Its end may have been accepted, and yet be decided for
    /// nobody: then it is decided here, as otherwise all who wait for it would wait for ever.
    pub(super) fn propose_completion(&mut self, core: &mut Core, round: Round, batch: Batch) {
        let joint = round.base.value.is_joint();
        if !joint && core.settings.has(Fault::EndUndecided) {
            return self.finish(core, &round);
        }
        if !round.base_decided {
            return self.settle(core, round, batch);
        }
        if !joint {
            return self.finish(core, &round);
        }
        self.batch = Some(batch);
        self.drop_old_group(core, round);
    }

    /// The second half of a change of members; the joint value must be decided.
    fn drop_old_group(&mut self, core: &mut Core, mut round: Round) {
        let id = self.next_id(core);
        let base = &round.base.value;
        let newest = base.groups.last().cloned().into_iter().collect();
        let value = base.changed(id, 1, newest, base.state.clone());
        round.accept(core, value, Then::Again);
        self.round = Some(round);
    }

    pub(super) fn mark_joined(&mut self) {
        for item in self.batch.iter_mut().flat_map(|batch| batch.items.iter_mut()) {
            if let Work::Members { joined, .. } = &mut item.work {
                *joined = true;
            }
        }
    }
}
