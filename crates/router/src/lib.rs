//! The data plane: accepts clients, picks an endpoint for each request and streams the answer back.
//!
//! Everything here is I/O on one thread. Which request goes where and when is decided by the dispatcher of
//! `lanegate-dispatch`; this crate carries its decisions out and reports what became of them.

pub mod aborted_requests;
pub mod activity;
pub mod attempt;
pub mod body;
pub mod chunk_scanner;
pub mod configuration_wait;
pub mod connection;
pub mod counters;
pub mod event_splitter;
#[doc(hidden)]
pub mod fault;
pub mod forward;
pub mod frontend;
pub mod headers;
pub mod late_responses;
pub mod listener;
pub mod local_reply;
pub mod mailbox;
pub mod maintenance;
pub mod metrics;
pub mod open_request;
pub mod outcome;
pub mod pool;
pub mod readiness;
pub mod request_handle;
pub mod resume;
pub mod routing;
pub mod run;
pub mod shutdown;
pub mod signals;
pub mod state;
pub mod stream;
pub mod traffic_split;
pub mod verify;

#[doc(hidden)]
pub use run::run_with_fault;
pub use run::{RouterError, run, run_on};
