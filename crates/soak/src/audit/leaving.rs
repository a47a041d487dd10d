//! The rule on endpoints that leave.

use super::view::{Arrival, Attempt, View};
use super::{Invariant, Violation};
use crate::journal::Decision;
use crate::layout::{CONTACT_MS, DRAIN_MS};
use std::time::Duration;

/// Margin for what a busy machine adds to the time of a request on its way.
const WIRE_MARGIN: Duration = Duration::from_millis(500);
/// Status by which another incarnation turns a request away.
const OTHER_INSTANCE: u16 = 421;

/// [`Invariant::AfterLeaving`].
pub fn after_leaving(view: &View) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, attempt) in &view.attempts {
        for arrival in &attempt.arrivals {
            let Some(told) = view.leaving.get(&arrival.instance) else { continue };
            if is_late(view, attempt, arrival, *told) {
                let (after, router) = ((arrival.at - *told).as_secs_f64(), attempt.sent.router);
                let seen = format!(
                    "attempt {id} came by router-{router} to {} {after:.3} s after its leaving was acknowledged",
                    arrival.instance
                );
                let violation = Violation::new(Invariant::AfterLeaving, arrival.at, seen);
                found.push(violation.of_attempt(*id).of_instance(arrival.instance));
            }
        }
    }
    found
}

fn is_late(view: &View, attempt: &Attempt, arrival: &Arrival, told: Duration) -> bool {
    let limit = told + Duration::from_millis(DRAIN_MS) + WIRE_MARGIN;
    let counts = arrival.decision != Decision::TurnedAway(OTHER_INSTANCE);
    let since = told.saturating_sub(Duration::from_millis(CONTACT_MS));
    counts && arrival.at > limit && !view.was_out_of_touch(attempt.sent.router, since, arrival.at)
}
