//! Requests of a scenario to the replicas.

use std::time::Duration;

use super::World;
use super::fault_tolerance::RequestedMembershipChange;
use crate::register::{Input, Node};
use crate::simulation::append::Command;
use crate::simulation::step::MachineIndex;
use crate::simulation::violation::Violation;

/// Deadline of a request, from when it is made.
const DEADLINE: Duration = Duration::from_secs(4);

impl World {
    /// Proposes a command with a new number.
    pub(super) fn append(
        &mut self,
        at: MachineIndex,
        command: impl Fn(u32) -> Command,
    ) -> Result<(), Violation> {
        self.next_entry += 1;
        self.propose(at, command(self.next_entry))
    }

    /// Proposes a command.
    pub(super) fn propose(&mut self, at: MachineIndex, command: Command) -> Result<(), Violation> {
        let input = |request, deadline| Input::Propose { request, command: command.encode(), deadline };
        self.request(at, Some(command), input)
    }

    /// Requests a membership change, unless a group that it may lead to would lack a majority with records.
    pub(super) fn change_members(
        &mut self,
        via: MachineIndex,
        remove: Vec<Node>,
        add: Option<Node>,
    ) -> Result<(), Violation> {
        let request = self.history.next_request();
        self.changes.push(RequestedMembershipChange { request, remove: remove.clone(), add });
        let groups = self.possible_groups();
        if !self.keeps_majorities(&groups, None) {
            self.changes.pop();
            return Ok(());
        }
        self.request(via, None, |request, deadline| Input::ChangeMembers {
            request,
            remove,
            add: add.into_iter().collect(),
            deadline,
        })
    }

    /// Sends a request to a machine, if its process runs and is not frozen.
    pub(super) fn request(
        &mut self,
        at: MachineIndex,
        command: Option<Command>,
        input: impl FnOnce(u64, Duration) -> Input,
    ) -> Result<(), Violation> {
        self.request_until(at, command, self.now + DEADLINE, input)
    }

    /// As [`Self::request`], with a deadline.
    pub(super) fn request_until(
        &mut self,
        at: MachineIndex,
        command: Option<Command>,
        deadline: Duration,
        input: impl FnOnce(u64, Duration) -> Input,
    ) -> Result<(), Violation> {
        if self.machines[at].replica.is_none() || self.machines[at].frozen {
            return Ok(());
        }
        let request = self.history.record_request(command);
        self.machines[at].last_request = Some(request);
        self.input(at, input(request, deadline))
    }
}
