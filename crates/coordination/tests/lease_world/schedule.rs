//! Random schedules of faults; all faults are ended before a schedule ends.

use super::{HEALTHY_NETWORK, Network, QUIET_PERIOD, TestRandom, World};
use lanegate_coordination::lease::LeaseSettings;
use std::time::Duration;

fn inject_fault(world: &mut World, random: &mut TestRandom, members: usize) {
    let index = random.below(members as u64) as usize;
    match random.below(8) {
        0 => world.set_candidate(index, true),
        1 => world.set_candidate(index, false),
        2 if world.is_up(index) => world.freeze(index),
        3 if world.is_up(index) && world.is_frozen(index) => world.thaw(index),
        4 => world.crash(index),
        5 => world.restart(index),
        6 => world.set_partition_side(index, random.one_in(2)),
        _ => world.heal(),
    }
}

fn network(random: &mut TestRandom) -> Network {
    Network {
        min_delay: Duration::ZERO,
        max_delay: Duration::from_millis(1 + random.below(1_500)),
        lost_one_in: random.below(6),
        duplicated_one_in: random.below(4),
    }
}

fn end_faults(world: &mut World, members: usize) {
    world.network = HEALTHY_NETWORK;
    world.heal();
    for index in 0..members {
        if !world.is_up(index) {
            world.restart(index);
        } else if world.is_frozen(index) {
            world.thaw(index);
        }
        world.set_candidate(index, index == 0);
    }
    world.run_for(Duration::from_secs(12));
}

/// Settings without a margin, so that only the rules of the protocol keep the actions of two holders apart.
fn settings_without_margin() -> LeaseSettings {
    LeaseSettings { margin: Duration::ZERO, ..LeaseSettings::for_quiet_period(QUIET_PERIOD) }
}

/// Plays the random schedule of `seed` with processes that have these clock rates (ppm from true time).
pub(crate) fn random_schedule(seed: u64, rates: &[i64]) -> World {
    let mut random = TestRandom::new(seed);
    let mut world = World::with_settings(seed ^ 1, rates, settings_without_margin());
    for _ in 0..80 {
        inject_fault(&mut world, &mut random, rates.len());
        if random.one_in(5) {
            world.network = network(&mut random);
        }
        world.run_for(Duration::from_millis(random.below(900)));
    }
    end_faults(&mut world, rates.len());
    world
}
