//! Random schedules of troubles that end in calm.

use super::{CALM, Chance, Network, QUIET, World};
use lanegate_coordination::lease::LeaseSettings;
use std::time::Duration;

fn disturb(world: &mut World, chance: &mut Chance, members: usize) {
    let index = chance.below(members as u64) as usize;
    match chance.below(8) {
        0 => world.want(index, true),
        1 => world.want(index, false),
        2 if world.is_up(index) => world.freeze(index),
        3 if world.is_up(index) && world.is_frozen(index) => world.thaw(index),
        4 => world.crash(index),
        5 => world.restart(index),
        6 => world.set_side(index, chance.one_in(2)),
        _ => world.heal(),
    }
}

fn network(chance: &mut Chance) -> Network {
    Network {
        shortest_delay: Duration::ZERO,
        longest_delay: Duration::from_millis(1 + chance.below(1_500)),
        lost_one_in: chance.below(6),
        doubled_one_in: chance.below(4),
    }
}

fn calm_down(world: &mut World, members: usize) {
    world.network = CALM;
    world.heal();
    for index in 0..members {
        if !world.is_up(index) {
            world.restart(index);
        } else if world.is_frozen(index) {
            world.thaw(index);
        }
        world.want(index, index == 0);
    }
    world.run_for(Duration::from_secs(12));
}

/// Settings without a margin, so that nothing but the rules themselves keeps holders apart.
fn tight_settings() -> LeaseSettings {
    LeaseSettings { margin: Duration::ZERO, ..LeaseSettings::for_quiet_period(QUIET) }
}

/// Plays the schedule of `seed` on processes with these clock rates (ppm from true time).
pub(crate) fn random_schedule(seed: u64, rates: &[i64]) -> World {
    let mut chance = Chance::new(seed);
    let mut world = World::with_settings(seed ^ 1, rates, tight_settings());
    for _ in 0..80 {
        disturb(&mut world, &mut chance, rates.len());
        if chance.one_in(5) {
            world.network = network(&mut chance);
        }
        world.run_for(Duration::from_millis(chance.below(900)));
    }
    calm_down(&mut world, rates.len());
    world
}
