//! Registers in simulated time: network, disks, processes and machines that fail on command.
//!
//! A [`Scenario`] is a list of steps, written by hand as text or drawn from a seed. [`World::play`] plays it and
//! checks at every step that no revision has two values, that nothing acknowledged is lost or done twice, that
//! reads are linearizable and that no replica learns backwards. Everything follows from the seed.

mod append;
mod disk;
mod expectations;
mod fault_tolerance;
mod history;
mod machine;
mod network;
mod scenario;
mod schedule;
mod step;
mod world;

pub use append::{Append, Command};
pub use history::Violation;
pub use scenario::{ParseError, Scenario};
pub use schedule::{random_scenario, shrink};
pub use step::{Expectation, MachineIndex, Machines, Step, UnknownStep};
pub use world::{Observation, World};
