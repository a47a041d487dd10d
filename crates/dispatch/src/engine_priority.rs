//! The priority that an engine gets with a request: prompts with a short prefill go first.
//!
//! An engine prefills prompts in the order of their priority. A short prompt that is prefilled after a long one of
//! another router waits for most of a second; prefilled before it, it delays the long one by some ms only. The priority
//! number (0 first) therefore grows with the ratio of the prefill time to the time until the latency target. Requests
//! of the same level are ordered by the priority of their routes.

use std::time::Duration;

/// Number of the lowest priority.
const LOWEST_PRIORITY: u8 = 9;

/// Bounds between the levels, as ratios of the prefill time to the time until the target.
const URGENCY_BOUNDS: [f64; 4] = [1.0 / 16.0, 1.0 / 8.0, 1.0 / 4.0, 1.0 / 2.0];

/// Priorities within a level: routes with the highest priority first, then all others.
const PRIORITIES_PER_LEVEL: u8 = 2;

/// The priority (0 first, 9 last) of a request by its route alone.
pub fn route_priority(priority: u8) -> u8 {
    priority.min(LOWEST_PRIORITY)
}

/// The priority (0 first, 9 last) of a request on a route of rank `priority`, whose prefill takes `prefill_time` and
/// which arrived `time_to_target` before its latency target.
pub fn engine_priority(priority: u8, prefill_time: Duration, time_to_target: Duration) -> u8 {
    let ratio = prefill_time.as_secs_f64() / time_to_target.as_secs_f64().max(f64::MIN_POSITIVE);
    let level = URGENCY_BOUNDS.iter().filter(|bound| ratio > **bound).count() as u8;
    let within_level = priority.min(PRIORITIES_PER_LEVEL - 1);
    (level * PRIORITIES_PER_LEVEL + within_level).min(LOWEST_PRIORITY)
}
