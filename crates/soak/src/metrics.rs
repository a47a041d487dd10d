//! Violations that the processes count themselves, read from their metrics.

use crate::journal::{Journal, What};
use crate::layout::Layout;
use crate::names::Place;
use lanegate_control_http::{ClientRequest, call};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether processes have metrics. The one place where reading them is switched on.
const ENABLED: bool = false;
/// Path of the metrics.
const PATH: &str = "/metrics";
/// Name of the counters.
const VIOLATIONS: &str = "lanegate_invariant_violations_total";
/// Longest wait for the metrics of one process.
const PATIENCE: Duration = Duration::from_secs(2);

/// Port of the metrics of a role.
fn port(place: Place) -> u16 {
    match place {
        Place::Controller(_) => 9_101,
        Place::Agent(_) => 9_102,
        Place::Router(_) | Place::Endpoint(_) => 9_103,
    }
}

/// Notes what every process counts.
pub async fn read(layout: &Layout, journal: &Journal) {
    if !ENABLED {
        return;
    }
    for place in layout.processes() {
        let address = SocketAddr::from((layout.ip(place), port(place)));
        if let Ok(answer) = call(address, &ClientRequest::get(PATH), PATIENCE).await {
            let violations = violations(&String::from_utf8_lossy(&answer.body));
            journal.note(What::OwnCounters { place, violations });
        }
    }
}

/// The sum of all violation counters in a text of metrics.
pub fn violations(text: &str) -> u64 {
    let counters = text.lines().filter(|line| line.starts_with(VIOLATIONS));
    let values = counters.filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
