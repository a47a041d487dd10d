//! Rules on processes and on the whole system.

use super::view::{Ended, View};
use super::{Invariant, Violation};
use crate::catalog::RouteKind;
use crate::names::Place;
use crate::run::RECOVERY_TIME;
use std::time::Duration;

/// Part of the requests of a route that have to be served after the recovery.
const SERVED_PART: f64 = 0.75;
/// Fewer requests than this tell nothing.
const LEAST_REQUESTS: usize = 5;
/// What a process says that ended well.
const WELL: &str = "exit status: 0";

/// [`Invariant::Recovery`], [`Invariant::ProcessEnd`] and [`Invariant::OwnCounters`].
pub fn judge(view: &View) -> Vec<Violation> {
    let mut found: Vec<Violation> = view.process_ends.iter().filter_map(|end| judge_end(view, end)).collect();
    found.extend(recovery(view));
    found.extend(view.own_counters.iter().filter(|(_, _, violations)| *violations > 0).map(
        |(at, place, violations)| {
            Violation::new(Invariant::OwnCounters, *at, format!("{place} counts {violations}"))
        },
    ));
    found
}

fn judge_end(view: &View, end: &Ended) -> Option<Violation> {
    let Ended { at, place, expected, status } = end;
    let seen = match expected {
        false => format!("{place} ended by itself: {status}"),
        true if status != WELL && !was_killed(view, *place, *at) => {
            format!("{place} was told to end and ended with {status}")
        }
        true => return None,
    };
    Some(Violation::new(Invariant::ProcessEnd, *at, seen))
}

/// Whether the end was a kill of the schedule or of the end of the run, or a freeze kept the process from it.
fn was_killed(view: &View, place: Place, at: Duration) -> bool {
    let over = view.traffic_ended.is_none_or(|ended| at >= ended);
    let mut stops = view.troubles.iter().filter(|troubled| troubled.stops(place));
    over || stops.any(|troubled| troubled.overlaps(at.saturating_sub(RECOVERY_TIME), at))
}

fn recovery(view: &View) -> Vec<Violation> {
    let (Some(over), Some(ended)) = (view.troubles_over, view.traffic_ended) else { return Vec::new() };
    let mut found = Vec::new();
    for route in RouteKind::ALL {
        let all: Vec<bool> = view
            .concluded
            .iter()
            .filter(|concluded| concluded.route == route && concluded.began >= over + RECOVERY_TIME)
            .map(|concluded| concluded.served)
            .collect();
        let served = all.iter().filter(|served| **served).count();
        if all.len() >= LEAST_REQUESTS && (served as f64) < all.len() as f64 * SERVED_PART {
            let seen = format!("{served} of {} requests on {} are served", all.len(), route.name());
            found.push(Violation::new(Invariant::Recovery, ended, seen));
        }
    }
    let missing = view.known_routers.difference(&view.open_routers);
    found.extend(
        missing.map(|router| {
            Violation::new(Invariant::Recovery, ended, format!("router-{router} is not ready"))
        }),
    );
    found
}
