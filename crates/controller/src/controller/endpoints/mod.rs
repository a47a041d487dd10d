//! Registrations of endpoints: merged, acknowledged, expired; and loads that are accepted and not yet visible.

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
