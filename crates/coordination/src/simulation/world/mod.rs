//! The simulated world: time, events, network and machines.
//!
//! This file has the state and the event loop; the other files of this folder execute the steps of a scenario, make
//! requests, drive the replicas and check what a scenario expects.

mod driver;
mod expectations;
mod fault_tolerance;
mod requests;
mod steps;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::event_queue::EventQueue;
use super::history::History;
use super::machine::Machine;
use super::network::Network;
use super::scenario::Scenario;
use super::step::MachineIndex;
use super::violation::Violation;
use crate::register::{Fault, Output};
use fault_tolerance::RequestedMembershipChange;

/// An output of a replica.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Simulated time.
    pub at: Duration,
    /// The machine of the replica.
    pub machine: MachineIndex,
    /// The output.
    pub output: Output,
}

/// The simulated machines, network and time.
pub struct World {
    now: Duration,
    random: SmallRng,
    events: EventQueue,
    machines: Vec<Machine>,
    bootstrap_members: usize,
    network: Network,
    history: History,
    /// Membership changes that were requested.
    changes: Vec<RequestedMembershipChange>,
    fault: Option<Fault>,
    /// The last number that a request used.
    next_entry: u32,
    /// All outputs of the replicas, if they are to be recorded.
    observations: Option<Vec<Observation>>,
}

impl World {
    /// Plays a scenario to its end or to the first violation; `fault` is a defect that is switched on.
    ///
    /// # Errors
    /// The rule that was violated.
    pub fn play(scenario: &Scenario, fault: Option<Fault>) -> Result<(), Violation> {
        Self::new(scenario, fault).play_steps(scenario)
    }

    /// As [`World::play`]; also returns all outputs of the replicas up to the end or the first violation.
    pub fn observe(scenario: &Scenario, fault: Option<Fault>) -> (Vec<Observation>, Result<(), Violation>) {
        let mut world = Self::new(scenario, fault);
        world.observations = Some(Vec::new());
        let result = world.play_steps(scenario);
        (world.observations.unwrap_or_default(), result)
    }

    fn play_steps(&mut self, scenario: &Scenario) -> Result<(), Violation> {
        for index in 0..self.machines.len() {
            self.start(index, index < scenario.bootstrap_members)?;
        }
        for (index, step) in scenario.steps.iter().enumerate() {
            self.step(index + 1, *step)?;
        }
        Ok(())
    }

    fn new(scenario: &Scenario, fault: Option<Fault>) -> Self {
        let count = scenario.bootstrap_members + scenario.spares;
        Self {
            now: Duration::ZERO,
            random: SmallRng::seed_from_u64(scenario.seed),
            events: EventQueue::default(),
            machines: (0..count).map(Machine::new).collect(),
            bootstrap_members: scenario.bootstrap_members,
            network: Network::new(),
            history: History::default(),
            changes: Vec::new(),
            fault,
            next_entry: 0,
            observations: None,
        }
    }

    /// Advances the time and delivers all events that become due.
    fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while let Some(next) = self.events.pop_due(end) {
            self.now = self.now.max(next.at);
            self.deliver(next.machine, next.event)?;
        }
        self.now = end;
        Ok(())
    }
}
