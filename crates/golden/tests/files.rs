//! Comparison with committed files: which differences fail.

use lanegate_golden::{Digest, assert_bytes, assert_digests, committed_bytes};
use std::path::{Path, PathBuf};

/// A directory like a crate's, with a file of digests `1`, `2` and a file of bytes `a`, `b`.
fn crate_directory(test: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    for (kind, text) in
        [("digests", "1 00000000000000ab\n2 00000000000000cd\n"), ("golden", "a 0102\nb ff\n")]
    {
        let folder = directory.join("tests").join(kind);
        std::fs::create_dir_all(&folder).expect("a directory");
        std::fs::write(folder.join("file.txt"), text).expect("a file");
    }
    directory
}

/// The message with which the comparison of these digests fails, if it fails.
fn failure(test: &str, digests: &[(&str, u64)]) -> Option<String> {
    let directory = crate_directory(test);
    let directory = directory.to_str().expect("a path of text");
    let compared = std::panic::catch_unwind(|| assert_digests(directory, "file", digests.iter().copied()));
    compared.err().and_then(|payload| payload.downcast_ref::<String>().cloned())
}

#[test]
fn equal_digests_pass() {
    assert_eq!(failure("equal", &[("1", 0xab), ("2", 0xcd)]), None);
}

#[test]
fn another_value_a_missing_one_a_new_one_and_another_order_fail() {
    let message = failure("value", &[("1", 0xab), ("2", 0xce)]).expect("a failure");
    assert!(message.contains(r#"["2"]"#), "{message}");
    assert!(failure("missing", &[("1", 0xab)]).is_some());
    assert!(failure("new", &[("1", 0xab), ("2", 0xcd), ("3", 0)]).is_some());
    assert!(failure("order", &[("2", 0xcd), ("1", 0xab)]).is_some());
}

#[test]
fn bytes_are_compared_and_read_back() {
    let directory = crate_directory("bytes");
    let directory = directory.to_str().expect("a path of text");
    assert_bytes(directory, "file", [("a", vec![1, 2]), ("b", vec![255])]);
    assert_eq!(committed_bytes(directory, "file")["a"], [1, 2]);
    let compared =
        std::panic::catch_unwind(|| assert_bytes(directory, "file", [("a", vec![1, 2]), ("b", vec![254])]));
    assert!(compared.is_err());
}

#[test]
fn a_digest_is_the_64_bit_fnv_1a_hash() {
    let mut digest = Digest::default();
    assert_eq!(digest.value(), 0xcbf2_9ce4_8422_2325);
    digest.raw(b"foobar");
    assert_eq!(digest.value(), 0x8594_4171_f739_67e8);
}
