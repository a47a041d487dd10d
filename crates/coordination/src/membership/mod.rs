//! Membership: which processes are live, and which peers each process monitors.
//!
//! The caller passes the addresses of all processes to the [`FailureDetector`]. Rendezvous hashing assigns each
//! process a few monitors, to which it sends heartbeats; a monitor suspects a peer after an adaptive timeout, which
//! follows the mean and deviation of the gaps between its heartbeats. No clock is read here: time is the reading
//! of the caller's monotonic clock, counted from any fixed origin.

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
