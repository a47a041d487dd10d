//! Plays random schedules of the whole control side with each deliberate fault until one breaks a rule, on all cores:
//! `find_faults MOST_SCHEDULES [links] [FAULT...]`. With `links`, links also fall silent, lag and are reset on one side; with
//! names, only the faults whose debug text contains one of them.

use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{
    Scenario, Violation, World, random_link_scenario, random_scenario, shrink,
};
use std::sync::atomic::{AtomicU64, Ordering};

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let most: u64 = words.first().and_then(|word| word.parse().ok()).unwrap_or(1_000);
    let draw = if words.iter().any(|word| word == "links") { random_link_scenario } else { random_scenario };
    let names: Vec<&String> = words.iter().skip(1).filter(|word| *word != "links").collect();
    let is_wanted = |fault: &ControllerFault| {
        let text = format!("{fault:?}");
        names.is_empty() || names.iter().any(|name| text.contains(name.as_str()))
    };
    for fault in ControllerFault::all().into_iter().filter(is_wanted) {
        match first_found(fault, most, draw) {
            Some((seed, violation)) => {
                println!("{fault:?}: schedule {seed}: {violation}\n{}", shrink(&draw(seed), Some(fault)));
            }
            None => println!("{fault:?}: NOT FOUND in {most}\n"),
        }
    }
}

/// The first schedule that breaks a rule, of those that were played until one thread found one.
fn first_found(fault: ControllerFault, most: u64, draw: fn(u64) -> Scenario) -> Option<(u64, Violation)> {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let search = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= most {
            return None;
        }
        if let Err(violation) = World::play(&draw(seed), Some(fault)) {
            next.store(most, Ordering::Relaxed);
            return Some((seed, violation));
        }
    };
    std::thread::scope(|scope| {
        let searches: Vec<_> = (0..threads).map(|_| scope.spawn(search)).collect();
        let found = searches.into_iter().filter_map(|search| search.join().ok().flatten());
        found.min_by_key(|(seed, _)| *seed)
    })
}
