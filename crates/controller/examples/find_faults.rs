//! Plays random schedules of the whole control side with each deliberate fault until one breaks a rule:
//! `find_faults MOST_SCHEDULES`.

use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{World, random_scenario, shrink};

fn main() {
    let most: u64 = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(1_000);
    for fault in ControllerFault::all() {
        let found = (0..most).find_map(|seed| {
            let scenario = random_scenario(seed);
            World::play(&scenario, Some(fault)).err().map(|violation| (seed, violation))
        });
        match found {
            Some((seed, violation)) => {
                println!(
                    "{fault:?}: schedule {seed}: {violation}\n{}",
                    shrink(&random_scenario(seed), Some(fault))
                );
            }
            None => println!("{fault:?}: NOT FOUND in {most}\n"),
        }
    }
}
