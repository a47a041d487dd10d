//! The complete control plane in simulated time: controllers, agents, routers, operators and endpoints, the
//! network between them and the disks of the controllers, all in one process.
//!
//! Controllers, agents and the routers' feed clients are the production code; links, disks, clocks and calls
//! are simulated. A [`Scenario`] is a list of steps, written by hand as text or generated from a seed.
//! [`World::play`] runs it and checks at every step what operators, endpoints and routers observe. A run is
//! deterministic: it depends only on the scenario and its seed.

mod agent_environment;
mod calls;
mod change;
mod checks;
mod connection;
mod connections;
mod controller_environment;
mod controller_machine;
mod disk;
mod endpoint;
mod engine;
mod environment;
mod expectation;
mod faults;
mod history;
mod host;
mod network;
mod operator;
mod quiesce;
mod router_machine;
mod scenario;
mod schedule;
mod settings;
mod step;
mod trace;
mod violation;
mod world;

pub use expectation::{Expectation, ExpectationParseError};
pub use host::Host;
pub use scenario::{ParseError, Scenario};
pub use schedule::{random_link_scenario, random_scenario, shrink};
pub use step::{Scope, Step, StepParseError};
pub use violation::Violation;
pub use world::World;
