//! HTTP/1.1 of the control interface: a small server and a small client, both on one thread.
//!
//! Clients of this interface are trusted, but machines freeze and links are partitioned. Therefore truncated bodies
//! are distinguished from complete ones, stalled clients are disconnected, and a failed call says whether it may have
//! been executed. Why this is built on `hyper`: `docs/findings/async-h1.md`.
//!
//! Begin with [`serve`] (server) and [`ClientConnection`] (client). Tests: `tests/connection.rs` sends raw bytes
//! to one connection, `tests/server_and_client.rs` uses sockets, `tests/system_calls.rs` bounds the system calls
//! of a request.

mod activity;
mod body;
mod client;
mod connection;
mod limits;
mod message;
mod server;

pub use client::{CallError, ClientConnection, ClientRequest, ClientResponse, call};
pub use connection::serve_connection;
pub use limits::ServerLimits;
pub use message::{ContentType, ControlMethod, ControlRequest, ControlResponse, IfMatch};
pub use server::serve;
