//! Plays one scenario of the whole control side in simulated time, and prints what the processes log:
//! `play_scenario FILE`.

use lanegate_controller::simulation::{Scenario, World};

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
    let path = std::env::args().nth(1).ok_or("usage: play_scenario FILE")?;
    let scenario: Scenario = std::fs::read_to_string(path)?.parse()?;
    log::set_logger(&Printer).map_err(|error| error.to_string())?;
    log::set_max_level(log::LevelFilter::Debug);
    World::play(&scenario, None)?;
    println!("no rule was broken");
    Ok(())
}
