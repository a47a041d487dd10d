//! Short prompts go first at an engine, and paid routes first among alike.

use lanegate_dispatch::urgency::engine_priority;
use proptest::prelude::*;
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_short_question_goes_before_a_long_document() {
    let question = engine_priority(2, ms(15), ms(500));
    let document = engine_priority(1, ms(500), ms(800));
    assert!(question < document);
}

#[test]
fn among_alike_the_highest_route_goes_first() {
    assert!(engine_priority(0, ms(100), ms(800)) < engine_priority(1, ms(100), ms(800)));
    assert!(engine_priority(0, ms(100), ms(800)) < engine_priority(7, ms(100), ms(800)));
}

#[test]
fn a_target_that_has_passed_makes_a_request_least_urgent() {
    assert_eq!(engine_priority(3, ms(10), ms(0)), 9);
}

proptest! {
    #[test]
    fn ranks_stay_in_range_and_grow_with_the_time_to_read(
        priority in any::<u8>(),
        reading in 0u64..10_000,
        more in 0u64..10_000,
        left in 1u64..20_000,
    ) {
        let one = engine_priority(priority, ms(reading), ms(left));
        let other = engine_priority(priority, ms(reading + more), ms(left));
        prop_assert!(one <= other);
        prop_assert!(other <= 9);
    }
}
