//! Routing of requests by the configuration in force, and the wait for the first configuration.

pub mod configuration_wait;
pub mod table;
pub mod traffic_split;
