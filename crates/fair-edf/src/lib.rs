//! Fair-EDF occupancy charts, shared by the courier and the router. Pure: time comes with each call.
//!
//! [`timeline`] tells which held requests can be met, [`misses`] which class gives way where they cannot,
//! [`smoothed`] what a slot time is derived from, and [`concurrency_limit`] how many calls may be out at an endpoint.

pub mod concurrency_limit;
pub mod misses;
mod segments;
pub mod smoothed;
pub mod timeline;
pub mod variable_timeline;

pub use misses::MissRatios;
pub use smoothed::{Smoothed, Smoothing};
pub use timeline::Timeline;
pub use variable_timeline::VariableTimeline;

/// Nanoseconds on the caller's monotonic clock.
pub type Ns = i64;
