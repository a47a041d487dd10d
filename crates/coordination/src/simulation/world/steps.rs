//! Execution of the steps of a scenario.

use std::time::Duration;

use rand::Rng;

use super::World;
use crate::register::{Input, Settings};
use crate::simulation::append::Command;
use crate::simulation::machine::{Event, node_of};
use crate::simulation::step::{MachineIndex, Machines, Step};
use crate::simulation::violation::Violation;

/// The first number for [`Step::Ensure`], so high that these numbers differ from appended ones.
const FIRST_ENSURED_NUMBER: u32 = 1_000_000;

/// How many different numbers [`Step::Ensure`] uses.
const ENSURED_NUMBERS: u32 = 4;

impl World {
    /// Executes the step of this number, counted from one.
    pub(super) fn step(&mut self, number: usize, step: Step) -> Result<(), Violation> {
        match step {
            Step::Append(at) => self.append(at, Command::Append),
            Step::AppendRepeatedly { at, count, every } => (0..count).try_for_each(|_| {
                self.append(at, Command::Append)?;
                self.run(Duration::from_millis(every))
            }),
            Step::AppendIfEven(at) => self.append(at, Command::AppendIfEven),
            Step::Ensure(at) => {
                let entry = FIRST_ENSURED_NUMBER + self.random.random_range(0..ENSURED_NUMBERS);
                self.propose(at, Command::Ensure(entry))
            }
            Step::Read(at) => self.request(at, None, |request, deadline| Input::Read { request, deadline }),
            Step::ReplaceMember { old, new, via } => {
                self.change_members(via, vec![node_of(old)], Some(node_of(new)))
            }
            Step::AddMember { new, via } => self.change_members(via, Vec::new(), Some(node_of(new))),
            Step::RemoveMember { old, via } => self.change_members(via, vec![node_of(old)], None),
            Step::Wait(time) => self.run(Duration::from_millis(time)),
            Step::Start(at) => self.start(at, false),
            Step::Thaw(at) => self.thaw(at),
            Step::RepairDisk(at) => self.repair_disk(at),
            Step::Quiesce => self.quiesce(),
            Step::Expect(at, expected) => self.expect(number, at, expected),
            _ => {
                self.apply_fault(step);
                Ok(())
            }
        }
    }

    /// Executes the steps that only inject a fault, and those that end a fault of the network.
    fn apply_fault(&mut self, step: Step) {
        match step {
            Step::Kill(at) => self.machines[at].kill(&mut self.random),
            Step::LosePower(at) => self.machines[at].lose_power(&mut self.random),
            Step::WipeDisk(at) if self.can_lose_disk(at) => self.machines[at].lose_disk(&mut self.random),
            Step::Retire(at) if self.can_lose_disk(at) => {
                self.machines[at].lose_disk(&mut self.random);
                self.machines[at].retired = true;
            }
            Step::Freeze(at) => self.machines[at].frozen = self.machines[at].replica.is_some(),
            Step::BlockLink(from, to) => self.network.block_link(from, to),
            Step::Isolate(at) => {
                for other in 0..self.machines.len() {
                    self.network.block_link(at, other);
                    self.network.block_link(other, at);
                }
            }
            Step::Partition(set) => self.partition(set),
            Step::Heal => self.network.heal(),
            Step::Loss(percent) => self.network.loss_percent = percent,
            Step::Duplicate(percent) => self.network.duplicate_percent = percent,
            Step::Delay(time) => self.network.max_delay = Duration::from_millis(time),
            Step::SlowDisk(at, time) => self.machines[at].disk.max_write_time = Duration::from_millis(time),
            Step::StallDisk(at) => self.machines[at].disk.stalled = true,
            Step::FillDisk(at) => self.machines[at].disk.directory.rejects_writes = true,
            _ => {}
        }
    }

    /// Blocks all links between the machines of a set and the others, and no other links.
    fn partition(&mut self, set: Machines) {
        self.network.heal();
        for from in 0..self.machines.len() {
            for to in (0..self.machines.len()).filter(|to| set.contains(from) != set.contains(*to)) {
                self.network.block_link(from, to);
            }
        }
    }

    /// Starts a process; it and the running peers are notified that they can reach each other.
    pub(super) fn start(&mut self, at: MachineIndex, bootstrap: bool) -> Result<(), Violation> {
        let seeds = (0..self.bootstrap_members).map(node_of).collect();
        let settings = Settings { bootstrap, fault: self.fault, ..Settings::new(node_of(at), seeds) };
        let nonce = self.random.random();
        self.machines[at].start(settings, self.now, nonce)?;
        for other in 0..self.machines.len() {
            self.input(at, Input::PeerReachable { node: node_of(other) })?;
            if !self.machines[other].frozen {
                self.input(other, Input::PeerReachable { node: node_of(at) })?;
            }
        }
        self.flush(at)
    }

    /// Resumes a process, which then gets the events that arrived meanwhile.
    pub(super) fn thaw(&mut self, at: MachineIndex) -> Result<(), Violation> {
        self.machines[at].frozen = false;
        let backlog = std::mem::take(&mut self.machines[at].backlog);
        for event in backlog {
            self.deliver(at, event)?;
        }
        Ok(())
    }

    /// Ends the faults of a disk; a stalled write completes.
    pub(super) fn repair_disk(&mut self, at: MachineIndex) -> Result<(), Violation> {
        let stalled = self.machines[at].disk.stalled;
        self.machines[at].disk.repair();
        let (incarnation, write) = (self.machines[at].incarnation, self.machines[at].disk.write.as_ref());
        match write.map(|write| write.token).filter(|_| stalled) {
            Some(token) => self.deliver(at, Event::Written { incarnation, token }),
            None => Ok(()),
        }
    }
}
