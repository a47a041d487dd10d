//! Stand-ins for clients.

mod exchange;
mod pool;
mod request;
mod traffic;

pub use traffic::Traffic;
