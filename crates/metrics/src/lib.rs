//! Metrics of a process, as text in the Prometheus exposition format (version 0.0.4).
//!
//! The crate has no state: a role keeps plain counters in its own state and fills an [`Exposition`] from them at
//! each scrape. [`MetricsEndpoint`] answers scrapes over HTTP; [`Scrapes`] passes them to the task that owns the
//! state. Names and labels are read by dashboards and never change.

mod endpoint;
mod exposition;
mod metric;
mod process;
mod scrapes;

pub use endpoint::{METRICS_PATH, MetricsAddress, MetricsEndpoint};
pub use exposition::Exposition;
pub use metric::{Kind, Metric, Value};
pub use process::ProcessIdentity;
pub use scrapes::{Scrape, Scrapes};
