//! Plays every scenario in `tests/scenarios`.

use std::fs;
use std::path::{Path, PathBuf};

use lanegate_coordination::register::Fault;
use lanegate_coordination::simulation::{Scenario, World};

fn scenarios() -> Vec<(PathBuf, Scenario)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = fs::read_dir(folder).expect("the folder of scenarios");
    let paths = files.map(|file| file.expect("a file").path());
    paths.map(|path| (path.clone(), read(&path))).collect()
}

fn read(path: &Path) -> Scenario {
    let text = fs::read_to_string(path).expect("a scenario");
    text.parse().unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn named(name: &str) -> Scenario {
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios").join(name))
}

#[test]
fn every_scenario_holds() {
    let played = scenarios().into_iter().filter_map(|(path, scenario)| {
        let violation = World::play(&scenario, None).err()?;
        Some(format!("{}: {violation}", path.display()))
    });
    let broken: Vec<String> = played.collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn every_scenario_reads_as_it_is_written() {
    for (path, scenario) in scenarios() {
        assert_eq!(scenario.to_string().parse(), Ok(scenario), "{}", path.display());
    }
}

#[test]
fn the_scenario_on_an_accepted_end_needs_it_decided() {
    let scenario = named("proposer-lost-with-the-final-value.txt");
    assert!(World::play(&scenario, Some(Fault::LeaveChangeUncommitted)).is_err());
}

#[test]
fn the_scenario_on_incarnations_needs_them() {
    let scenario = named("vote-of-an-earlier-incarnation.txt");
    assert!(World::play(&scenario, Some(Fault::IgnoreIncarnations)).is_err());
}
