//! The simulated world: time, events, machines and the steps of a scenario.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::append::Command;
use super::fault_tolerance::RequestedMembershipChange;
use super::history::{History, Violation};
use super::machine::{Event, Machine, index_of, node_of};
use super::network::Network;
use super::scenario::Scenario;
use super::step::{MachineIndex, Machines, Step};
use crate::register::{Fault, Input, Node, Output, Record, Settings};

/// A request is given up after this long.
const DEADLINE: Duration = Duration::from_secs(4);

/// Ensured numbers start here, so that they differ from appended ones.
const FIRST_ENSURED: u32 = 1_000_000;

/// So many numbers take turns in being ensured.
const ENSURED: u32 = 4;

/// An event and when it happens; of those at one time the first scheduled goes first.
struct Scheduled {
    at: Duration,
    order: u64,
    machine: MachineIndex,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What the replica on a machine asked its driver to do, and when.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Simulated time.
    pub at: Duration,
    /// The machine of the replica.
    pub machine: MachineIndex,
    /// What was asked.
    pub output: Output,
}

/// Machines, network and time.
pub struct World {
    pub(super) now: Duration,
    random: SmallRng,
    events: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    pub(super) machines: Vec<Machine>,
    founders: usize,
    pub(super) network: Network,
    pub(super) history: History,
    pub(super) changes: Vec<RequestedMembershipChange>,
    fault: Option<Fault>,
    pub(super) next_entry: u32,
    /// All outputs of the replicas, if someone wants them.
    observations: Option<Vec<Observation>>,
}

impl World {
    /// Plays a scenario to its end or to the first broken rule; `fault` is a deliberate mistake.
    ///
    /// # Errors
    /// The rule that was broken.
    pub fn play(scenario: &Scenario, fault: Option<Fault>) -> Result<(), Violation> {
        Self::new(scenario, fault).play_steps(scenario)
    }

    /// As [`World::play`], and gives all outputs of the replicas up to the end or the first broken rule.
    pub fn observe(scenario: &Scenario, fault: Option<Fault>) -> (Vec<Observation>, Result<(), Violation>) {
        let mut world = Self::new(scenario, fault);
        world.observations = Some(Vec::new());
        let result = world.play_steps(scenario);
        (world.observations.unwrap_or_default(), result)
    }

    fn play_steps(&mut self, scenario: &Scenario) -> Result<(), Violation> {
        for index in 0..self.machines.len() {
            self.start(index, index < scenario.founders)?;
        }
        for (index, step) in scenario.steps.iter().enumerate() {
            self.step(index + 1, *step)?;
        }
        Ok(())
    }

    fn new(scenario: &Scenario, fault: Option<Fault>) -> Self {
        let count = scenario.founders + scenario.spares;
        Self {
            now: Duration::ZERO,
            random: SmallRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            order: 0,
            machines: (0..count).map(Machine::new).collect(),
            founders: scenario.founders,
            network: Network::new(),
            history: History::default(),
            changes: Vec::new(),
            fault,
            next_entry: 0,
            observations: None,
        }
    }

    fn step(&mut self, number: usize, step: Step) -> Result<(), Violation> {
        match step {
            Step::Append(at) => self.append(at, Command::Append),
            Step::Appends { at, count, every } => (0..count).try_for_each(|_| {
                self.append(at, Command::Append)?;
                self.run(Duration::from_millis(every))
            }),
            Step::AppendIfEven(at) => self.append(at, Command::AppendIfEven),
            Step::Ensure(at) => {
                let entry = FIRST_ENSURED + self.random.random_range(0..ENSURED);
                self.propose(at, Command::Ensure(entry))
            }
            Step::Read(at) => self.request(at, None, |request, deadline| Input::Read { request, deadline }),
            Step::Replace { old, new, via } => {
                self.change_members(via, vec![node_of(old)], Some(node_of(new)))
            }
            Step::Grow { new, via } => self.change_members(via, Vec::new(), Some(node_of(new))),
            Step::Leave { old, via } => self.change_members(via, vec![node_of(old)], None),
            Step::Wait(time) => self.run(Duration::from_millis(time)),
            Step::Start(at) => self.start(at, false),
            Step::Thaw(at) => self.thaw(at),
            Step::Work(at) => self.repair_disk(at),
            Step::Quiesce => self.quiesce(),
            Step::Expect(at, expected) => self.expect(number, at, expected),
            _ => {
                self.apply_fault(step);
                Ok(())
            }
        }
    }

    /// Steps that only do harm.
    fn apply_fault(&mut self, step: Step) {
        match step {
            Step::Kill(at) => self.machines[at].kill(&mut self.random),
            Step::Power(at) => self.machines[at].lose_power(&mut self.random),
            Step::Wipe(at) if self.can_lose_disk(at) => self.machines[at].lose_disk(&mut self.random),
            Step::Retire(at) if self.can_lose_disk(at) => {
                self.machines[at].lose_disk(&mut self.random);
                self.machines[at].retired = true;
            }
            Step::Freeze(at) => self.machines[at].frozen = self.machines[at].replica.is_some(),
            Step::Cut(from, to) => self.network.block_link(from, to),
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
            Step::Delay(time) => self.network.longest_delay = Duration::from_millis(time),
            Step::Slow(at, time) => self.machines[at].disk.longest_write = Duration::from_millis(time),
            Step::Stall(at) => self.machines[at].disk.stalled = true,
            Step::Full(at) => self.machines[at].disk.directory.rejects_writes = true,
            _ => {}
        }
    }

