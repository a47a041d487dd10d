//! Files of named values, and their comparison.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Set to `1` to write the files instead of comparing with them.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Asserts that the digests equal those in `tests/digests/<name>.txt` in a crate's directory, with the same names in the same order.
///
/// # Panics
///
/// If one differs, is missing or is new, or if the file cannot be read.
pub fn assert_digests<N: ToString>(
    crate_directory: &str,
    name: &str,
    digests: impl IntoIterator<Item = (N, u64)>,
) {
    let entries = digests.into_iter().map(|(name, digest)| (name.to_string(), format!("{digest:016x}")));
    assert_entries(&file_of(crate_directory, "digests", name), &entries.collect::<Vec<_>>());
}

/// Asserts that the encoded examples equal those in `tests/golden/<name>.txt` in a crate's directory, with the same names in the same order.
///
/// # Panics
///
/// If one differs, is missing or is new, or if the file cannot be read.
pub fn assert_bytes<N: ToString>(
    crate_directory: &str,
    name: &str,
    examples: impl IntoIterator<Item = (N, Vec<u8>)>,
) {
    let entries = examples.into_iter().map(|(name, bytes)| (name.to_string(), hex(&bytes)));
    assert_entries(&file_of(crate_directory, "golden", name), &entries.collect::<Vec<_>>());
}

/// The examples in `tests/golden/<name>.txt` of a crate's directory, by name.
///
/// # Panics
///
/// If the file cannot be read or has another format.
pub fn committed_bytes(crate_directory: &str, name: &str) -> BTreeMap<String, Vec<u8>> {
    let entries = read(&file_of(crate_directory, "golden", name)).into_iter();
    entries.map(|(name, value)| (name, from_hex(&value))).collect()
}

fn file_of(crate_directory: &str, kind: &str, name: &str) -> PathBuf {
    Path::new(crate_directory).join("tests").join(kind).join(format!("{name}.txt"))
}

fn assert_entries(file: &Path, entries: &[(String, String)]) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        write(file, entries);
        return;
    }
    let expected = read(file);
    let pairs = entries.iter().zip(&expected);
    let differing: Vec<&str> =
        pairs.filter(|(actual, expected)| actual != expected).map(|(actual, _)| actual.0.as_str()).collect();
    assert!(differing.is_empty(), "entries that differ from {}: {differing:?}", file.display());
    assert_eq!(entries.len(), expected.len(), "entries of {}", file.display());
}

fn write(file: &Path, entries: &[(String, String)]) {
    let text: String = entries.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
    if let Err(error) = std::fs::write(file, text) {
        panic!("{}: {error}", file.display());
    }
}

fn read(file: &Path) -> Vec<(String, String)> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => panic!("{}: {error}", file.display()),
    };
    let entries = text.lines().map(|line| match line.split_once(' ') {
        Some((name, value)) => (name.to_owned(), value.to_owned()),
        None => panic!("{}: not a name and a value: {line:?}", file.display()),
    });
    entries.collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(text.get(at..at + 2).unwrap_or_default(), 16);
    (0..text.len()).step_by(2).map(|at| digits(at).expect("two hexadecimal digits")).collect()
}
