//! Reads arbitrary bytes as journal segments: completely, in pieces that cover them, without a panic, and in time
//! and memory linear in their length.

#![no_main]

use libfuzzer_sys::fuzz_target;
use std::path::PathBuf;
use lanegate_courier::node::journal;
use lanegate_courier::store::frame::{self, HEADS, Head, Label};

/// The first byte selects how the rest is used: as it is, or as payloads of records with valid checksums.
fn segment(data: &[u8]) -> Vec<u8> {
    let Some((how, rest)) = data.split_first() else { return Vec::new() };
    let head = Head { number: 1, identity: 9, first: 1, oldest: 1, synced: how & 2 != 0 };
    match how & 1 {
        0 => [&head.bytes()[..], rest].concat(),
        _ => {
            let mut bytes = head.bytes();
            for (n, piece) in rest.chunks(1 + usize::from(how >> 2)).enumerate() {
                let (kind, payload) = piece.split_first().map_or((0, piece), |(k, p)| (k % 8, p));
                let message = u64::from(payload.first().copied().unwrap_or_default() % 4);
                frame::append_record(&mut bytes, 9, Label { kind, sequence: n as u64 + 1, message }, payload);
            }
            bytes
        }
    }
}

/// Creates a journal folder with this single segment.
fn folder(bytes: &[u8]) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fuzz-journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("0000000000000001"), bytes).expect("written");
    folder
}

fuzz_target!(|data: &[u8]| {
    for bytes in [data.to_vec(), segment(data)] {
        if let Ok((_, found)) = frame::read(&bytes) {
            let covered: usize = found.iter().map(|(_, piece)| piece.size()).sum();
            assert_eq!(covered, bytes.len() - HEADS.min(bytes.len()));
        }
        if let Ok(found) = journal::read(&folder(&bytes)) {
            // No more is held than was there: each attempt that is not written down was preceded by one that is.
            let attempts: usize = found.live.values().map(|live| live.attempts.len()).sum();
            assert!(attempts <= 17 * bytes.len() / frame::RECORD_HEADER + found.live.len());
        }
    }
});
