//! Plays one scenario of the whole control side in simulated time: `play_scenario FILE [SEEDS FAULT...]`.
//!
//! Alone, it prints what the processes log. With a number of seeds, it plays the scenario without a fault and with each deliberate fault
//! whose debug text contains one of the names, on so many seeds from the scenario's own on, and prints with how many a
//! rule was broken, and the first broken rule; what the processes log too if it is one seed.

use lanegate_controller::controller::ControllerFault;
use lanegate_controller::simulation::{Scenario, Violation, World};

/// Prints everything.
struct Printer;

impl log::Log for Printer {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        println!("{:5} {}", record.level(), record.args());
    }

    fn flush(&self) {}
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let path = words.first().ok_or("usage: play_scenario FILE [SEEDS FAULT...]")?;
    let scenario: Scenario = std::fs::read_to_string(path)?.parse()?;
    let seeds: Option<u64> = words.get(1).map(|word| word.parse()).transpose()?;
    if seeds.is_none_or(|seeds| seeds == 1) {
        log::set_logger(&Printer).map_err(|error| error.to_string())?;
        log::set_max_level(log::LevelFilter::Debug);
    }
    if let Some(seeds) = seeds {
        compare(&scenario, seeds, &words[2..]);
        return Ok(());
    }
    World::play(&scenario, None)?;
    println!("no rule was broken");
    Ok(())
}

/// Plays the scenario without a fault and with those that are named.
fn compare(scenario: &Scenario, seeds: u64, names: &[String]) {
    report(scenario, seeds, None);
    for fault in ControllerFault::all() {
        let text = format!("{fault:?}");
        if names.iter().any(|name| text.contains(name.as_str())) {
            report(scenario, seeds, Some(fault));
        }
    }
}

fn report(scenario: &Scenario, seeds: u64, fault: Option<ControllerFault>) {
    let played = (scenario.seed..scenario.seed + seeds).filter_map(|seed| {
        let violation = World::play(&Scenario { seed, ..scenario.clone() }, fault).err()?;
        Some((seed, violation))
    });
    let broken: Vec<(u64, Violation)> = played.collect();
    let first = broken.first().map(|(seed, violation)| format!("; seed {seed}: {violation}"));
    let name = fault.map_or_else(|| "no fault".to_owned(), |fault| format!("{fault:?}"));
    println!("{name}: broken with {} of {seeds} seeds{}", broken.len(), first.unwrap_or_default());
}
