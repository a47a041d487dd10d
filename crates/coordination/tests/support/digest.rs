//! Digests of what a deterministic run did, compared with those in a committed file.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;

/// Start value and factor of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Set to write the digests instead of comparing them.
const UPDATE_VARIABLE: &str = "UPDATE_DIGESTS";

/// The 64-bit FNV-1a hash of everything that is put in.
pub(crate) struct Digest(u64);

impl Digest {
    pub(crate) fn new() -> Self {
        Self(FNV_OFFSET_BASIS)
    }

    pub(crate) fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    pub(crate) fn tag(&mut self, tag: u8) {
        self.raw(&[tag]);
    }

    pub(crate) fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    /// A time, in nanoseconds.
    pub(crate) fn time(&mut self, time: Duration) {
        self.raw(&time.as_nanos().to_le_bytes());
    }

    /// Bytes with their length.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    pub(crate) fn value(&self) -> u64 {
        self.0
    }
}

/// Compares digests with those in `tests/digests/<name>.txt`, one `key digest` a line.
pub(crate) fn check(name: &str, digests: &[(String, u64)]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/digests/{name}.txt"));
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        let text = digests.iter().fold(String::new(), |mut text, (key, digest)| {
            writeln!(text, "{key} {digest:016x}").expect("a string takes everything");
            text
        });
        std::fs::write(&path, text).expect("a writable file of digests");
    }
    let text = std::fs::read_to_string(&path).expect("the committed digests");
    let committed: BTreeMap<&str, &str> = text.lines().filter_map(|line| line.split_once(' ')).collect();
    assert_eq!(committed.len(), digests.len(), "number of digests in {name}");
    for (key, digest) in digests {
        let expected = committed.get(key.as_str()).copied();
        assert_eq!(Some(format!("{digest:016x}").as_str()), expected, "{name}: digest of {key} differs");
    }
}
