//! Metrics that every process has.

use crate::exposition::Exposition;
use crate::metric::Metric;
use std::time::{SystemTime, UNIX_EPOCH};

const START_TIME: Metric = Metric::gauge(
    "lanegate_process_start_time_seconds",
    "Time of day at which the process started, in seconds since 1970",
);
const BUILD_INFO: Metric =
    Metric::gauge("lanegate_build_info", "Always 1; the labels name the version and the role");

/// Identity of the process whose metrics are exported.
#[derive(Debug, Clone, Copy)]
pub struct ProcessIdentity {
    role: &'static str,
    version: &'static str,
    started: SystemTime,
}

impl ProcessIdentity {
    /// A process of this role that starts now; `version` is the release of the program.
    pub fn starting(role: &'static str, version: &'static str) -> Self {
        ProcessIdentity { role, version, started: SystemTime::now() }
    }

    pub(crate) fn add_to(&self, exposition: &mut Exposition) {
        let since_epoch = self.started.duration_since(UNIX_EPOCH).unwrap_or_default();
        exposition.set(&START_TIME, since_epoch);
        let labels = [("version", self.version), ("role", self.role)];
        exposition.set_labelled(&BUILD_INFO, &labels, 1_u64);
    }
}
