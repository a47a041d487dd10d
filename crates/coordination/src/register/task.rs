//! Tasks of a replica: requests of callers, and internal ones.

use std::time::Duration;

use super::event::Outcome;
use super::node::Node;

/// What a task does.
#[derive(Debug, Clone, Hash)]
pub(super) enum Operation {
    /// Apply a command.
    Command(Vec<u8>),
    /// Read the value.
    Read,
    /// Change the members.
    ChangeMembers(MembershipChange),
    /// Complete a membership change that any replica has started.
    CompleteMembershipChange,
}

/// A requested membership change.
#[derive(Debug, Clone, Hash)]
pub(super) struct MembershipChange {
    /// Members that leave.
    pub(super) remove: Vec<Node>,
    /// Nodes that join.
    pub(super) add: Vec<Node>,
    /// Whether its joint value is committed.
    pub(super) is_joint_committed: bool,
}

/// A request of a caller, or an internal task of the replica.
#[derive(Debug, Clone, Hash)]
pub(super) struct Task {
    /// The request to answer; `None` once it is answered, and for an internal task.
    pub(super) request: Option<u64>,
    pub(super) operation: Operation,
    /// When the task expires.
    pub(super) deadline: Duration,
}

impl Task {
    /// An internal task, which never expires.
    pub(super) fn internal(operation: Operation) -> Self {
        Self { request: None, operation, deadline: Duration::MAX }
    }

    /// Whether the task belongs to a request that was already answered, because it expired.
    pub(super) fn is_abandoned(&self) -> bool {
        self.request.is_none() && self.deadline != Duration::MAX
    }

    /// The outcome of a task that expires; `may_have_effect` if it was proposed.
    pub(super) fn timeout_outcome(&self, may_have_effect: bool) -> Outcome {
        match self.operation {
            Operation::Read => Outcome::Timeout,
            _ if may_have_effect => Outcome::Timeout,
            _ => Outcome::Expired,
        }
    }
}
