//! The decisions of a router, without I/O: which endpoint a request goes to, when it leaves, when it is
//! tried again and when it is refused. Time and chance are passed in.
//!
//! [`dispatcher`] is the state machine. What it decides by: [`endpoints`] from the feed, their [`load`] and
//! [`health`], what is learned of a [`service`], the [`choice`] among candidates, Fair-EDF [`admission`] and
//! the retry [`budget`].

pub mod admission;
pub mod budget;
pub mod candidate;
mod client_timeout;
pub mod demand;
pub mod dispatcher;
pub mod endpoint_selection;
pub mod endpoints;
pub mod engine_priority;
pub mod estimate;
pub mod fleet;
pub mod health;
pub mod interface;
pub mod load;
pub mod pending_request;
pub mod prefix;
pub mod rendezvous;
pub mod service;
pub mod settings;
pub mod summary;
mod timer_queue;
mod units;

pub use dispatcher::Dispatcher;
pub use settings::DispatchSettings;
pub use summary::DispatchSummary;
