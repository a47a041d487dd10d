//! The routing decisions of a router: which endpoint gets a request and when, whether it is retried, and when it is
//! refused.
//!
//! The crate does no I/O and reads no clock. The caller passes the time to each call, carries out the
//! [`Decision`](interface::Decision)s and reports their results. Randomness comes from a seed. The same calls
//! therefore lead to the same decisions.
//!
//! # Invariants
//!
//! - Each request has exactly one end: a complete answer, a cancellation, a refusal or a failure.
//! - A request that may have run is never refused, and it is retried only if it may run twice.
//! - A request is sent to at most as many endpoints as its route allows.
//! - The retries of all routers together stay within the shared [`budget`].
//!
//! # Where to begin
//!
//! [`interface`] has the types that go in and out. [`dispatcher`] is the state machine; its submodules have one concern
//! each (assignment, queueing, sending, the end of attempts, timers). It decides by
//!
//! - [`endpoints`] and [`fleet`]: the endpoints from the feed, with the [`load`] and [`health`] of each;
//! - [`service`] and [`estimate`]: what is learned about a service from its answers;
//! - [`endpoint_selection`]: which candidate gets a request, by the cost that `scoring` gives to each;
//! - [`admission`]: Fair-EDF timelines of the queued requests;
//! - [`prefix`] and [`rendezvous`]: affinity of prompts to the engines that have cached their prefix.
//!
//! # Tests
//!
//! `tests/scenarios/*.txt` are short scripts of events and expected decisions. `tests/invariants.rs` checks random
//! histories, `tests/fleet.rs` simulates whole fleets, and `tests/digests.rs` compares all decisions of both simulations
//! with committed digests.

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
mod scoring;
pub mod service;
pub mod settings;
pub mod summary;
mod timer_queue;
mod units;

pub use dispatcher::Dispatcher;
pub use settings::DispatchSettings;
pub use summary::DispatchSummary;
