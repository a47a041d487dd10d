//! The data plane: accepts clients, selects an endpoint for each request and forwards the answer.
//!
//! Everything here is I/O on a single thread. The dispatcher of `lanegate-dispatch` decides which endpoint gets a request and
//! when. This crate executes its decisions and reports their results.
//!
//! # Invariants
//!
//! - Each request has exactly one [`outcome`].
//! - An answer reaches a client only if its `Attempt-Id` is that of the request ([`verify`], [`late_responses`]).
//! - A request that may have run is sent again only if its route allows that, and never on a connection on which it was sent
//!   before ([`attempt`], [`pool`]).
//! - An incomplete answer never looks complete to the client ([`stream`], [`activity`]).
//!
//! # Where to begin
//!
//! The way of a request: [`listener`] accepts the connection, [`frontend`] reads the request, finds its route ([`routing`],
//! [`traffic_split`]) and submits it through a [`request_handle`]. The dispatcher's decisions arrive in its [`mailbox`].
//! [`forward`] executes them: [`attempt`] sends the request on a connection of the [`pool`], [`stream`] forwards the body, and
//! [`resume`] continues a broken stream elsewhere. [`state`] is what all tasks share; [`run`] assembles everything.
//!
//! # Tests
//!
//! `tests/common` runs a router on real sockets between clients and endpoints whose every byte the test writes.
//! `tests/byte_streams.rs` runs random exchanges and checks that each mutation of the router is detected.
//! `tests/golden.rs` compares the written bytes with committed files.

pub mod aborted_requests;
pub mod activity;
pub mod attempt;
pub mod body;
pub mod chunk_scanner;
pub mod configuration_wait;
pub mod connection;
pub mod counters;
pub mod endpoint_answer;
pub mod event_splitter;
#[doc(hidden)]
pub mod fault;
pub mod forward;
pub mod frontend;
pub mod headers;
pub mod late_responses;
pub mod lease;
pub mod listener;
pub mod local_reply;
pub mod mailbox;
pub mod maintenance;
pub mod metrics;
pub mod open_request;
pub mod outbound;
pub mod outcome;
pub mod pool;
pub mod readiness;
pub mod request_handle;
pub mod resume;
pub mod routing;
pub mod run;
mod shared_stream;
pub mod shutdown;
pub mod signals;
pub mod state;
pub mod stream;
pub mod traffic_split;
pub mod verify;

#[doc(hidden)]
pub use run::run_with_fault;
pub use run::{RouterError, run, run_on};
