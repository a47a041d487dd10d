//! Priorities for engines: ordered by prefill time, then by the priority of the route.

use lanegate_dispatch::engine_priority::engine_priority;
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_short_prompt_has_priority_over_a_long_one() {
    let short = engine_priority(2, ms(15), ms(500));
    let long = engine_priority(1, ms(500), ms(800));
    assert!(short < long);
}

#[test]
fn the_priority_of_the_route_breaks_ties() {
    assert!(engine_priority(0, ms(100), ms(800)) < engine_priority(1, ms(100), ms(800)));
    assert!(engine_priority(0, ms(100), ms(800)) < engine_priority(7, ms(100), ms(800)));
}

#[test]
fn a_missed_target_gives_the_lowest_priority() {
    assert_eq!(engine_priority(3, ms(10), ms(0)), 9);
}

proptest! {
    #[test]
    fn priorities_are_in_range_and_monotonic_in_the_prefill_time(
        priority in any::<u8>(),
        prefill_time in 0u64..10_000,
        additional in 0u64..10_000,
        time_to_target in 1u64..20_000,
    ) {
        let one = engine_priority(priority, ms(prefill_time), ms(time_to_target));
        let other = engine_priority(priority, ms(prefill_time + additional), ms(time_to_target));
        prop_assert!(one <= other);
        prop_assert!(other <= 9);
    }
}
