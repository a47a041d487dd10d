//! Fair-EDF admission control, shared by the courier and the router. No I/O and no clock: the caller passes the time.
//!
//! A timeline has one slot for each queued request of an endpoint; each slot ends at the due time of its request or earlier.
//! The endpoint is overloaded when the first slot would have to start before now. Then one request is refused or postponed.
//!
//! - [`timeline`] and [`variable_timeline`]: which queued requests can be met, with equal and with different slot times;
//! - [`miss_ratio`]: the class of which a request is refused or postponed when some cannot be met;
//! - [`smoothed`]: the mean times from which slot times are derived;
//! - [`concurrency_limit`]: how many calls to an endpoint may be in flight.
//!
//! Invariant: the segments of a timeline are the latest schedule that meets all due times. `tests/timeline.rs` checks it
//! against exhaustive search, with random requests.

pub mod concurrency_limit;
pub mod miss_ratio;
mod segments;
pub mod smoothed;
pub mod timeline;
pub mod variable_timeline;

pub use miss_ratio::MissRatios;
pub use smoothed::{Smoothed, Smoothing};
pub use timeline::Timeline;
pub use variable_timeline::VariableTimeline;

/// Nanoseconds on the caller's monotonic clock.
pub type Ns = i64;
