//! Documents and messages that all lanegate processes share.
//!
//! | module | document |
//! |---|---|
//! | [`settings`] | the settings file of a process (YAML) |
//! | [`configuration`] | the operator's configuration (JSON): routes, services, limits; patches and validation |
//! | [`control_state`] | the replicated register that stores the configuration, and its compare-and-set |
//! | [`instance`] | registrations of endpoints, as sent in heartbeats |
//! | [`demand`] | demand reports of routers |
//! | [`feed`] | events that a router receives from the control plane |
//! | [`routes`] | the route table, built from a configuration |
//!
//! # Invariants
//!
//! - The text of a configuration is stored and returned byte for byte.
//! - Parsing reports all errors at once, each with its location ([`findings`]).
//! - [`control_state::apply`] is a pure function: every replica computes the same result.
//! - Names of fields are read by operators, endpoints and other releases, and never change; `tests/golden.rs` pins them.
//!
//! # Tests
//!
//! Properties are checked against simple models (`tests/*_model.rs`, `tests/routes.rs`), the rest by examples.

pub mod configuration;
pub mod control_state;
pub mod demand;
pub mod feed;
pub mod findings;
pub mod instance;
mod lenient;
pub mod mechanism;
pub mod routes;
pub mod settings;
