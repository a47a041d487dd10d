//! Control state that a majority agrees on: the registers of the shards, contact with their replica groups, and how
//! many failures the groups can still bear.

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
