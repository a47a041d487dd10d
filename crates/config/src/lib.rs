//! The documents that every lanegate process shares: the settings file of a process, the operator's
//! configuration and the registrations of endpoints.

pub mod configuration;
pub mod control_state;
pub mod demand;
pub mod feed;
pub mod findings;
pub mod instance;
mod lenient;
pub mod mechanism;
pub mod routes;
pub mod settings;
