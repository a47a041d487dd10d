//! Checks of what a scenario expects: that all machines serve once all faults have ended, and single expectations.

use std::time::Duration;

use super::World;
use crate::register::{Input, Outcome, Status};
use crate::simulation::append::Command;
use crate::simulation::step::{Expectation, MachineIndex};
use crate::simulation::violation::Violation;

/// Time to recover once all faults have ended: several of the longest retry intervals.
const QUIESCE_TIME: Duration = Duration::from_secs(12);

/// Deadline of the last requests, from when they are made.
const FINAL_DEADLINE: Duration = Duration::from_secs(12);

impl World {
    /// Ends all faults and starts all processes; then every machine that is not retired must serve.
    pub(super) fn quiesce(&mut self) -> Result<(), Violation> {
        self.network.repair();
        for at in 0..self.machines.len() {
            self.repair_disk(at)?;
            self.thaw(at)?;
            self.start(at, false)?;
        }
        self.run(QUIESCE_TIME)?;
        for at in (0..self.machines.len()).filter(|at| !self.machines[*at].retired).collect::<Vec<_>>() {
            self.check_serves(at)?;
        }
        Ok(())
    }

    /// A read and a change through one machine must both succeed.
    fn check_serves(&mut self, at: MachineIndex) -> Result<(), Violation> {
        let deadline = self.now + FINAL_DEADLINE;
        self.request_until(at, None, deadline, |request, deadline| Input::Read { request, deadline })?;
        let read = self.machines[at].last_request;
        self.next_entry += 1;
        let command = Command::Append(self.next_entry);
        let propose = |request, deadline| Input::Propose { request, command: command.encode(), deadline };
        self.request_until(at, Some(command), deadline, propose)?;
        let changed = self.machines[at].last_request;
        self.run(FINAL_DEADLINE)?;
        let read = read.and_then(|request| self.history.outcome(request));
        let changed = changed.and_then(|request| self.history.outcome(request));
        match (read, changed) {
            (Some(Outcome::Value { .. }), Some(Outcome::Changed { .. })) => Ok(()),
            _ => Err(Violation::Unavailable(at)),
        }
    }

    pub(super) fn expect(
        &self,
        step: usize,
        at: MachineIndex,
        expected: Expectation,
    ) -> Result<(), Violation> {
        let found = match expected {
            Expectation::Member | Expectation::Spare | Expectation::Recovering => self.member_status(at),
            Expectation::Revision(_) => self.machines[at].newest_committed().map(Expectation::Revision),
            _ => self.answer(at),
        };
        if found == Some(expected) {
            return Ok(());
        }
        let found = found.map_or_else(|| "nothing".to_owned(), |found| found.to_string());
        Err(Violation::UnmetExpectation { step, expected: expected.to_string(), found })
    }

    fn member_status(&self, at: MachineIndex) -> Option<Expectation> {
        self.machines[at].status().map(|status| match status {
            Status::Member => Expectation::Member,
            Status::Spare => Expectation::Spare,
            Status::Recovering { .. } => Expectation::Recovering,
        })
    }

    fn answer(&self, at: MachineIndex) -> Option<Expectation> {
        let request = self.machines[at].last_request?;
        let Some(outcome) = self.history.outcome(request) else {
            return Some(Expectation::Unanswered);
        };
        Some(match outcome {
            Outcome::Changed { .. } => Expectation::Changed,
            Outcome::Unchanged { .. } => Expectation::Unchanged,
            Outcome::Refused { .. } => Expectation::Refused,
            Outcome::Value { .. } => Expectation::Value,
            Outcome::Expired => Expectation::Expired,
            Outcome::Timeout => Expectation::Timeout,
        })
    }
}
