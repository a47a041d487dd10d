//! The proposer: runs rounds of prepare and accept, for one batch of tasks after another.
//!
//! This file queues tasks, starts rounds and counts votes; `proposal` decides what a round proposes and what
//! follows once that is committed.

mod batch;
mod membership_change;
mod proposal;
mod round;

use std::collections::VecDeque;
use std::time::Duration;

use super::ballot::Ballot;
use super::context::{Context, Proposal, earlier};
use super::fault::Fault;
use super::incarnation::Voter;
use super::node::Node;
use super::quorum::members;
use super::task::{Operation, Task};
use super::value::{Value, ValueTransfer};
use batch::Batch;
use round::{BaseStatus, Phase, Round};

/// The vote of phase one.
pub(super) struct Promise {
    pub(super) voter: Voter,
    /// The ballot of the voter's accepted value.
    pub(super) accepted: Ballot,
    /// That value, if newer than what the proposer has.
    pub(super) value: ValueTransfer,
}

#[derive(Clone, Default, Hash)]
pub(super) struct Proposer {
    queue: VecDeque<Task>,
    batch: Option<Batch>,
    round: Option<Round>,
    /// The ballot of the last commit, if no higher one was seen: a round under it needs no prepare phase.
    reusable_ballot: Option<Ballot>,
    /// The highest ballot counter seen.
    counter: u64,
    /// Rounds that other proposers preempted since the last commit.
    preemptions: u32,
    resume_at: Option<Duration>,
    /// Number of changes that this process has proposed.
    sequence: u64,
}

impl Proposer {
    pub(super) fn enqueue(&mut self, task: Task) {
        self.queue.push_back(task);
    }

