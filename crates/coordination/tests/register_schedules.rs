//! Random schedules of requests and troubles, checked at every step.

use std::ops::Range;

use lanegate_coordination::simulation::{World, random_scenario, shrink};

/// Schedules that every run of the tests plays.
const SCHEDULES: Range<u64> = 0..10_000;

/// Schedules for a longer look.
const MORE_SCHEDULES: Range<u64> = 10_000..500_000;

fn play(seeds: Range<u64>) {
    for seed in seeds {
        let scenario = random_scenario(seed);
        if let Err(violation) = World::play(&scenario, None) {
            let smallest = shrink(&scenario, None);
            panic!("seed {seed}: {violation}\n{smallest}{:?}", World::play(&smallest, None));
        }
    }
}

#[test]
fn random_schedules_break_no_rule() {
    play(SCHEDULES);
}

#[test]
#[ignore = "takes minutes"]
fn more_random_schedules_break_no_rule() {
    play(MORE_SCHEDULES);
}
