//! Decides which endpoint of a service has which model and adapter resident.
//!
//! One [`Placer`] places the models of one service. It runs in the controller that holds the lease of the service's
//! shard. The crate does no I/O: time and seed are passed in, and what is to be done comes out as [`Action`]s. The same
//! inputs give the same actions, which `tests/digests.rs` pins for 240 random runs.
//!
//! # Invariants
//!
//! - An endpoint has at most one order in flight, and no order is sent to one that drains.
//! - An order never exceeds the memory or the adapter limit of its endpoint, whatever is not known at that moment
//!   (`endpoint`). The guard checks this once more, with records of its own, before an order is sent (`guard`).
//! - Loads from the weight store stay below the rate limit, also over takeovers (`load_limiter`).
//! - The last replica of a model that is in demand is not evicted.
//!
//! # Where to begin
//!
//! `placer` takes the inputs. `planning` turns demand and contents into orders: `planning_view` is what a round works
//! on, `demand_rate` and `replica_target` say how many replicas an item should have, `model_placement` and
//! `adapter_placement` choose endpoints and victims. `order_completion` and `in_flight` follow an order to its end.
//!
//! # Tests
//!
//! `tests/any_order.rs` checks the invariants under random demand and faults, `tests/scenarios` holds scenarios as text
//! files, and `tests/orders.rs` and `tests/delayed_reports.rs` play orders whose outcome is unknown.

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