    /// Queues the completion of a membership change, unless it is queued already.
    pub(super) fn request_completion(&mut self) {
        let is_completion = |task: &Task| matches!(task.operation, Operation::CompleteMembershipChange);
        if !self.queue.iter().any(is_completion) {
            self.queue.push_front(Task::internal(Operation::CompleteMembershipChange));
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.batch.is_none()
    }

    /// Records a ballot of any proposer.
    pub(super) fn observe_ballot(&mut self, ballot: Ballot) {
        self.counter = self.counter.max(ballot.counter);
        self.reusable_ballot.take_if(|own| ballot > *own && !ballot.is_same_prepare_phase(*own));
    }

    /// Whether a round could start, if a group is known.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        self.round.is_none() && !self.is_idle() && self.resume_at.is_none_or(|at| at <= now)
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|task| task.deadline).min();
        let started = self.batch.iter().flat_map(|batch| batch.tasks.iter());
        let unanswered = started.filter(|task| task.request.is_some());
        let deadline = earlier(queued, unanswered.map(|task| task.deadline).min());
        let retry = self.round.as_ref().map(|round| round.retry.due_at());
        let resume = self.resume_at.filter(|_| !self.is_idle());
        earlier(earlier(deadline, retry), resume).filter(|at| *at != Duration::MAX)
    }

    /// A replica is reachable again: the message that it has not answered is sent again.
    pub(super) fn on_reachable(&mut self, context: &mut Context, node: Node) {
        context.unanswered.remove(&node);
        if let Some(round) = self.round.as_mut().filter(|round| round.is_awaiting(node)) {
            round.resend(context, node);
        }
    }

    /// A replica has answered the last message sent to it.
    pub(super) fn on_answer(&mut self, context: &mut Context, node: Node) {
        context.unanswered.remove(&node);
        if let Some(round) = &mut self.round {
            round.send_deferred(context, node);
        }
    }

    /// Expires tasks and sends the message of the round again to those that have not answered it.
    pub(super) fn on_tick(&mut self, context: &mut Context) {
        self.expire_tasks(context);
        let Some(round) = self.round.as_mut().filter(|round| round.retry.is_due(context)) else {
            return;
        };
        round.retry.back_off(context);
        let unanswered = round.sent_to.iter().copied().filter(|node| round.is_awaiting(*node));
        for node in unanswered.collect::<Vec<_>>() {
            round.resend(context, node);
        }
    }

    fn expire_tasks(&mut self, context: &mut Context) {
        let now = context.now;
        for task in self.queue.iter().filter(|task| task.deadline <= now) {
            context.complete(task.request, task.timeout_outcome(false));
        }
        self.queue.retain(|task| task.deadline > now);
        let is_accepting = matches!(&self.round, Some(Round { phase: Phase::Accept { .. }, .. }));
        if self.batch.as_mut().is_some_and(|batch| !batch.expire_tasks(context, is_accepting)) {
            self.batch = None;
            self.round = None;
            self.reusable_ballot = None;
        }
    }

    /// Starts a round on the newest value known, if tasks wait and no round is in progress.
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
        match self.reusable_ballot.filter(|ballot| *ballot == known.ballot) {
            Some(ballot) => self.reuse_ballot(context, ballot, known),
            None => self.start_prepare(context, known),
        }
    }

    /// Takes the next tasks from the queue; a membership change is a batch of its own.
    fn next_batch(&mut self, limit: usize) -> Option<Batch> {
        let first = self.queue.pop_front()?;
        if requires_own_batch(&first) {
            return Some(Batch::new(vec![first]));
        }
        let mut tasks = vec![first];
        while tasks.len() < limit && self.queue.front().is_some_and(|task| !requires_own_batch(task)) {
            tasks.extend(self.queue.pop_front());
        }
        Some(Batch::new(tasks))
    }

    /// Starts a round under a ballot that is still the highest: it needs no prepare phase.
    fn reuse_ballot(&mut self, context: &mut Context, ballot: Ballot, base: Proposal) {
        self.round = Some(Round::new(context, ballot, base, BaseStatus::Committed));
        self.propose(context);
    }

    /// Starts a round under a new ballot.
    fn start_prepare(&mut self, context: &mut Context, known: Proposal) {
        self.counter = self.counter.max(known.ballot.counter) + 1;
        let ballot = Ballot::first(self.counter, context.node(), context.ballot_nonce());
        let mut round = Round::new(context, ballot, known, BaseStatus::Accepted);
        round.send_to_new(context, &round.base.value.members());
        self.round = Some(round);
    }

    pub(super) fn on_promise(&mut self, context: &mut Context, from: Node, ballot: Ballot, promise: Promise) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Prepare { known } = &round.phase else {
            return;
        };
        let known_groups = known.value.groups.clone();
        let Promise { voter, accepted, value } = promise;
        if let Some(value) = value.into_value().filter(|_| accepted > round.base.ballot)
            && !context.settings.has(Fault::IgnoreAccepted)
        {
            round.base = Proposal { ballot: accepted, value };
        }
        round.votes.insert(from, voter, ());
        let groups = round.required_groups(context, &known_groups);
        round.send_to_new(context, &members(&groups));
        if round.votes.have_majorities(&groups, |()| true) {
            self.propose(context);
        }
    }

    pub(super) fn on_accepted(&mut self, context: &mut Context, from: Node, ballot: Ballot, voter: Voter) {
        let Some(round) = self.round.as_mut().filter(|round| round.ballot == ballot) else {
            return;
        };
        let Phase::Accept { groups, .. } = &round.phase else {
            return;
        };
        round.votes.insert(from, voter, ());
        if round.votes.have_majorities(groups, |()| true) {
            self.commit(context);
        }
    }

    pub(super) fn on_rejected(&mut self, context: &mut Context, ballot: Ballot, promised: Ballot) {
        self.observe_ballot(promised);
        let is_own = self.round.as_ref().is_some_and(|round| round.ballot == ballot);
        if is_own && !promised.is_same_prepare_phase(ballot) {
            self.back_off(context);
        }
    }

    /// A committed value was learned from elsewhere: a round that was preempted, or that builds on older
    /// groups, is abandoned and tried again.
    pub(super) fn on_committed(&mut self, context: &mut Context, ballot: Ballot, value: &Value) {
        self.observe_ballot(ballot);
        let is_stale = self.round.as_ref().is_some_and(|round| {
            let is_preempted = ballot > round.ballot && !ballot.is_same_prepare_phase(round.ballot);
            is_preempted || (ballot > round.base.ballot && value.groups != round.base.value.groups)
        });
        if is_stale {
            self.back_off(context);
        }
    }

    /// Drops the round; the batch is proposed again under a higher ballot after a random delay.
    fn back_off(&mut self, context: &mut Context) {
        self.round = None;
        self.reusable_ballot = None;
        self.preemptions += 1;
        self.resume_at = Some(context.now + context.backoff(self.preemptions));
    }
}

/// Whether a task needs a batch of its own, without other tasks.
fn requires_own_batch(task: &Task) -> bool {
    matches!(task.operation, Operation::ChangeMembers(_) | Operation::CompleteMembershipChange)
}
