//! The control plane of lanegate: the controller process, and the agent that keeps a router fed.
//!
//! A *controller* replicates the configuration and the epochs of service shards with its peers (CASPaxos registers of
//! `lanegate-coordination`), registers endpoints, places models under a lease per shard, and publishes a feed. An
//! *agent* runs beside each router, follows two trusted controllers and passes the merged feed on over loopback. The
//! router reads it through [`feed_client()`].
//!
//! # Invariants
//! - The committed revision that a controller, an agent or a router uses never goes back.
//! - A controller that is not in contact with a majority of the configuration's group is not trusted: it acknowledges
//!   no heartbeat, gives no order, and its feed says so.
//! - A drain or a deregistration is acknowledged only once a majority of every group in force has it.
//! - Orders to endpoints carry the epoch of the lease as a fencing token, which rises with every tenure.
//!
//! # Where to begin
//! [`message`] has everything that goes over a link. In [`controller`], `event_loop.rs` handles one event at a time;
//! its directories hold one concern each (`consensus`, `membership`, `endpoints`, `placement`, `operator`, `feed`).
//! State machines there wait for nothing and read no clock: what they need from the outside is behind the
//! `Environment` trait. [`agent`] has the same shape; [`view`] merges feeds for both agent and router.
//!
//! # Tests
//! `simulation` plays complete control planes in simulated time, from written scenarios (`tests/scenarios`) or from a
//! seed (`tests/controller_schedules.rs`), and checks at every step what operators, endpoints and routers observe.
//! `tests/behaviour_digests.rs` and `tests/golden_messages.rs` pin behaviour and bytes.

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
