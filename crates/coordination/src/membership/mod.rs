//! Membership: who is live, and whom each process monitors.
//!
//! A process learns the addresses of its peers from elsewhere and hands them to [`FailureDetector`]. Rendezvous
//! hashing gives each process a small set of peers to monitor; heartbeats feed a detector with an adaptive
//! timeout for each of them. No clock is read here: time is the reading of the caller's monotonic clock,
//! counted from any fixed origin.

mod detector;
mod hash;
mod heartbeat;
mod node;
mod peer;
mod rendezvous;
mod settings;

pub use detector::{FailureDetector, Output, PeerState};
pub use hash::stable_hash;
pub use heartbeat::{Heartbeat, HeartbeatError};
pub use node::NodeId;
pub use rendezvous::{monitored_peers, monitors_of, rendezvous_order};
pub use settings::MembershipSettings;
