//! What a process has used so far.

use crate::Outcome;
use std::fs::read_to_string;

/// Ticks a second in which the system counts processor time.
const TICKS_PER_S: f64 = 100.0;
/// Place of the user and system time behind the name in a line of `stat`.
const USER_TIME: usize = 11;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    pub cpu_s: f64,
    pub resident_mb: f64,
    pub peak_mb: f64,
}

impl Usage {
    /// Of the process `id`, now.
    pub fn of(id: u32) -> Outcome<Self> {
        let stat = read_to_string(format!("/proc/{id}/stat"))?;
        let (_, fields) = stat.rsplit_once(')').ok_or("no name in stat")?;
        let times = fields.split_whitespace().skip(USER_TIME).take(2);
        let ticks: f64 = times.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        let status = read_to_string(format!("/proc/{id}/status"))?;
        let megabytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1e3
        };
        Ok(Usage {
            cpu_s: ticks / TICKS_PER_S,
            resident_mb: megabytes("VmRSS:"),
            peak_mb: megabytes("VmHWM:"),
        })
    }
}
