//! Plays every scenario in `tests/scenarios`: the whole control side in simulated time.

use lanegate_controller::simulation::{Scenario, World};
use std::fs;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn read(path: &Path) -> Scenario {
    let text = fs::read_to_string(path).expect("a scenario");
    text.parse().unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn scenarios() -> Vec<(PathBuf, Scenario)> {
    let files = fs::read_dir(folder()).expect("the folder of scenarios");
    let mut paths: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    paths.sort();
    paths.into_iter().map(|path| (path.clone(), read(&path))).collect()
}

#[test]
fn every_scenario_passes() {
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
