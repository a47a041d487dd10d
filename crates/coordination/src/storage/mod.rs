//! Versioned files: written aside, synced, renamed, folder synced.
//!
//! A [`VersionedStore`] keeps the newest version of one record, each version in a file of its own. It works on a
//! [`Directory`], real ([`FileDirectory`]) or simulated ([`SimulatedDirectory`]); many stores may share one.

mod directory;
mod simulated;
mod store;

pub use directory::{Directory, FileDirectory};
pub use simulated::SimulatedDirectory;
pub use store::{StoreError, VersionedStore};
