//! Durable storage of records: each version in a file of its own, written under a temporary name, synced, renamed,
//! and the directory synced.
//!
//! A [`VersionedStore`] retains the newest versions of one record. It writes to a [`Directory`], which is real
//! ([`FileDirectory`]) or simulated ([`SimulatedDirectory`]); many stores may share one directory.

mod directory;
mod file_format;
mod simulated;
mod store;

pub use directory::{Directory, FileDirectory};
pub use simulated::SimulatedDirectory;
pub use store::{StoreError, VersionedStore};
