//! Replicated control state: the registers of the shards, quorum contact with their replica groups, and the number of
//! failures that the groups still tolerate.

pub(super) mod disk;
pub(super) mod fault_tolerance;
#[cfg(test)]
mod fault_tolerance_test;
pub(super) mod freshness;
#[cfg(test)]
mod freshness_test;
pub(super) mod pending_writes;
#[cfg(test)]
mod pending_writes_test;
pub(super) mod quorum_contact;
#[cfg(test)]
mod quorum_contact_test;
pub(super) mod records;
pub(super) mod registers;
pub(super) mod replica_groups;
#[cfg(test)]
mod replica_groups_test;
pub(super) mod shards;
