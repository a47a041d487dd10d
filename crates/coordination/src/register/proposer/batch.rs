//! Batches of tasks that are proposed together, and the effect of their commands on a given value.

use crate::register::context::Context;
use crate::register::event::Outcome;
use crate::register::state_machine::Applied;
use crate::register::task::{Operation, Task};
use crate::register::value::{ChangeId, Value};

/// One proposal of a batch, and the outcomes of the tasks if it is committed.
#[derive(Debug, Clone, Hash)]
pub(super) struct Attempt {
    pub(super) id: ChangeId,
    pub(super) base_revision: u64,
    pub(super) outcomes: Vec<Outcome>,
}

/// Tasks that are proposed together, until all are answered.
#[derive(Debug, Clone, Hash)]
pub(super) struct Batch {
    pub(super) tasks: Vec<Task>,
    /// Proposals so far: any of them may still be committed, through this or another proposer.
    pub(super) attempts: Vec<Attempt>,
}

/// The effect of the commands of a batch on a value.
pub(super) struct AppliedBatch {
    pub(super) state: Vec<u8>,
    pub(super) revisions: u64,
    pub(super) outcomes: Vec<Outcome>,
}

impl Batch {
    pub(super) fn new(tasks: Vec<Task>) -> Self {
        Self { tasks, attempts: Vec::new() }
    }

    /// Answers each task with its outcome.
    pub(super) fn complete(self, context: &mut Context, outcomes: Vec<Outcome>) {
        for (task, outcome) in self.tasks.into_iter().zip(outcomes) {
            context.complete(task.request, outcome);
        }
    }

    /// Answers all tasks with an unknown outcome: they may have taken effect.
    pub(super) fn complete_with_unknown_outcome(self, context: &mut Context) {
        let outcomes = vec![Outcome::Timeout; self.tasks.len()];
        self.complete(context, outcomes);
    }

    /// Answers the tasks whose deadline has passed; returns whether any other remains. Once the batch has been
    /// proposed, expired tasks stay in it, as the outcomes of an attempt are matched to tasks by their index.
    pub(super) fn expire_tasks(&mut self, context: &mut Context, is_accepting: bool) -> bool {
        let now = context.now;
        let is_attempted = !self.attempts.is_empty();
        for task in self.tasks.iter_mut().filter(|task| task.deadline <= now) {
            let may_have_effect =
                is_attempted || (is_accepting && matches!(task.operation, Operation::ChangeMembers(_)));
            let outcome = task.timeout_outcome(may_have_effect);
            context.complete(task.request.take(), outcome);
        }
        if !is_attempted {
            self.tasks.retain(|task| task.deadline > now);
        }
        !self.tasks.iter().all(Task::is_abandoned)
    }

    /// Applies all commands in turn, beginning with the state of `base`.
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
