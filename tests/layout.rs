//! The decision module is printed and kept in the on-call folder: it must stay short and narrow.

use std::fs;
use std::path::Path;

#[derive(serde::Deserialize)]
struct Deployment {
    policy: Vec<String>,
}

#[test]
fn the_module_stays_within_1200_lines_of_110_columns() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |name: &str| fs::read_to_string(root.join(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
    let deployment: Deployment = toml::from_str(&read("deploy/balancer.toml")).expect("it is sound");
    let mut lines = 0;
    for name in &deployment.policy {
        let text = read(name);
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        let wide: Vec<_> = text.lines().filter(|line| line.chars().count() > 110).collect();
        assert!(wide.is_empty(), "{name}: over 110 columns: {wide:?}");
    }
    assert!(deployment.policy.len() > 1 && lines <= 1200, "{lines} lines that are not blank");
}
