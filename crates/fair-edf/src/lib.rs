//! Fair-EDF occupancy charts, shared by the courier and the router. Pure: time comes with each call.
//!
//! [`chart`] tells which held requests can be met, [`misses`] which class gives way where they cannot,
//! [`smoothed`] what a slot time is derived from, and [`cap`] how many calls may be out at an endpoint.

pub mod cap;
pub mod chart;
pub mod misses;
mod segments;
pub mod smoothed;
pub mod varied;

pub use chart::Chart;
pub use misses::MissRatios;
pub use smoothed::{Smoothed, Smoothing};
pub use varied::VariedChart;

/// Nanoseconds on the caller's monotonic clock.
pub type Ns = i64;
