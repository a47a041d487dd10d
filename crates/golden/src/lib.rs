//! Committed data that tests compare with: digests of what a simulated run does, and the bytes of messages and stored
//! records.
//!
//! A file has one entry a line: a name, a space, and a value in hexadecimal. An entry that differs, is missing, is not
//! produced any more or stands elsewhere fails the test that compares, by its name. `UPDATE_GOLDEN=1` writes the files instead, for a change
//! that is meant to change them; a test that compares nothing in that run says so by passing.
//!
//! Only tests depend on this crate. [`Digest`] covers bytes that the caller encodes by hand, so that a digest does not
//! change with the name of a Rust item.

mod digest;
mod file;

pub use digest::Digest;
pub use file::{assert_bytes, assert_digests, committed_bytes};
