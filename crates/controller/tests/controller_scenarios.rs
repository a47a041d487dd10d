//! Plays every scenario in `tests/scenarios`: the whole control side in simulated time.

#[path = "common/scenario_files.rs"]
mod scenario_files;

use lanegate_controller::simulation::World;
use scenario_files::all_scenarios;

#[test]
fn every_scenario_passes() {
    let played = all_scenarios().into_iter().filter_map(|(name, scenario)| {
        let violation = World::play(&scenario, None).err()?;
        Some(format!("{name}: {violation}"))
    });
    let broken: Vec<String> = played.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn every_scenario_reads_as_it_is_written() {
    for (name, scenario) in all_scenarios() {
        assert_eq!(scenario.to_string().parse(), Ok(scenario), "{name}");
    }
}
