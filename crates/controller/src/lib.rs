//! The control plane of lanegate: the controller process, and the agent that keeps a router fed.
//!
//! A *controller* replicates the configuration and the epochs of service shards with its peers (CASPaxos registers of
//! `lanegate-coordination`), registers endpoints, places models under a lease per shard, and publishes a feed. An
//! *agent* runs on the machine of each router, subscribes to two trusted controllers and forwards the merged feed over
//! loopback. The router reads it through [`feed_client()`].
//!
//! # Invariants
//! - The committed revision that a controller, an agent or a router uses never decreases.
//! - A controller that is not in contact with a majority of the configuration's group is not trusted: it acknowledges
//!   no heartbeat, sends no order, and its feed reports the lost quorum contact.
//! - A drain or a deregistration is acknowledged only once a majority of every replica group in force has stored it.
//! - Orders to endpoints carry the epoch of the lease as a fencing token, which rises with every tenure.
//!
//! # Code structure
//! [`message`] defines all messages that are sent over links. In [`controller`], `event_loop.rs` handles one event at a time;
//! each of its directories covers one concern (`consensus`, `membership`, `endpoints`, `placement`, `operator`, `feed`).
//! The state machines never block and read no clock: time, links and storage are behind the
//! `Environment` trait. [`agent`] is structured in the same way; [`view`] merges feeds for both agent and router.
//!
//! # Tests
//! `simulation` runs complete control planes in simulated time, from scenario files (`tests/scenarios`) or from a
//! seed (`tests/controller_schedules.rs`), and checks at every step what operators, endpoints and routers observe.
//! `tests/behaviour_digests.rs` and `tests/golden_messages.rs` detect changes of behaviour and of the encoding of messages.

pub mod agent;
pub mod configuration_feed;
pub mod controller;
pub mod feed_client;
mod incarnation;
pub mod link;
pub mod message;
pub mod registration;
#[doc(hidden)]
pub mod simulation;
pub mod subscription;
pub mod view;

pub use agent::run_agent;
pub use controller::run_controller;
pub use feed_client::feed_client;
