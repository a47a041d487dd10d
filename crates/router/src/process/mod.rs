//! The process: start, shutdown, periodic work, readiness, counters and metrics.

pub mod aborted_requests;
pub mod counters;
pub mod maintenance;
pub mod metrics;
pub mod readiness;
pub mod run;
pub mod shutdown;
pub mod signals;
