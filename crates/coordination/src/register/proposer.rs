//! The proposing part: rounds of prepare and accept for one batch after the other.

use std::collections::VecDeque;
use std::time::Duration;

use super::ballot::Ballot;
use super::batch::{Attempt, Batch, Operation, Task, timeout_outcome};
use super::context::{Context, Proposal, earlier};
use super::event::Outcome;
use super::node::{MinimumIncarnations, Node};
use super::quorum::{Votes, members};
use super::round::{AfterCommit, Phase, Round, announce_commit};
use super::settings::Fault;
use super::value::{ChangeId, Value, ValueTransfer};

#[derive(Clone, Default, Hash)]
pub(super) struct Proposer {
    queue: VecDeque<Task>,
    pub(super) batch: Option<Batch>,
    pub(super) round: Option<Round>,
    /// The last decision was made under this ballot, and no higher one was seen.
    reusable_ballot: Option<Ballot>,
    /// The highest ballot counter seen.
    counter: u64,
    /// Rounds lost to others since the last decision.
    preemptions: u32,
    resume_at: Option<Duration>,
    sequence: u64,
}

impl Proposer {
    pub(super) fn enqueue(&mut self, task: Task) {
        self.queue.push_back(task);
    }

    /// Takes up the end of a change of members, unless that is waiting already.
    pub(super) fn request_completion(&mut self) {
        let waiting =
            self.queue.iter().any(|task| matches!(task.operation, Operation::CompleteMembershipChange));
        if !waiting {
            self.queue.push_front(Task::internal(Operation::CompleteMembershipChange));
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.batch.is_none()
    }

    /// A ballot was seen somewhere.
    pub(super) fn observe_ballot(&mut self, ballot: Ballot) {
        self.counter = self.counter.max(ballot.counter);
        if self.reusable_ballot.is_some_and(|reusable_ballot| {
            ballot > reusable_ballot && !ballot.is_same_prepare_phase(reusable_ballot)
        }) {
            self.reusable_ballot = None;
        }
    }

    /// Whether a round could start, if the group is known.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        self.round.is_none() && !self.is_idle() && self.resume_at.is_none_or(|at| at <= now)
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|task| task.deadline).min();
        let started = self.batch.iter().flat_map(|batch| batch.tasks.iter()).filter(|i| i.request.is_some());
        let deadline = earlier(queued, started.map(|task| task.deadline).min());
        let resend = self.round.as_ref().map(|round| round.resend_at);
        let resume = self.resume_at.filter(|_| !self.is_idle());
        earlier(earlier(deadline, resend), resume).filter(|at| *at != Duration::MAX)
    }

    /// A replica can be reached again: what it has not answered is sent again.
    pub(super) fn on_reachable(&mut self, context: &mut Context, node: Node) {
        context.unanswered.remove(&node);
        if let Some(round) = self.round.as_mut().filter(|round| round.is_awaiting(node)) {
            round.resend(context, node);
        }
    }

    /// A replica has answered whatever was sent to it last.
    pub(super) fn on_answer(&mut self, context: &mut Context, node: Node) {
        context.unanswered.remove(&node);
        if let Some(round) = &mut self.round {
            round.send_deferred(context, node);
        }
    }

    /// Gives up what is late, sends again what was not answered.
    pub(super) fn on_tick(&mut self, context: &mut Context) {
        self.expire_tasks(context);
        let Some(round) = &mut self.round else {
            return;
        };
        if round.resend_at > context.now {
            return;
        }
        round.interval = context.next_retry_interval(round.interval);
        round.resend_at = context.now + round.interval;
        let silent: Vec<Node> =
            round.sent_to.iter().copied().filter(|node| round.is_awaiting(*node)).collect();
        for node in silent {
            round.resend(context, node);
        }
    }

    fn expire_tasks(&mut self, context: &mut Context) {
        let now = context.now;
        if self.queue.iter().any(|task| task.deadline <= now) {
            let (late, waiting) =
                std::mem::take(&mut self.queue).into_iter().partition(|i| i.deadline <= now);
            self.queue = waiting;
            let late: VecDeque<Task> = late;
            for task in late {
                context.complete(task.request, timeout_outcome(&task.operation, false));
            }
        }
        let accepting = matches!(&self.round, Some(Round { phase: Phase::Accept { .. }, .. }));
        if self.batch.as_mut().is_some_and(|batch| !batch.expire_tasks(context, accepting)) {
            self.batch = None;
            self.round = None;
            self.reusable_ballot = None;
        }
    }

    /// Starts a round if there is work and none is under way.
    pub(super) fn start_round(&mut self, context: &mut Context, known: Option<Proposal>) {
        if !self.is_ready(context.now) {
            return;
        }
        self.resume_at = None;
        let Some(known) = known else {
            return;
        };
        if self.batch.is_none() {
            self.batch = self.next_batch(context.settings.max_batch_size);
        }
        if self.batch.is_none() {
            return;
        }
        match self.reusable_ballot.filter(|reusable_ballot| *reusable_ballot == known.ballot) {
            Some(reusable_ballot) => self.reuse_ballot(context, reusable_ballot, known),
            None => self.start_prepare(context, known),
        }
    }

    fn next_batch(&mut self, limit: usize) -> Option<Batch> {
        let alone = |task: &Task| {
            matches!(task.operation, Operation::ChangeMembers { .. } | Operation::CompleteMembershipChange)
        };
        let first = self.queue.pop_front()?;
        if alone(&first) {
            return Some(Batch::new(vec![first]));
        }
        let mut tasks = vec![first];
        while tasks.len() < limit && self.queue.front().is_some_and(|task| !alone(task)) {
            tasks.extend(self.queue.pop_front());
        }
        Some(Batch::new(tasks))
    }

    /// Goes on under a ballot that is still the highest: no prepare phase is needed.
    fn reuse_ballot(&mut self, context: &mut Context, ballot: Ballot, base: Proposal) {
        self.round = Some(Round {
            ballot,
            phase: Phase::Prepare { known: base.clone() },
            votes: Votes::new(&context.settings),
            base,
            base_committed: true,
            base_confirmed: false,
            sent_to: Vec::new(),
            deferred: Vec::new(),
            resend_at: context.now,
            interval: context.settings.retry_interval,
        });
        self.propose(context);
    }

    fn start_prepare(&mut self, context: &mut Context, known: Proposal) {
        self.counter = self.counter.max(known.ballot.counter) + 1;
        let ballot = Ballot::first(self.counter, context.node(), context.ballot_nonce());
        let mut round = Round {
            ballot,
            phase: Phase::Prepare { known: known.clone() },
            votes: Votes::new(&context.settings),
            base: known,
            base_committed: false,
            base_confirmed: false,
            sent_to: Vec::new(),
            deferred: Vec::new(),
            resend_at: context.now + context.settings.retry_interval,
            interval: context.settings.retry_interval,
        };
        round.send_to_new(context, &round.base.value.members());
        self.round = Some(round);
    }

    pub(super) fn on_promise(
        &mut self,
        context: &mut Context,
        from: Node,
        ballot: Ballot,
        voter: (u64, MinimumIncarnations),
        accepted: Ballot,
        value: ValueTransfer,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Prepare { known } = &round.phase else {
            return;
        };
        let start = known.value.groups.clone();
        if let Some(value) = value.into_value().filter(|_| accepted > round.base.ballot)
            && !context.settings.has(Fault::IgnoreAccepted)
        {
            round.base = Proposal { ballot: accepted, value };
        }
        round.votes.insert(from, voter.0, voter.1, ());
        let groups = round.required_groups(context, &start);
        round.send_to_new(context, &members(&groups));
        if round.votes.have_majorities(&groups, |()| true) {
            self.propose(context);
        }
    }

    pub(super) fn on_accepted(
        &mut self,
        context: &mut Context,
        from: Node,
        ballot: Ballot,
        voter: (u64, MinimumIncarnations),
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Accept { groups, .. } = &round.phase else {
            return;
        };
        round.votes.insert(from, voter.0, voter.1, ());
        if round.votes.have_majorities(groups, |()| true) {
            self.commit(context);
        }
    }

    pub(super) fn on_rejected(&mut self, context: &mut Context, ballot: Ballot, promised: Ballot) {
        self.observe_ballot(promised);
        let own = self.round.as_ref().is_some_and(|round| round.ballot == ballot);
        if own && !promised.is_same_prepare_phase(ballot) {
            self.back_off(context);
        }
    }

    /// A committed value was learned from elsewhere: a round that was built on older members starts again.
    pub(super) fn on_committed(&mut self, context: &mut Context, ballot: Ballot, value: &Value) {
        self.observe_ballot(ballot);
        let stale = self.round.as_ref().is_some_and(|round| {
            let overtaken = ballot > round.ballot && !ballot.is_same_prepare_phase(round.ballot);
            overtaken || (ballot > round.base.ballot && value.groups != round.base.value.groups)
        });
        if stale {
            self.back_off(context);
        }
    }

    /// Drops the round; the batch is tried again under a higher ballot after a while.
    fn back_off(&mut self, context: &mut Context) {
        self.round = None;
        self.reusable_ballot = None;
        self.preemptions += 1;
        self.resume_at = Some(context.now + context.backoff(self.preemptions));
    }

    /// Proposes what the batch makes of the base.
    fn propose(&mut self, context: &mut Context) {
        let Some((mut round, batch)) = self.round.take().zip(self.batch.take()) else {
            return;
        };
        if let Some(index) = batch.attempts.iter().position(|attempt| round.base.value.has_change(attempt.id))
        {
            return self.complete_earlier_attempt(context, round, batch, index);
        }
        if batch.attempts.iter().any(|attempt| !round.base.value.has_all_changes_since(attempt.base_revision))
        {
            batch.complete_unclear(context);
            return self.finish_round(context, &round);
        }
        let solitary = batch.tasks.first().map(|task| task.operation.clone());
        match solitary {
            Some(Operation::ChangeMembers { remove, add, joint_committed }) => {
                self.propose_membership_change(context, round, batch, &remove, &add, joint_committed);
            }
            Some(Operation::CompleteMembershipChange) => self.propose_completion(context, round, batch),
            _ => {
                let applied = batch.apply_commands(context, &round.base.value);
                if applied.revisions > 0 {
                    self.propose_commands(context, &mut round, batch, applied);
                    self.round = Some(round);
                } else {
                    self.answer_unchanged(context, round, batch, applied.outcomes);
                }
            }
        }
    }

    /// An earlier try has taken effect; it is answered as soon as that is committed.
    fn complete_earlier_attempt(
        &mut self,
        context: &mut Context,
        round: Round,
        mut batch: Batch,
        index: usize,
    ) {
        if !round.base_committed {
            return self.commit_base(context, round, batch);
        }
        let outcomes = batch.attempts.swap_remove(index).outcomes;
        batch.complete(context, outcomes);
        self.finish_round(context, &round);
    }

    fn propose_commands(
        &mut self,
        context: &mut Context,
        round: &mut Round,
        mut batch: Batch,
        applied: super::batch::AppliedBatch,
    ) {
        let id = self.next_id(context);
        let base = &round.base.value;
        let value = base.changed(id, applied.revisions, base.groups.clone(), applied.state.into());
        if !context.settings.has(Fault::ProposeTwice) {
            let outcomes = applied.outcomes.clone();
            batch.attempts.push(Attempt { id, base_revision: base.revision, outcomes });
        }
        self.batch = Some(batch);
        round.start_accept(context, value, AfterCommit::Complete(applied.outcomes));
    }

    /// Nothing changes: answered once a majority has confirmed the base in this round.
    fn answer_unchanged(
        &mut self,
        context: &mut Context,
        round: Round,
        batch: Batch,
        outcomes: Vec<Outcome>,
    ) {
        if !round.base_confirmed {
            return self.commit_base(context, round, batch);
        }
        batch.complete(context, outcomes);
        self.finish_round(context, &round);
    }

    /// Gets the base itself committed under the own ballot.
    pub(super) fn commit_base(&mut self, context: &mut Context, mut round: Round, batch: Batch) {
        self.batch = Some(batch);
        let value = round.base.value.clone();
        round.start_accept(context, value, AfterCommit::Continue);
        self.round = Some(round);
    }

    /// The proposed value has its majorities.
    fn commit(&mut self, context: &mut Context) {
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
        round.base_committed = true;
        round.base_confirmed = true;
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

    /// The batch is answered. The ballot stays in use if the last value under it was committed.
    pub(super) fn finish_round(&mut self, context: &mut Context, round: &Round) {
        self.round = None;
        self.reusable_ballot = round
            .base_committed
            .then_some(round.base.ballot)
            .filter(|b| b.is_same_prepare_phase(round.ballot));
        if round.base.value.is_joint() && round.base_committed {
            self.request_completion();
        }
        let base = round.base_committed.then(|| round.base.clone());
        self.start_round(context, base);
    }

    pub(super) fn next_id(&mut self, context: &Context) -> ChangeId {
        self.sequence += 1;
        ChangeId { nonce: context.nonce, sequence: self.sequence }
    }
}
