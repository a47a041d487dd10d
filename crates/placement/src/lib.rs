//! Decides which endpoint of a service holds which model and adapter.
//!
//! Nothing here does I/O: time and seed are passed in, and what is to be done comes out as [`Action`]s.
//! One [`Placer`] stands for one service with a runtime and is run by the holder of that service's lease.

mod adapters;
mod answers;
mod catalog;
mod contents;
mod drain;
#[cfg(test)]
mod drain_test;
mod endpoint;
mod guard;
#[cfg(test)]
mod guard_test;
mod interface;
mod models;
mod need;
#[cfg(test)]
mod need_test;
mod order_log;
mod placer;
mod planning;
mod rate;
mod settings;
mod store;
#[cfg(test)]
mod store_test;
mod underway;
mod view;
#[cfg(test)]
mod view_test;

pub use guard::{InvariantViolations, Violation};
pub use interface::{Action, EndpointReport, Item, Operation, Order, OrderAnswer, OrderId, PendingLoad};
pub use placer::Placer;
pub use settings::{PlacerSettings, Start};
