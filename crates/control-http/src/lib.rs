//! HTTP/1.1 of the control interface: a small server and a small client, both on one thread.
//!
//! Every caller of this interface is known and well behaved, but machines freeze and links are cut: bodies that
//! end early are told apart from whole ones, stalled callers are let go, and a call that got no answer says
//! whether it may have been carried out. Why this is built on `hyper`: `docs/findings/async-h1.md`.

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
