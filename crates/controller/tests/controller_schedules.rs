//! Random schedules of changes, drains and troubles, checked at every step.

use lanegate_controller::simulation::{Scenario, World, random_link_scenario, random_scenario, shrink};
use std::ops::Range;

/// Schedules that every run of the tests plays, in so many tests side by side.
const SCHEDULES: u64 = 10_000;
const PARTS: u64 = 10;

/// The same with faults of links that stay up.
const LINK_SCHEDULES: u64 = 2_000;
const LINK_PARTS: u64 = 4;

/// Schedules for a longer look.
const MORE_SCHEDULES: Range<u64> = 10_000..200_000;

fn play(draw: fn(u64) -> Scenario, seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let scenario = draw(seed);
        if let Err(violation) = World::play(&scenario, None) {
            let smallest = shrink(&scenario, None);
            panic!("seed {seed}: {violation}\n{smallest}{:?}", World::play(&smallest, None));
        }
    }
}

macro_rules! parts {
    ($draw:ident, $schedules:ident, $parts:ident; $($name:ident: $part:literal;)*) => {
        $(
            #[test]
            fn $name() {
                play($draw, (0..$schedules).filter(|seed| seed % $parts == $part));
            }
        )*
    };
}

parts! {
    random_scenario, SCHEDULES, PARTS;
    random_schedules_break_no_rule_0: 0;
    random_schedules_break_no_rule_1: 1;
    random_schedules_break_no_rule_2: 2;
    random_schedules_break_no_rule_3: 3;
    random_schedules_break_no_rule_4: 4;
    random_schedules_break_no_rule_5: 5;
    random_schedules_break_no_rule_6: 6;
    random_schedules_break_no_rule_7: 7;
    random_schedules_break_no_rule_8: 8;
    random_schedules_break_no_rule_9: 9;
}

parts! {
    random_link_scenario, LINK_SCHEDULES, LINK_PARTS;
    random_link_schedules_break_no_rule_0: 0;
    random_link_schedules_break_no_rule_1: 1;
    random_link_schedules_break_no_rule_2: 2;
    random_link_schedules_break_no_rule_3: 3;
}

#[test]
#[ignore = "takes minutes"]
fn more_random_schedules_break_no_rule() {
    play(random_scenario, MORE_SCHEDULES);
}
