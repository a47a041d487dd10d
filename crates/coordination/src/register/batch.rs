//! Work waiting to be proposed, and what becomes of it on a given value.

use std::time::Duration;

use super::context::Context;
use super::event::{Applied, Outcome};
use super::node::Node;
use super::value::{ChangeId, Group, Value};

/// What an item asks for.
#[derive(Debug, Clone, Hash)]
pub(super) enum Operation {
    /// Apply a command.
    Command(Vec<u8>),
    /// Tell the value.
    Read,
    /// Change the members.
    ChangeMembers { remove: Vec<Node>, add: Vec<Node>, joint_committed: bool },
    /// End a change of members that someone has begun.
    CompleteMembershipChange,
}

/// A request, or an own task of the replica.
#[derive(Debug, Clone, Hash)]
pub(super) struct Task {
    /// Whom to answer; none once answered, or for an own task.
    pub(super) request: Option<u64>,
    pub(super) operation: Operation,
    /// When to give up.
    pub(super) deadline: Duration,
}

impl Task {
    /// An own task without a deadline.
    pub(super) fn internal(operation: Operation) -> Self {
        Self { request: None, operation, deadline: Duration::MAX }
    }

    /// Whether nobody waits for it any more.
    fn is_abandoned(&self) -> bool {
        self.request.is_none() && self.deadline != Duration::MAX
    }
}

/// A value that was proposed for a batch, and the answers if it takes effect.
#[derive(Debug, Clone, Hash)]
pub(super) struct Attempt {
    pub(super) id: ChangeId,
    pub(super) base_revision: u64,
    pub(super) outcomes: Vec<Outcome>,
}

/// Items that are proposed together, until all are answered.
#[derive(Debug, Clone, Hash)]
pub(super) struct Batch {
    pub(super) tasks: Vec<Task>,
    pub(super) attempts: Vec<Attempt>,
}

/// What a batch of commands makes of a value.
pub(super) struct AppliedBatch {
    pub(super) state: Vec<u8>,
    pub(super) revisions: u64,
    pub(super) outcomes: Vec<Outcome>,
}

/// What a change of members makes of a value.
pub(super) enum MembershipStep {
    /// Both groups are to be in force.
    EnterJoint(Vec<Group>),
    /// Nothing is to be done.
    Done(Outcome),
}

impl Batch {
    pub(super) fn new(tasks: Vec<Task>) -> Self {
        Self { tasks, attempts: Vec::new() }
    }

    /// Answers all that wait.
    pub(super) fn complete(self, context: &mut Context, outcomes: Vec<Outcome>) {
        for (task, outcome) in self.tasks.into_iter().zip(outcomes) {
            context.complete(task.request, outcome);
        }
    }

    /// Answers all with "unclear".
    pub(super) fn complete_unclear(self, context: &mut Context) {
        let outcomes = vec![Outcome::Timeout; self.tasks.len()];
        self.complete(context, outcomes);
    }

    /// Answers those whose time is over; tells whether anyone still waits. What has been proposed stays, as its
    /// place in the batch tells the answers of the others.
    pub(super) fn expire_tasks(&mut self, context: &mut Context, accepting: bool) -> bool {
        let now = context.now;
        let attempted = !self.attempts.is_empty();
        for task in self.tasks.iter_mut().filter(|task| task.deadline <= now) {
            let may_have_effect =
                attempted || (accepting && matches!(task.operation, Operation::ChangeMembers { .. }));
            let outcome = timeout_outcome(&task.operation, may_have_effect);
            context.complete(task.request.take(), outcome);
        }
        if !attempted {
            self.tasks.retain(|task| task.deadline > now);
        }
        !self.tasks.iter().all(Task::is_abandoned)
    }

    /// Applies all commands in turn.
    pub(super) fn apply_commands(&self, context: &Context, base: &Value) -> AppliedBatch {
        let mut applied = AppliedBatch { state: base.state.to_vec(), revisions: 0, outcomes: Vec::new() };
        for task in &self.tasks {
            let outcome = match &task.operation {
                Operation::Command(command) => apply(context, base, &mut applied, command),
                _ => Outcome::Value {
                    revision: base.revision + applied.revisions,
                    state: applied.state.clone().into(),
                },
            };
            applied.outcomes.push(outcome);
        }
        applied
    }
}

/// The answer to an item whose time is over.
pub(super) fn timeout_outcome(operation: &Operation, may_have_effect: bool) -> Outcome {
    match operation {
        Operation::Read => Outcome::Timeout,
        _ if may_have_effect => Outcome::Timeout,
        _ => Outcome::Expired,
    }
}

fn apply(context: &Context, base: &Value, applied: &mut AppliedBatch, command: &[u8]) -> Outcome {
    let revision = base.revision + applied.revisions;
    match context.state_machine.apply(&applied.state, command) {
        Applied::Changed { state, answer } => {
            applied.state = state;
            applied.revisions += 1;
            Outcome::Changed { revision: revision + 1, answer }
        }
        Applied::Unchanged { answer } => Outcome::Unchanged { revision, answer },
        Applied::Refused { answer } => Outcome::Refused { revision, answer },
    }
}

/// The next step of a change of members on a value with one group.
pub(super) fn plan_membership_change(base: &Value, remove: &[Node], add: &[Node]) -> MembershipStep {
    let old = Group::new(base.newest_group().to_vec());
    let kept = old.members().iter().copied().filter(|node| !remove.contains(node));
    let new = Group::new(kept.chain(add.iter().copied()).collect());
    let revision = base.revision;
    let answer = Vec::new();
    if new == old {
        return MembershipStep::Done(Outcome::Unchanged { revision, answer });
    }
    let foreign = remove.iter().any(|node| !old.contains(*node));
    // Two owners may have chosen the same newcomer: the second exchange would only take a member away.
    let shrinks = !add.is_empty() && new.members().len() < old.members().len();
    if foreign || shrinks || new.members().is_empty() {
        return MembershipStep::Done(Outcome::Refused { revision, answer });
    }
    MembershipStep::EnterJoint(vec![old, new])
}
