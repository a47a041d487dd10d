//! What lasts: the one place that writes it. Segments of checked records, pages that are replaced whole, and the
//! lock, on a disk that may fail at any call and lose or spoil what it held. `docs/recovery.md` tells the form
//! byte by byte.

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

/// What a record outlasts once something depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The process, however it ends. Nothing is synced.
    #[default]
    Process,
    /// A loss of power too.
    Power,
}

impl Durability {
    pub fn syncs(self) -> bool {
        self == Durability::Power
    }
}
