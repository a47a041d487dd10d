//! All scenarios of the whole control side.

use lanegate_controller::simulation::Scenario;
use std::path::{Path, PathBuf};

/// Every scenario of `tests/scenarios` with the name of its file, without the ending, in the order of the files.
pub(crate) fn all_scenarios() -> Vec<(String, Scenario)> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = std::fs::read_dir(directory).expect("the directory of scenarios");
    let mut paths: Vec<PathBuf> = files.map(|file| file.expect("a file").path()).collect();
    paths.sort();
    paths.iter().map(|path| read(path)).collect()
}

fn read(path: &Path) -> (String, Scenario) {
    let name = path.file_stem().expect("a file name").to_string_lossy().into_owned();
    let text = std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    (name, text.parse().unwrap_or_else(|error| panic!("{}: {error}", path.display())))
}
