//! Plays random schedules of the whole control side in simulated time: `play_schedules FIRST COUNT THREADS [links]`. With
//! `links`, links also fall silent, lag and are reset on one side.
//! Prints every schedule that breaks a rule, shortened, and how many were played in what time.

use lanegate_controller::simulation::{Scenario, World, random_link_scenario, random_scenario, shrink};
use std::time::Instant;

fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let [first, count, threads] = *numbers.as_slice() else {
        eprintln!("usage: play_schedules FIRST COUNT THREADS [links]");
        return;
    };
    let links = std::env::args().any(|word| word == "links");
    let draw = if links { random_link_scenario } else { random_scenario };
    let started = Instant::now();
    let threads = threads.max(1);
    let broken: u64 = std::thread::scope(|scope| {
        let parts: Vec<_> =
            (0..threads).map(|part| scope.spawn(move || play(draw, first, count, threads, part))).collect();
        parts.into_iter().map(|part| part.join().unwrap_or(1)).sum()
    });
    println!(
        "{count} schedules from {first} in {:.1} s: {broken} broke a rule",
        started.elapsed().as_secs_f64()
    );
}

/// Plays every schedule of one part; tells how many broke a rule.
fn play(draw: fn(u64) -> Scenario, first: u64, count: u64, threads: u64, part: u64) -> u64 {
    let mut broken = 0;
    for seed in (first..first + count).filter(|seed| seed % threads == part) {
        let scenario = draw(seed);
        if let Err(violation) = World::play(&scenario, None) {
            broken += 1;
            let smallest = shrink(&scenario, None);
            println!("seed {seed}: {violation}\n{smallest}{:?}\n", World::play(&smallest, None));
        }
    }
    broken
}
