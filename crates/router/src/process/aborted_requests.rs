//! Counters of the requests that shutdown aborts, by their age.

use crate::process::counters::Count;
use std::time::Duration;

/// Upper bounds (exclusive) of the age classes, with their names in the metric.
const CLASSES: [(Duration, &str); 4] = [
    (Duration::from_secs(1), "under_1s"),
    (Duration::from_secs(3), "1s_to_3s"),
    (Duration::from_secs(6), "3s_to_6s"),
    (Duration::from_secs(12), "6s_to_12s"),
];
/// Name of the oldest class, without an upper bound.
const OLDEST_CLASS: &str = "over_12s";

/// Requests aborted at shutdown, by age class.
#[derive(Debug, Default)]
pub struct AbortedRequests([Count; CLASSES.len() + 1]);

impl AbortedRequests {
    /// Counts a request that is aborted at this age.
    pub fn count(&self, age: Duration) {
        self.0[CLASSES.partition_point(|(below, _)| *below <= age)].increment();
    }

    /// The age classes, youngest first, with their numbers of requests.
    pub fn by_age(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let names = CLASSES.iter().map(|(_, name)| *name).chain([OLDEST_CLASS]);
        names.zip(self.0.iter().map(Count::get))
    }
}