    /// Cuts all links between the machines of a set and the others, and no further ones.
    fn partition(&mut self, set: Machines) {
        self.network.heal();
        for from in 0..self.machines.len() {
            for to in (0..self.machines.len()).filter(|to| set.contains(from) != set.contains(*to)) {
                self.network.block_link(from, to);
            }
        }
    }

    pub(super) fn start(&mut self, at: MachineIndex, bootstrap: bool) -> Result<(), Violation> {
        let seeds = (0..self.founders).map(node_of).collect();
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

    pub(super) fn thaw(&mut self, at: MachineIndex) -> Result<(), Violation> {
        self.machines[at].frozen = false;
        let backlog = std::mem::take(&mut self.machines[at].backlog);
        for event in backlog {
            self.deliver(at, event)?;
        }
        Ok(())
    }

    pub(super) fn repair_disk(&mut self, at: MachineIndex) -> Result<(), Violation> {
        let stalled = self.machines[at].disk.stalled;
        self.machines[at].disk.repair();
        let (incarnation, write) = (self.machines[at].incarnation, self.machines[at].disk.write.as_ref());
        match write.map(|write| write.token).filter(|_| stalled) {
            Some(token) => self.deliver(at, Event::Written { incarnation, token }),
            None => Ok(()),
        }
    }

    fn append(&mut self, at: MachineIndex, command: impl Fn(u32) -> Command) -> Result<(), Violation> {
        self.next_entry += 1;
        self.propose(at, command(self.next_entry))
    }

    fn propose(&mut self, at: MachineIndex, command: Command) -> Result<(), Violation> {
        let input = |request, deadline| Input::Propose { request, command: command.encode(), deadline };
        self.request(at, Some(command), input)
    }

    /// Asks for a change of members, unless too many of the new ones could be without a disk.
    fn change_members(
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

    /// Makes a request at a machine, if its process runs.
    fn request(
        &mut self,
        at: MachineIndex,
        command: Option<Command>,
        input: impl FnOnce(u64, Duration) -> Input,
    ) -> Result<(), Violation> {
        self.request_until(at, command, self.now + DEADLINE, input)
    }

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

    fn input(&mut self, at: MachineIndex, input: Input) -> Result<(), Violation> {
        let now = self.now;
        if let Some(replica) = &mut self.machines[at].replica {
            replica.handle(now, input);
        }
        self.flush(at)
    }

    fn deliver(&mut self, at: MachineIndex, event: Event) -> Result<(), Violation> {
        self.machines[at].receive(self.now, event)?;
        self.flush(at)
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while self.events.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(next.at);
            self.deliver(next.machine, next.event)?;
        }
        self.now = end;
        Ok(())
    }

    fn schedule(&mut self, at: Duration, machine: MachineIndex, event: Event) {
        self.order += 1;
        self.events.push(Reverse(Scheduled { at, order: self.order, machine, event }));
    }

    /// Carries out what a process ordered.
    fn flush(&mut self, at: MachineIndex) -> Result<(), Violation> {
        while let Some(output) = self.machines[at].poll_output() {
            if let Some(observations) = &mut self.observations {
                observations.push(Observation { at: self.now, machine: at, output: output.clone() });
            }
            match output {
                Output::Send { to, message } => {
                    let bytes = message.encode().map_err(|_| Violation::Message(at))?;
                    self.send(at, index_of(to), &bytes);
                }
                Output::Persist { token, record } => self.write(at, token, &record)?,
                Output::Done { request, outcome } => self.history.record_answer(request, outcome)?,
                Output::Committed { value } => {
                    self.machines[at].record_committed(value.revision)?;
                    self.history.record_committed(&value)?;
                }
            }
        }
        self.set_timer(at);
        Ok(())
    }

    fn send(&mut self, from: MachineIndex, to: MachineIndex, bytes: &[u8]) {
        for delay in self.network.delivery_delays(from, to, &mut self.random) {
            let event = Event::Message { from, bytes: bytes.to_vec() };
            self.schedule(self.now + delay, to, event);
        }
    }

    fn write(&mut self, at: MachineIndex, token: u64, record: &Record) -> Result<(), Violation> {
        let bytes = record.encode().map_err(|_| Violation::Record(at))?;
        let machine = &mut self.machines[at];
        machine.disk.write = Some(super::disk::Write { token, bytes });
        let time = machine.disk.longest_write.mul_f64(self.random.random::<f64>());
        let incarnation = machine.incarnation;
        self.schedule(self.now + time, at, Event::Written { incarnation, token });
        Ok(())
    }

    fn set_timer(&mut self, at: MachineIndex) {
        let machine = &mut self.machines[at];
        let wake = machine.replica.as_ref().and_then(crate::register::Replica::next_wake);
        let Some(wake) = wake.filter(|wake| machine.wake_at != Some(*wake)) else {
            return;
        };
        machine.wake_at = Some(wake);
        let event = Event::Wake { incarnation: machine.incarnation, at: wake };
        self.schedule(wake.max(self.now), at, event);
    }
}
