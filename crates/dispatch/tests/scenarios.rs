//! Runs every scenario of `tests/scenarios`.

mod support;

use std::path::Path;

#[test]
fn all_scenarios_pass() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(&directory).expect("the directory of scenarios");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    assert!(!paths.is_empty());
    let failed = paths.iter().filter(|path| std::panic::catch_unwind(|| run(path)).is_err()).count();
    assert_eq!(failed, 0, "scenarios failed, as told above");
}

fn run(path: &Path) {
    let name = path.file_name().expect("a name").to_string_lossy().into_owned();
    let text = std::fs::read_to_string(path).expect("a scenario");
    support::scenario::run(&name, &text);
}
