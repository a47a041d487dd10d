//! Leases: a role of which at most one holder acts, fenced by an epoch.
//!
//! A candidate asks every member of a group for a grant. A majority of grants lets it act until a time that it
//! measures from before it asked; a member that granted gives nothing to another life until that time and a
//! quiet period have passed on its own clock. Between the last act of one holder and the first act of the next
//! lies at least the quiet period, whatever the network does, as long as monotonic clocks run at nearly the
//! same rate. Every tenure acts under an epoch of its own, which the caller takes from a replicated register.
//!
//! A life of a process is a holder of its own: a restarted process waits like any other candidate. No clock is
//! read here: time is the reading of the caller's monotonic clock, counted from any fixed origin.

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
