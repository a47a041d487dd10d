//! What the whole simulated control side does stays as it was: frames, stored records, orders, calls and
//! answers with their times, and at the end the status and the metrics of every controller.

#[path = "common/scenario_files.rs"]
mod scenario_files;

use lanegate_controller::simulation::{Scenario, World, random_link_scenario, random_scenario};
use lanegate_golden::assert_digests;
use scenario_files::all_scenarios;

/// Random scenarios that are played.
const SEEDS: u64 = 300;
/// The same with faults of links that stay up.
const LINK_SEEDS: u64 = 100;
/// Scenarios that are played side by side.
const THREADS: usize = 4;

fn digest(scenario: &Scenario) -> u64 {
    World::play_for_digest(scenario).unwrap_or_else(|violation| panic!("{violation}\n{scenario}"))
}

fn digests_of(scenarios: &[(String, Scenario)]) -> Vec<(String, u64)> {
    let part = scenarios.len().div_ceil(THREADS);
    std::thread::scope(|scope| {
        let threads: Vec<_> = scenarios
            .chunks(part)
            .map(|chunk| {
                scope.spawn(|| {
                    chunk.iter().map(|(name, scenario)| (name.clone(), digest(scenario))).collect::<Vec<_>>()
                })
            })
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a scenario that holds")).collect()
    })
}

#[test]
fn random_schedules_do_what_they_did() {
    let scenarios: Vec<_> = (0..SEEDS).map(|seed| (seed.to_string(), random_scenario(seed))).collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "schedules", digests_of(&scenarios));
}

#[test]
fn random_link_schedules_do_what_they_did() {
    let scenarios: Vec<_> =
        (0..LINK_SEEDS).map(|seed| (seed.to_string(), random_link_scenario(seed))).collect();
    assert_digests(env!("CARGO_MANIFEST_DIR"), "link_schedules", digests_of(&scenarios));
}

#[test]
fn written_scenarios_do_what_they_did() {
    assert_digests(env!("CARGO_MANIFEST_DIR"), "scenarios", digests_of(&all_scenarios()));
}
