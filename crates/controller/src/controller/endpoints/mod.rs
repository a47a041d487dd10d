//! Registrations of endpoints (merging, acknowledgement, expiry, relay), and model loads that endpoints have accepted
//! but not reported yet.

pub(super) mod acknowledgements;
pub(super) mod expiry;
pub(super) mod pending_loads;
#[cfg(test)]
mod pending_loads_test;
pub(super) mod registry;
#[cfg(test)]
mod registry_test;
pub(super) mod relay;
#[cfg(test)]
mod relay_test;
pub(super) mod tombstone_log;
#[cfg(test)]
mod tombstone_log_test;
