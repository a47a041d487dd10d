//! The scenarios of the whole control side, by name.

use lanegate_controller::simulation::Scenario;
use std::path::Path;

/// The scenario `name` of `tests/scenarios`, without the ending of its file.
pub(crate) fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios").join(format!("{name}.txt"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    text.parse().unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}
