//! Counts of responses that were refused.

use std::collections::BTreeMap;

/// Largest number of endpoints that are counted by name. Endpoints come and go, and a metric must not grow with each.
const MAX_ENDPOINTS: usize = 64;
/// The name under which all further endpoints are counted.
const OTHER_ENDPOINTS: &str = "other";

/// Counts of refused responses, by endpoint and reason.
#[derive(Debug, Default)]
pub struct RefusalCounts {
    counts: BTreeMap<String, BTreeMap<&'static str, u64>>,
}

impl RefusalCounts {
    /// Counts one refused response of `endpoint`.
    pub fn record(&mut self, endpoint: &str, reason: &'static str) {
        let is_counted_by_name = self.counts.contains_key(endpoint) || self.counts.len() < MAX_ENDPOINTS;
        let name = if is_counted_by_name { endpoint } else { OTHER_ENDPOINTS };
        *self.counts.entry(name.to_owned()).or_default().entry(reason).or_default() += 1;
    }

    /// The endpoint, the reason and the number of each kind of refusal.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &'static str, u64)> {
        self.counts.iter().flat_map(|(endpoint, reasons)| {
            reasons.iter().map(move |(reason, count)| (endpoint.as_str(), *reason, *count))
        })
    }
}
