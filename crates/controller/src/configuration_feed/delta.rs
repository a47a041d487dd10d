//! Computes and applies deltas between documents: sequences of ranges copied from the older one and inserted bytes.
//!
//! Documents are split after commas and closing brackets, so that a chunk of a JSON document is about one field.
//! Chunks that both documents contain are copied by their position in the older one. The documents are not parsed: the
//! result is the newer document byte for byte, whatever its content.

use super::digest;
use crate::message::{DeltaPart, MAX_FRAME_BYTES};
use std::collections::HashMap;
use std::ops::Range;

/// Why a delta cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// A part lies outside the older document.
    #[error("a part lies outside the older document")]
    OutsideBase,
    /// The result would be longer than a frame.
    #[error("the document would be longer than a frame")]
    TooLong,
    /// The result has another digest than expected.
    #[error("the digest of the result differs from the expected one")]
    DigestMismatch,
}

/// The parts from which [`apply`] builds `newer`, given `older`.
pub fn compute(older: &[u8], newer: &[u8]) -> Vec<DeltaPart> {
    let (old, new) = (chunks(older), chunks(newer));
    let mut positions = None;
    let mut parts = Parts::default();
    let mut expected = 0;
    for (index, chunk) in new.iter().enumerate() {
        let same = |position: usize, index: usize| {
            let (old, new) = (old.get(position), new.get(index));
            old.zip(new).is_some_and(|(old, new)| older[old.clone()] == newer[new.clone()])
        };
        let position = if same(expected, index) {
            Some(expected)
        } else if same(expected + 1, index + 1) {
            // A single chunk was replaced and the next ones match again, so no position has to be looked up.
            None
        } else {
            let positions = positions.get_or_insert_with(|| positions_of(older, &old));
            positions.get(&newer[chunk.clone()]).copied()
        };
        match position {
            Some(position) => {
                parts.copy(old[position].clone());
                expected = position + 1;
            }
            None => {
                parts.insert(&newer[chunk.clone()]);
                expected += 1;
            }
        }
    }
    parts.finish()
}

/// First position of each chunk.
fn positions_of<'a>(document: &'a [u8], chunks: &[Range<usize>]) -> HashMap<&'a [u8], usize> {
    let mut positions = HashMap::with_capacity(chunks.len());
    for (position, chunk) in chunks.iter().enumerate() {
        positions.entry(&document[chunk.clone()]).or_insert(position);
    }
    positions
}

/// Applies `parts` to `older`. Returns the resulting document if it has the digest `expected`.
///
/// # Errors
/// If a part lies outside `older`, or the result is too long or has another digest than `expected`.
pub fn apply(older: &[u8], parts: &[DeltaPart], expected: u64) -> Result<Vec<u8>, DeltaError> {
    let mut newer = Vec::with_capacity(older.len());
    for part in parts {
        match part {
            DeltaPart::Copied { offset, length } => {
                let start = *offset as usize;
                let end = start.checked_add(*length as usize).ok_or(DeltaError::OutsideBase)?;
                newer.extend_from_slice(older.get(start..end).ok_or(DeltaError::OutsideBase)?);
            }
            DeltaPart::Inserted(text) => newer.extend_from_slice(&text.bytes),
        }
        if newer.len() > MAX_FRAME_BYTES {
            return Err(DeltaError::TooLong);
        }
    }
    if digest(&newer) == expected { Ok(newer) } else { Err(DeltaError::DigestMismatch) }
}

fn chunks(document: &[u8]) -> Vec<Range<usize>> {
    let mut chunks = Vec::new();
    let mut start = 0;
    for chunk in document.split_inclusive(|byte| matches!(byte, b',' | b'}' | b']')) {
        chunks.push(start..start + chunk.len());
        start += chunk.len();
    }
    chunks
}

/// Collects the parts of a delta, and merges adjacent copied ranges and adjacent insertions.
#[derive(Default)]
struct Parts {
    parts: Vec<DeltaPart>,
    copied: Range<usize>,
    inserted: Vec<u8>,
}

impl Parts {
    fn copy(&mut self, range: Range<usize>) {
        self.end_inserted();
        if self.copied.end == range.start && !self.copied.is_empty() {
            self.copied.end = range.end;
            return;
        }
        self.end_copied();
        self.copied = range;
    }

    fn insert(&mut self, text: &[u8]) {
        self.end_copied();
        self.inserted.extend_from_slice(text);
    }

    fn end_copied(&mut self) {
        let copied = std::mem::take(&mut self.copied);
        if !copied.is_empty() {
            let (offset, length) = (copied.start as u32, copied.len() as u32);
            self.parts.push(DeltaPart::Copied { offset, length });
        }
    }

    fn end_inserted(&mut self) {
        if !self.inserted.is_empty() {
            self.parts.push(DeltaPart::Inserted(std::mem::take(&mut self.inserted).into()));
        }
    }

    fn finish(mut self) -> Vec<DeltaPart> {
        self.end_copied();
        self.end_inserted();
        self.parts
    }
}
