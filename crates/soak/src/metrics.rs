//! Violations that the processes count themselves, read from their metrics.

use crate::journal::{Journal, What};
use crate::layout::Layout;
use crate::names::Place;
use lanegate_control_http::{ClientRequest, call};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Whether processes have metrics. The one place where reading them is switched on.
const ENABLED: bool = true;
/// Path of the metrics.
const PATH: &str = "/metrics";
/// Name of the counters.
const VIOLATIONS: &str = "lanegate_invariant_violations_total";
/// Longest wait for the metrics of one process.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time between two readings of all processes: counters end with their process.
const PERIOD: Duration = Duration::from_secs(5);

/// Port of the metrics of a process; router and agent share a machine.
fn port(place: Place) -> u16 {
    match place {
        Place::Controller(_) | Place::Router(_) | Place::Endpoint(_) => 9_464,
        Place::Agent(_) => 9_465,
    }
}

/// What a process is started with so that it has metrics.
pub fn arguments(place: Place) -> Vec<String> {
    if ENABLED { vec!["--metrics-port".to_owned(), port(place).to_string()] } else { Vec::new() }
}

/// Reads again and again, and notes what is above zero.
pub async fn read_all_the_time(layout: Rc<Layout>, journal: Rc<Journal>) {
    loop {
        sleep(PERIOD).await;
        for (place, violations) in read(&layout).await {
            if violations > 0 {
                journal.note(What::OwnCounters { place, violations });
            }
        }
    }
}

/// Notes what every process counts that answers.
pub async fn read_at_the_end(layout: &Layout, journal: &Journal) {
    for (place, violations) in read(layout).await {
        journal.note(What::OwnCounters { place, violations });
    }
}

async fn read(layout: &Layout) -> Vec<(Place, u64)> {
    let mut counted = Vec::new();
    let places = if ENABLED { layout.processes() } else { Vec::new() };
    for place in places {
        let address = SocketAddr::from((layout.ip(place), port(place)));
        if let Ok(answer) = call(address, &ClientRequest::get(PATH), PATIENCE).await {
            counted.push((place, violations(&String::from_utf8_lossy(&answer.body))));
        }
    }
    counted
}

/// The sum of all violation counters in a text of metrics.
pub fn violations(text: &str) -> u64 {
    let counters = text.lines().filter(|line| line.starts_with(VIOLATIONS));
    let values = counters.filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
