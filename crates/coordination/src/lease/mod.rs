//! Leases: at most one process at a time acts for a shard, and each tenure has an epoch as fencing token.
//!
//! A candidate requests a grant from every member of a group. With a majority of grants it holds the lease for the
//! validity period, measured from before its requests were sent. A member that granted gives no grant to another
//! incarnation until the validity and a quiet period have passed on its own clock. So at least the quiet period
//! lies between the last action of one holder and the first action of the next, whatever the network does, as
//! long as monotonic clocks run at nearly the same rate. Every tenure has its own epoch, which the caller
//! acquires from a replicated register (Gray and Cheriton, 1989; Chubby's sequencers).
//!
//! Each incarnation of a process is a separate candidate: a restarted process waits like any other. No clock is
//! read here: time is the reading of the caller's monotonic clock, counted from any fixed origin.
//!
//! Start reading with [`LeaseNode`], then the holder, the grantor and the group.

mod grantor;
mod group;
mod holder;
mod message;
mod node;
mod round;
mod settings;

pub use grantor::{GrantorStart, LeaseGrantor};
pub use holder::{LeaseHolder, Output as HolderOutput, Tenure};
pub use message::{LeaseMessage, LeaseMessageError, LeaseRelease, LeaseReply, LeaseRequest};
pub use node::{LeaseNode, Output};
pub use settings::{LeaseSettings, LeaseSettingsError};
