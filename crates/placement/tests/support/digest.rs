//! Digests of behaviour, kept as data: one line for each seed, `seed digest`.

use std::fmt::Write;
use std::path::Path;

/// FNV-1a, 64 bits, over bytes that the caller encodes by hand.
pub(crate) struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xCBF2_9CE4_8422_2325)
    }
}

impl Digest {
    pub(crate) fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3);
    }

    /// The bytes with their length before them.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        bytes.iter().for_each(|byte| self.byte(*byte));
    }

    /// Eight bytes, little-endian.
    pub(crate) fn number(&mut self, number: u64) {
        number.to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
    }

    pub(crate) fn finish(&self) -> u64 {
        self.0
    }
}

/// Compares the digests of seeds 0, 1, 2, ... with those in a file; with `UPDATE_DIGESTS=1` the file is written
/// instead.
pub(crate) fn compare(file: &Path, digests: &[u64]) {
    let mut text = String::new();
    for (seed, digest) in digests.iter().enumerate() {
        writeln!(text, "{seed} {digest:016x}").expect("a string can be written to");
    }
    if std::env::var_os("UPDATE_DIGESTS").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(file.parent().expect("a file has a directory")).expect("it can be made");
        return std::fs::write(file, text).expect("the digests can be written");
    }
    let expected = std::fs::read_to_string(file).expect("the digests can be read");
    let differing: Vec<&str> = text
        .lines()
        .zip(expected.lines())
        .filter(|(now, before)| now != before)
        .map(|(_, before)| before.split(' ').next().unwrap_or_default())
        .collect();
    assert!(differing.is_empty(), "other behaviour at the seeds {differing:?} of {}", file.display());
    assert_eq!(text.lines().count(), expected.lines().count(), "seeds of {}", file.display());
}
