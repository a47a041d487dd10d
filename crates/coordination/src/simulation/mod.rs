//! Registers under injected faults of network, disks, processes and machines, in simulated time.
//!
//! A [`Scenario`] is a list of steps, written by hand as text or drawn from a seed ([`random_scenario`]).
//! [`World::play`] plays it and checks at every step that no revision has two values, that no acknowledged change
//! is lost or applied twice, that reads are linearizable and that no replica learns an older value than before;
//! a [`Violation`] is the error. A run is fully determined by the scenario and its seed.

mod append;
mod disk;
mod event_queue;
mod history;
mod machine;
mod network;
mod scenario;
mod schedule;
mod shrink;
mod step;
mod violation;
mod world;

pub use append::{Append, Command};
pub use scenario::{ParseError, Scenario};
pub use schedule::random_scenario;
pub use shrink::{shrink, shrink_steps};
pub use step::{Expectation, MachineIndex, Machines, Step, UnknownStep};
pub use violation::Violation;
pub use world::{Observation, World};
