//! Registers in simulated time: network, disks, processes and machines that fail on command.
//!
//! A [`Scenario`] is a list of steps, written by hand as text or drawn from a seed. [`World::play`] plays it and
//! checks at every step that no revision has two values, that nothing acknowledged is lost or done twice, that
//! reads are linearizable and that no replica learns backwards. Everything follows from the seed.

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
pub use shrink::shrink;
pub use step::{Expectation, MachineIndex, Machines, Step, UnknownStep};
pub use violation::Violation;
pub use world::{Observation, World};
