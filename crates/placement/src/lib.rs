//! Decides which endpoint of a service has which model and adapter resident.
//!
//! One [`Placer`] places the models of one service. It runs in the controller that holds the lease of the service's
//! shard. The crate does no I/O: the caller passes the time and a seed, and executes the [`Action`]s that the placer
//! returns. The same inputs give the same actions; `tests/digests.rs` checks this for 240 random runs.
//!
//! # Invariants
//!
//! - An endpoint has at most one order in flight, and no order is sent to one that drains.
//! - No order exceeds the memory or the adapter limit of its endpoint, even while registrations or reports are delayed
//!   (`endpoint`). Before an order is sent, `guard` checks this again from its own records.
//! - Loads from the weight store stay below the rate limit, also over takeovers (`load_limiter`).
//! - The last replica of a model that is in demand is not evicted.
//!
//! # Where to begin
//!
//! `placer` takes the inputs. `planning` turns demand and contents into orders. Its parts are
//!
//! - `planning_view`: the state of the service in one planning round;
//! - `demand_table` and `replica_target`: how many replicas an item should have;
//! - `desired_replica`: which models need another replica;
//! - `model_placement` and `adapter_placement`: the endpoint of a replica;
//! - `eviction`: which models are evicted to free memory for it.
//!
//! `in_flight` tracks an order after it is sent, and `order_completion` ends it.
//!
//! # Tests
//!
//! `tests/any_order.rs` checks the invariants under random demand and faults, `tests/scenarios` holds scenarios as text
//! files, and `tests/orders.rs` and `tests/delayed_reports.rs` test orders whose outcome is unknown.

mod adapter_placement;
mod catalog;
mod contents;
mod demand_rate;
mod demand_table;
mod desired_replica;
mod drain_time;
#[cfg(test)]
mod drain_time_test;
mod endpoint;
mod eviction;
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
mod removed_incarnations;
mod rendezvous;
mod replica_target;
#[cfg(test)]
mod replica_target_test;
mod settings;
mod violation;

pub use interface::{Action, EndpointReport, Item, Operation, Order, OrderAnswer, OrderId, PendingLoad};
pub use placer::Placer;
pub use settings::{PlacerSettings, StartMode};
pub use violation::{InvariantViolations, Violation};
