//! Where a request goes by the configuration in force, and the wait for the first one.

pub mod configuration_wait;
pub mod table;
pub mod traffic_split;
