//! Random schedules of requests and faults, checked at every step.

use std::ops::Range;

use lanegate_coordination::simulation::{World, random_scenario, shrink};

fn play(seeds: Range<u64>) {
    for seed in seeds {
        let scenario = random_scenario(seed);
        if let Err(violation) = World::play(&scenario, None) {
            let smallest = shrink(&scenario, None);
            panic!("seed {seed}: {violation}\n{smallest}{:?}", World::play(&smallest, None));
        }
    }
}

/// Plays each range of seeds in its own test, so that the tests run in parallel.
macro_rules! plays {
    ($($(#[$attribute:meta])* $name:ident: $seeds:expr;)*) => {
        $(
            #[test]
            $(#[$attribute])*
            fn $name() {
                play($seeds);
            }
        )*
    };
}

plays! {
    random_schedules_break_no_rule: 0..2_500;
    the_second_part_of_random_schedules_breaks_no_rule: 2_500..5_000;
    the_third_part_of_random_schedules_breaks_no_rule: 5_000..7_500;
    the_last_part_of_random_schedules_breaks_no_rule: 7_500..10_000;
    #[ignore = "takes minutes"]
    more_random_schedules_break_no_rule: 10_000..100_000;
    #[ignore = "takes minutes"]
    many_more_random_schedules_break_no_rule: 100_000..200_000;
}
