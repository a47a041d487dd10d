//! The courier: accepts messages and delivers them to endpoints of their destinations. For each message it
//! decides whether to queue it, send it to an endpoint, refuse it or report it as failed.
//!
//! [`scheduler`] makes all these decisions, [`interface`] defines its inputs and outputs, [`node`] is the
//! deployed courier, and [`wire`] translates to the simulator's line protocol. A program can embed
//! [`scheduler::Scheduler`] directly and does not need `wire`; `examples/embed.rs` shows how.

pub mod interface;
pub mod node;
pub mod scheduler;
pub mod settings;
mod state;
pub mod store;
pub mod wire;
mod zones;
