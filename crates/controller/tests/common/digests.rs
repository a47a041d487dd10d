//! Digests that are kept in `tests/digests`, one line each: a name, a space, and the digest in hexadecimal.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// Set to `1` to write the file anew instead of comparing with it.
const UPDATE: &str = "UPDATE_DIGESTS";

fn path_of(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests").join(file)
}

fn parse(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.map(|(name, digest)| (name.to_owned(), digest.to_owned())).collect()
}

/// Compares digests by name with those in `file`.
pub(crate) fn compare(file: &str, digests: &[(String, u64)]) {
    let path = path_of(file);
    if std::env::var(UPDATE).is_ok_and(|value| value == "1") {
        let mut text = String::new();
        for (name, digest) in digests {
            writeln!(text, "{name} {digest:016x}").expect("strings take any text");
        }
        fs::write(&path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        return;
    }
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let expected = parse(&text);
    let found: BTreeMap<String, String> =
        digests.iter().map(|(name, digest)| (name.clone(), format!("{digest:016x}"))).collect();
    let names = expected.keys().chain(found.keys().filter(|name| !expected.contains_key(*name)));
    let different: Vec<&String> = names.filter(|name| expected.get(*name) != found.get(*name)).collect();
    assert!(different.is_empty(), "behaviour differs from {}: {different:?}", path.display());
}
