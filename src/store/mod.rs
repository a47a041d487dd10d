//! Durable storage, and the only code that writes it: segments of checksummed records, pages that are
//! replaced atomically, and the lock, on a disk on which any call may fail and stored data may be lost or
//! corrupted. `docs/recovery.md` specifies the format byte by byte.

pub mod disk;
pub mod frame;
pub mod lock;
pub mod page;
pub(crate) mod safeguard;
pub mod scan;
pub mod segments;
#[cfg(test)]
pub(crate) mod simulated;
pub mod writer;

use serde::Deserialize;

/// What a record survives once an action depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The end of the process, however it ends. Nothing is synced.
    #[default]
    Process,
    /// A power loss as well.
    Power,
}

impl Durability {
    pub fn syncs(self) -> bool {
        self == Durability::Power
    }
}
