//! The difference between two documents, as parts of the older one and new bytes.
//!
//! Documents are cut behind commas and closing brackets, so that a piece of a JSON document is a member of an
//! item, its name or one of its other fields. Pieces that both documents hold are named by their place in the
//! older one. Nothing is parsed: the result is the newer document byte for byte, whatever it holds.

use super::digest;
use crate::message::{DeltaPart, MAX_FRAME_BYTES};
use std::collections::HashMap;
use std::ops::Range;

/// Why a difference does not make a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    #[error("a part lies outside the older document")]
    OutsideBase,
    #[error("the document would be longer than a frame")]
    TooLong,
    #[error("the result has another digest")]
    OtherDigest,
}

/// The parts that make `newer` of `older`.
pub fn between(older: &[u8], newer: &[u8]) -> Vec<DeltaPart> {
    let (old, new) = (pieces(older), pieces(newer));
    let mut places = None;
    let mut parts = Parts::default();
    let mut expected = 0;
    for (index, piece) in new.iter().enumerate() {
        let same = |place: usize, index: usize| {
            let (old, new) = (old.get(place), new.get(index));
            old.zip(new).is_some_and(|(old, new)| older[old.clone()] == newer[new.clone()])
        };
        let place = if same(expected, index) {
            Some(expected)
        } else if same(expected + 1, index + 1) {
            // One piece stands in the place of another; nothing has moved.
            None
        } else {
            let places = places.get_or_insert_with(|| places_of(older, &old));
            places.get(&newer[piece.clone()]).copied()
        };
        match place {
            Some(place) => {
                parts.keep(old[place].clone());
                expected = place + 1;
            }
            None => {
                parts.insert(&newer[piece.clone()]);
                expected += 1;
            }
        }
    }
    parts.finish()
}

/// Where each piece stands first.
fn places_of<'a>(document: &'a [u8], pieces: &[Range<usize>]) -> HashMap<&'a [u8], usize> {
    let mut places = HashMap::with_capacity(pieces.len());
    for (place, piece) in pieces.iter().enumerate() {
        places.entry(&document[piece.clone()]).or_insert(place);
    }
    places
}

/// The document that `parts` make of `older`, if it has the digest `expected`.
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
    if digest(&newer) == expected { Ok(newer) } else { Err(DeltaError::OtherDigest) }
}

fn pieces(document: &[u8]) -> Vec<Range<usize>> {
    let mut pieces = Vec::new();
    let mut start = 0;
    for piece in document.split_inclusive(|byte| matches!(byte, b',' | b'}' | b']')) {
        pieces.push(start..start + piece.len());
        start += piece.len();
    }
    pieces
}

/// Parts as they are found; neighbours are joined.
#[derive(Default)]
struct Parts {
    parts: Vec<DeltaPart>,
    kept: Range<usize>,
    inserted: Vec<u8>,
}

impl Parts {
    fn keep(&mut self, range: Range<usize>) {
        self.end_inserted();
        if self.kept.end == range.start && !self.kept.is_empty() {
            self.kept.end = range.end;
            return;
        }
        self.end_kept();
        self.kept = range;
    }

    fn insert(&mut self, text: &[u8]) {
        self.end_kept();
        self.inserted.extend_from_slice(text);
    }

    fn end_kept(&mut self) {
        let kept = std::mem::take(&mut self.kept);
        if !kept.is_empty() {
            let (offset, length) = (kept.start as u32, kept.len() as u32);
            self.parts.push(DeltaPart::Copied { offset, length });
        }
    }

    fn end_inserted(&mut self) {
        if !self.inserted.is_empty() {
            self.parts.push(DeltaPart::Inserted(std::mem::take(&mut self.inserted).into()));
        }
    }

    fn finish(mut self) -> Vec<DeltaPart> {
        self.end_kept();
        self.end_inserted();
        self.parts
    }
}
