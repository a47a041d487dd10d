//! The data plane: accepts clients, selects an endpoint for each request and forwards the answer.
//!
//! This crate does all network I/O, on a single thread. The dispatcher of `lanegate-dispatch` decides which endpoint gets a
//! request and when; this crate carries out its decisions and reports the results back to it.
//!
//! # Invariants
//!
//! - Each request has exactly one [`request::outcome`].
//! - An answer reaches a client only if its `Attempt-Id` is that of the request ([`endpoint::verify`], [`endpoint::late_responses`]).
//! - A request that may have run is sent again only if its route allows that, and never on a connection on which it was sent
//!   before ([`endpoint::attempt`], [`endpoint::pool`]).
//! - An incomplete answer never looks complete to the client ([`request::stream`], [`client::activity`]).
//!
//! # Request path
//!
//! A request takes these steps: [`client::listener`] accepts the connection, [`client::frontend`] reads the request, finds its route ([`routing::table`],
//! [`routing::traffic_split`]) and submits it through a [`request::handle`]. The dispatcher's decisions arrive in its [`request::mailbox`].
//! [`request::forward`] executes them: [`endpoint::attempt`] sends the request on a connection of the [`endpoint::pool`], [`request::stream`] forwards the body, and
//! [`request::resume`] continues a broken stream elsewhere. [`state`] holds what all tasks share; [`process::run`] assembles everything.
//!
//! # Tests
//!
//! `tests/common` runs a router on real sockets, between clients and endpoints whose bytes the test writes directly.
//! `tests/byte_streams.rs` runs random exchanges and checks that they detect each deliberate fault of
//! [`fault`].
//! `tests/golden.rs` compares the bytes that the router writes with the committed files of `tests/golden`.

pub mod client;
pub mod endpoint;
#[doc(hidden)]
pub mod fault;
mod header_fields;
pub mod headers;
pub mod process;
pub mod request;
pub mod routing;
pub mod state;

#[doc(hidden)]
pub use process::run::run_with_fault;
pub use process::run::{RouterError, run, run_on};
