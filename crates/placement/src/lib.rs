//! Decides which endpoint of a service holds which model and adapter.
//!
//! Nothing here does I/O: time and seed are passed in, and what is to be done comes out as [`Action`]s. One
//! [`Placer`] stands for one service with a runtime and is run by the host of that service's lease.

mod adapter_placement;
mod catalog;
mod contents;
mod demand_rate;
mod drain_time;
#[cfg(test)]
mod drain_time_test;
mod endpoint;
mod guard;
#[cfg(test)]
mod guard_test;
mod in_flight;
mod interface;
mod load_limiter;
#[cfg(test)]
mod load_limiter_test;
mod model_placement;
mod order_completion;
mod order_log;
mod placer;
mod planning;
mod planning_view;
#[cfg(test)]
mod planning_view_test;
mod replica_target;
#[cfg(test)]
mod replica_target_test;
mod settings;

pub use guard::{InvariantViolations, Violation};
pub use interface::{Action, EndpointReport, Item, Operation, Order, OrderAnswer, OrderId, PendingLoad};
pub use placer::Placer;
pub use settings::{PlacerSettings, Start};
