//! The figures of a process, as text in the Prometheus exposition format (version 0.0.4).
//!
//! Nothing is kept here: a role keeps plain counters where it works and fills an [`Exposition`] from its state
//! when it is asked. [`MetricsEndpoint`] asks, renders and answers.

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
