//! Plays every scenario in `tests/scenarios`.

use std::fs;
use std::path::{Path, PathBuf};

use lanegate_coordination::register::Fault;
use lanegate_coordination::simulation::{Scenario, World};

fn scenarios() -> Vec<(PathBuf, Scenario)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = fs::read_dir(folder).expect("the folder of scenarios exists");
    let paths = files.map(|file| file.expect("the folder can be listed").path());
    paths.map(|path| (path.clone(), read(&path))).collect()
}

fn read(path: &Path) -> Scenario {
    let text = fs::read_to_string(path).expect("the file can be read");
    text.parse().unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn read_named(name: &str) -> Scenario {
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios").join(name))
}

#[test]
fn no_scenario_violates_a_rule() {
    let played = scenarios().into_iter().filter_map(|(path, scenario)| {
        let violation = World::play(&scenario, None).err()?;
        Some(format!("{}: {violation}", path.display()))
    });
    let violations: Vec<String> = played.collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn every_scenario_round_trips_through_its_text() {
    for (path, scenario) in scenarios() {
        assert_eq!(scenario.to_string().parse(), Ok(scenario), "{}", path.display());
    }
}

#[test]
fn leaving_an_accepted_final_value_uncommitted_is_detected() {
    let scenario = read_named("proposer-lost-with-the-final-value.txt");
    assert!(World::play(&scenario, Some(Fault::LeaveChangeUncommitted)).is_err());
}

#[test]
fn ignoring_incarnations_is_detected() {
    let scenario = read_named("vote-of-an-earlier-incarnation.txt");
    assert!(World::play(&scenario, Some(Fault::IgnoreIncarnations)).is_err());
}
