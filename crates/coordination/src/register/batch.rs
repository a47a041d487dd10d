//! Work waiting to be proposed, and what becomes of it on a given value.

use std::time::Duration;

use super::core::Core;
use super::event::{Applied, Outcome};
use super::node::Node;
use super::value::{ChangeId, Group, Value};

/// What an item asks for.
#[derive(Debug, Clone, Hash)]
pub(super) enum Work {
    /// Apply a command.
    Command(Vec<u8>),
    /// Tell the value.
    Read,
    /// Change the members.
    Members { remove: Vec<Node>, add: Vec<Node>, joined: bool },
    /// End a change of members that someone has begun.
    Complete,
}

/// A request, or an own task of the replica.
#[derive(Debug, Clone, Hash)]
pub(super) struct Item {
    /// Whom to answer; none once answered, or for an own task.
    pub(super) request: Option<u64>,
    pub(super) work: Work,
    /// When to give up.
    pub(super) deadline: Duration,
}

impl Item {
    /// An own task without a deadline.
    pub(super) fn own(work: Work) -> Self {
        Self { request: None, work, deadline: Duration::MAX }
    }

    /// Whether nobody waits for it any more.
    fn is_void(&self) -> bool {
        self.request.is_none() && self.deadline != Duration::MAX
    }
}

/// A value that was proposed for a batch, and the answers if it takes effect.
#[derive(Debug, Clone, Hash)]
pub(super) struct Try {
    pub(super) id: ChangeId,
    pub(super) base_revision: u64,
    pub(super) outcomes: Vec<Outcome>,
}

/// Items that are proposed together, until all are answered.
#[derive(Debug, Clone, Hash)]
pub(super) struct Batch {
    pub(super) items: Vec<Item>,
    pub(super) tries: Vec<Try>,
}

/// What a batch of commands makes of a value.
pub(super) struct Folded {
    pub(super) state: Vec<u8>,
    pub(super) revisions: u64,
    pub(super) outcomes: Vec<Outcome>,
}

/// What a change of members makes of a value.
pub(super) enum MemberStep {
    /// Both groups are to be in force.
    Join(Vec<Group>),
    /// Nothing is to be done.
    Done(Outcome),
}

impl Batch {
    pub(super) fn new(items: Vec<Item>) -> Self {
        Self { items, tries: Vec::new() }
    }

    /// Answers all that wait.
    pub(super) fn answer(self, core: &mut Core, outcomes: Vec<Outcome>) {
        for (item, outcome) in self.items.into_iter().zip(outcomes) {
            core.done(item.request, outcome);
        }
    }

    /// Answers all with "unclear".
    pub(super) fn give_up(self, core: &mut Core) {
        let outcomes = vec![Outcome::Timeout; self.items.len()];
        self.answer(core, outcomes);
    }

    /// Answers those whose time is over; tells whether anyone still waits. What has been proposed stays, as its
    /// place in the batch tells the answers of the others.
    pub(super) fn expire(&mut self, core: &mut Core, accepting: bool) -> bool {
        let now = core.now;
        let tried = !self.tries.is_empty();
        for item in self.items.iter_mut().filter(|item| item.deadline <= now) {
            let unclear = tried || (accepting && matches!(item.work, Work::Members { .. }));
            let outcome = expired(&item.work, unclear);
            core.done(item.request.take(), outcome);
        }
        if !tried {
            self.items.retain(|item| item.deadline > now);
        }
        !self.items.iter().all(Item::is_void)
    }

    /// Applies all commands in turn.
    pub(super) fn fold(&self, core: &Core, base: &Value) -> Folded {
        let mut folded = Folded { state: base.state.to_vec(), revisions: 0, outcomes: Vec::new() };
        for item in &self.items {
            let outcome = match &item.work {
                Work::Command(command) => apply(core, base, &mut folded, command),
                _ => Outcome::Value {
                    revision: base.revision + folded.revisions,
                    state: folded.state.clone().into(),
                },
            };
            folded.outcomes.push(outcome);
        }
        folded
    }
}

/// The answer to an item whose time is over.
pub(super) fn expired(work: &Work, unclear: bool) -> Outcome {
    match work {
        Work::Read => Outcome::Timeout,
        _ if unclear => Outcome::Timeout,
        _ => Outcome::Expired,
    }
}

fn apply(core: &Core, base: &Value, folded: &mut Folded, command: &[u8]) -> Outcome {
    let revision = base.revision + folded.revisions;
    match core.machine.apply(&folded.state, command) {
        Applied::Changed { state, answer } => {
            folded.state = state;
            folded.revisions += 1;
            Outcome::Changed { revision: revision + 1, answer }
        }
        Applied::Unchanged { answer } => Outcome::Unchanged { revision, answer },
        Applied::Refused { answer } => Outcome::Refused { revision, answer },
    }
}

/// The next step of a change of members on a value with one group.
pub(super) fn change_members(base: &Value, remove: &[Node], add: &[Node]) -> MemberStep {
    let old = Group::new(base.newest_group().to_vec());
    let kept = old.members().iter().copied().filter(|node| !remove.contains(node));
    let new = Group::new(kept.chain(add.iter().copied()).collect());
    let revision = base.revision;
    let answer = Vec::new();
    if new == old {
        return MemberStep::Done(Outcome::Unchanged { revision, answer });
    }
    let foreign = remove.iter().any(|node| !old.contains(*node));
    // Two owners may have chosen the same newcomer: the second exchange would only take a member away.
    let shrinks = !add.is_empty() && new.members().len() < old.members().len();
    if foreign || shrinks || new.members().is_empty() {
        return MemberStep::Done(Outcome::Refused { revision, answer });
    }
    MemberStep::Join(vec![old, new])
}
