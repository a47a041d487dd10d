//! Committed bytes: `name hex` lines in `tests/golden/<file>.txt`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

/// Set to write the bytes instead of comparing them.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{file}.txt"))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes everything");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// The bytes committed in `tests/golden/<file>.txt`, by name.
pub(crate) fn committed(file: &str) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path(file)).expect("the committed bytes");
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.map(|(name, hex)| (name.to_owned(), from_hex(hex))).collect()
}

/// Asserts that `encoded` is exactly what is committed in `tests/golden/<file>.txt`, and returns that.
pub(crate) fn check(file: &str, encoded: &[(&str, Vec<u8>)]) -> BTreeMap<String, Vec<u8>> {
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        let lines: String = encoded.iter().map(|(name, bytes)| format!("{name} {}\n", hex(bytes))).collect();
        std::fs::write(path(file), lines).expect("a writable file of bytes");
    }
    let expected = committed(file);
    assert_eq!(expected.len(), encoded.len(), "number of examples in {file}");
    for (name, bytes) in encoded {
        assert_eq!(expected.get(*name), Some(bytes), "{file}: {name} is now encoded as {}", hex(bytes));
    }
    expected
}
