//! The rank that an engine is given with a request: what takes it little time to read goes first.
//!
//! An engine reads prompts in the order of their rank. A short prompt behind a long one of another router
//! waits for most of a second; before it, it costs the long one some ms. So the rank grows with the part of
//! the time until the target that reading takes, and among equals the route's own rank decides.

use std::time::Duration;

/// Least urgent rank that an engine knows.
const LEAST_URGENT: u8 = 9;

/// Bounds of the steps of urgency: the time to read, as a part of the time until the target.
const STEPS: [f64; 4] = [1.0 / 16.0, 1.0 / 8.0, 1.0 / 4.0, 1.0 / 2.0];

/// Ranks within a step: the highest route first, then all others.
const RANKS_OF_STEP: u8 = 2;

/// The rank (0 first, 9 last) of a request by its route alone.
pub fn route_priority(priority: u8) -> u8 {
    priority.min(LEAST_URGENT)
}

/// The rank (0 first, 9 last) of a request of a route of rank `priority` whose prompt takes `reading` to
/// read, with `left` until its target when it arrived.
pub fn engine_priority(priority: u8, reading: Duration, left: Duration) -> u8 {
    let part = reading.as_secs_f64() / left.as_secs_f64().max(f64::MIN_POSITIVE);
    let step = STEPS.iter().filter(|bound| part > **bound).count() as u8;
    let within = priority.min(RANKS_OF_STEP - 1);
    (step * RANKS_OF_STEP + within).min(LEAST_URGENT)
}
