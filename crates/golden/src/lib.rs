//! Committed data that tests compare with: digests of what a simulated run does, and the bytes of messages and stored
//! records.
//!
//! A file has one entry per line: a name, a space, and a value in hexadecimal. The comparing test fails if an entry
//! differs, is missing, is new or is out of order, and names the entries that differ. With `UPDATE_GOLDEN=1` the files
//! are written instead, for a change that is meant to change them; nothing is compared in that run, so the tests pass.
//!
//! Only tests depend on this crate. The caller of [`Digest`] encodes the bytes by hand, so that a digest does not
//! change when a Rust item is renamed.

mod digest;
mod file;

pub use digest::Digest;
pub use file::{assert_bytes, assert_digests, committed_bytes};
