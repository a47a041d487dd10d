//! Coordination of the controllers: replicated registers, leases, membership, the endpoint registry, the change feed
//! and durable storage.
//!
//! Nothing here does input or output, except [`storage::FileDirectory`]. The caller passes in time, random numbers and
//! messages, and gets back messages to send, records to write and answers. So every part runs in a simulation as it
//! does in production, and other programs can embed it.
//!
//! | module | what it is | invariant |
//! |---|---|---|
//! | [`register`] | a replicated value, agreed on with CASPaxos | each revision has one committed value, built on the one before |
//! | [`lease`] | the right of one process to act for a shard | actions of two holders are a quiet period apart |
//! | [`membership`] | failure detector and rendezvous hashing | all processes compute the same order of nodes |
//! | [`registry`] | registrations of endpoints, merged from replicas | an ended incarnation is never registered again |
//! | [`feed`] | changes that subscribers follow by offset | a subscriber misses no change, or gets a snapshot |
//! | [`storage`] | versioned records on disk | a saved record survives a loss of power |
//! | [`simulation`] | registers under faults, in simulated time | a run is fully determined by its seed |
//!
//! Start with the documentation of [`register`], then `register/replica`, which routes every input to one of the parts.
//! [`lease::LeaseNode`] and [`membership::FailureDetector`] are the entry points of their
//! modules.
//!
//! # Tests
//!
//! `cargo test -p lanegate-coordination` runs all tests. `tests/register_schedules.rs` plays random schedules of faults
//! and checks every step, `register_faults.rs` shows that injected defects are detected, `register_model.rs` and
//! `lease_model.rs` are models for a model checker. `golden_bytes.rs` pins the bytes of messages and records, and the
//! `*_digests.rs` files pin the behaviour; their data changes only with an intended change of the protocol.

pub mod feed;
pub mod lease;
pub mod membership;
pub mod register;
pub mod registry;
pub mod simulation;
pub mod storage;
