//! Binary format of segments and records, and recovery of what is still readable if some of it is corrupt.
//! Reading takes time linear in the input, whatever it contains, and allocates only the list of what was
//! found.

use crc32fast::Hasher;

/// Size of a segment header, which is written twice.
pub const HEAD: usize = 64;
pub const HEADS: usize = 2 * HEAD;
/// Size of a record header.
pub const RECORD_HEADER: usize = 32;
/// Upper bound of a record's payload; a header with a larger length is invalid.
pub const MAX_PAYLOAD: usize = 16 * 1024 * 1024;
const MAGIC: &[u8; 7] = b"LNGTSEG";
const RECORD: [u8; 2] = [0xD5, 0x4C];
/// Format of segments without syncs.
pub const FORMAT: u8 = 2;
/// Format with marks that tell up to where records have been synced. A program that knows only the other
/// format must not read it.
pub const FORMAT_SYNCED: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub number: u64,
    /// Random for each segment, and part of its checksums: leftovers of another file are not taken for a part
    /// of this one.
    pub identity: u64,
    /// Sequence number of its first record.
    pub first: u64,
    /// The oldest segment that was needed when this one was created.
    pub oldest: u64,
    /// Whether its records were synced before any action depended on them, and marks in it tell up to where.
    pub synced: bool,
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    bytes[at..at + 8].try_into().map_or(0, u64::from_le_bytes)
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    bytes[at..at + 4].try_into().map_or(0, u32::from_le_bytes)
}

fn sum(identity: u64, bytes: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&identity.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

impl Head {
    /// Encodes both copies.
    pub fn bytes(&self) -> Vec<u8> {
        let mut one = Vec::with_capacity(HEADS);
        one.extend_from_slice(MAGIC);
        one.push(if self.synced { FORMAT_SYNCED } else { FORMAT });
        for field in [self.number, self.identity, self.first, self.oldest] {
            one.extend_from_slice(&field.to_le_bytes());
        }
        one.resize(HEAD - 4, 0);
        one.extend_from_slice(&crc32fast::hash(&one).to_le_bytes());
        one.extend_from_within(..HEAD);
        one
    }

    fn read(one: &[u8]) -> Result<Self, UnreadableSegment> {
        if one.len() < HEAD
            || !one.starts_with(MAGIC)
            || crc32fast::hash(&one[..HEAD - 4]) != read_u32(one, HEAD - 4)
        {
            return Err(UnreadableSegment::Corrupt);
        }
        let synced = match one[MAGIC.len()] {
            FORMAT => false,
            FORMAT_SYNCED => true,
            newer => return Err(UnreadableSegment::Format(newer)),
        };
        let [number, identity, first, oldest] = [8, 16, 24, 32].map(|at| read_u64(one, at));
        Ok(Head { number, identity, first, oldest, synced })
    }
}

/// Why a segment cannot be read at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableSegment {
    /// Both copies of the header are corrupt.
    Corrupt,
    /// A format that this program does not know.
    Format(u8),
}

/// Kind, sequence number and message of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Label {
    pub kind: u8,
    pub sequence: u64,
    pub message: u64,
}

/// Appends a record.
pub fn append_record(to: &mut Vec<u8>, identity: u64, label: Label, payload: &[u8]) {
    let at = to.len();
    to.extend_from_slice(&RECORD);
    to.extend_from_slice(&[label.kind, 0]);
    to.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    to.extend_from_slice(&label.sequence.to_le_bytes());
    to.extend_from_slice(&label.message.to_le_bytes());
    to.extend_from_slice(&sum(identity, payload).to_le_bytes());
    to.extend_from_slice(&sum(identity, &to[at..]).to_le_bytes());
    to.extend_from_slice(payload);
}

/// A record as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    pub label: Label,
    pub payload: &'a [u8],
    /// Whether the payload matches its checksum; the label always does.
    pub valid: bool,
}

/// What was found at one offset of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece<'a> {
    Record(Record<'a>),
    /// Not a record: a header is corrupt, or it was overwritten.
    Unknown {
        bytes: &'a [u8],
    },
    /// The end of a write that was cut short: a partial record, or space that was never written.
    Torn {
        bytes: &'a [u8],
    },
}

impl Piece<'_> {
    /// Size in the file, in bytes.
    pub fn size(&self) -> usize {
        match self {
            Piece::Record(record) => RECORD_HEADER + record.payload.len(),
            Piece::Unknown { bytes } | Piece::Torn { bytes } => bytes.len(),
        }
    }
}

/// A piece and its offset in the file.
pub type Found<'a> = (usize, Piece<'a>);

/// The record header at the start of `bytes`, if there is a valid one: its label, the payload's length and
/// checksum.
fn label(identity: u64, bytes: &[u8]) -> Option<(Label, usize, u32)> {
    let head = bytes.get(..RECORD_HEADER)?;
    if head[..2] != RECORD || sum(identity, &head[..RECORD_HEADER - 4]) != read_u32(head, RECORD_HEADER - 4) {
        return None;
    }
    let length = read_u32(head, 4) as usize;
    let label = Label { kind: head[2], sequence: read_u64(head, 8), message: read_u64(head, 16) };
    (length <= MAX_PAYLOAD).then_some((label, length, read_u32(head, 24)))
}

/// Reads the segment header from whichever copy is valid.
pub fn head(bytes: &[u8]) -> Result<Head, UnreadableSegment> {
    let second = bytes.get(HEAD..).unwrap_or_default();
    Head::read(bytes).or_else(|e| match e {
        UnreadableSegment::Corrupt => Head::read(second),
        newer => Err(newer),
    })
}

/// Reads a whole segment. Behind corrupt data, the next valid record header is searched byte by byte.
pub fn read(bytes: &[u8]) -> Result<(Head, Vec<Found<'_>>), UnreadableSegment> {
    let head = head(bytes)?;
    let mut found: Vec<Found> = Vec::new();
    let mut at = HEADS.min(bytes.len());
    while at < bytes.len() {
        let rest = &bytes[at..];
        if let Some((label, length, check)) = label(head.identity, rest) {
            let Some(payload) = rest.get(RECORD_HEADER..RECORD_HEADER + length) else {
                // The header is complete, the payload is not.
                found.push((at, Piece::Torn { bytes: rest }));
                break;
            };
            let valid = sum(head.identity, payload) == check;
            found.push((at, Piece::Record(Record { label, payload, valid })));
            at += RECORD_HEADER + length;
            continue;
        }
        let next = (1..rest.len())
            .find(|n| rest[*n..].starts_with(&RECORD) && self::label(head.identity, &rest[*n..]).is_some());
        let gap = &rest[..next.unwrap_or(rest.len())];
        let torn = next.is_none() && (gap.len() < RECORD_HEADER || gap.iter().all(|b| *b == 0));
        found.push((at, if torn { Piece::Torn { bytes: gap } } else { Piece::Unknown { bytes: gap } }));
        at += gap.len();
    }
    Ok((head, found))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng, rngs::SmallRng};

    fn segment(records: usize) -> (Vec<u8>, Vec<usize>) {
        let head = Head { number: 3, identity: 77, first: 10, oldest: 2, synced: false };
        let mut bytes = head.bytes();
        let mut ends = Vec::new();
        for n in 0..records {
            let label = Label { kind: 1, sequence: 10 + n as u64, message: n as u64 };
            append_record(&mut bytes, 77, label, &vec![n as u8; n * 7 % 50]);
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    /// Sequence numbers of the valid records.
    fn sound(bytes: &[u8]) -> Vec<u64> {
        let (_, found) = read(bytes).expect("a head is sound");
        let of = |f: &Found| match f.1 {
            Piece::Record(record) if record.valid => Some(record.label.sequence),
            _ => None,
        };
        found.iter().filter_map(of).collect()
    }

    #[test]
    fn what_is_written_is_read() {
        let (bytes, _) = segment(20);
        assert_eq!(sound(&bytes), (10..30).collect::<Vec<_>>());
        assert_eq!(
            read(&bytes).expect("read").0,
            Head { number: 3, identity: 77, first: 10, oldest: 2, synced: false }
        );
    }

    #[test]
    fn a_flipped_bit_costs_one_record_wherever_it_is() {
        let (bytes, _) = segment(12);
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut corrupt = bytes.clone();
                corrupt[at] ^= 1 << bit;
                let left = sound(&corrupt).len();
                assert!(left == 12 || (at >= HEADS && left == 11), "byte {at} bit {bit}: {left}");
            }
        }
    }

    #[test]
    fn a_tail_cut_anywhere_keeps_all_before_it() {
        let (bytes, ends) = segment(12);
        for cut in HEADS..bytes.len() {
            let whole = ends.iter().filter(|e| **e <= cut).count();
            let (_, found) = read(&bytes[..cut]).expect("the heads are sound");
            assert_eq!(sound(&bytes[..cut]).len(), whole, "{cut}");
            let is_corrupt = |piece: &Piece| match piece {
                Piece::Record(record) => !record.valid,
                Piece::Unknown { .. } => true,
                Piece::Torn { .. } => false,
            };
            let unknown = found.iter().any(|f| is_corrupt(&f.1));
            assert!(!unknown, "a torn tail is no damage: {cut}");
        }
    }

    #[test]
    fn a_block_of_another_segment_is_no_record() {
        let (mut bytes, ends) = segment(4);
        let mut stale = Vec::new();
        append_record(&mut stale, 78, Label { kind: 1, sequence: 12, message: 9 }, b"left from before");
        bytes.splice(ends[1]..ends[1], stale);
        assert_eq!(sound(&bytes), [10, 11, 12, 13]);
        let (_, found) = read(&bytes).expect("read");
        assert!(matches!(found[2].1, Piece::Unknown { .. }));
    }

    #[test]
    fn a_newer_format_is_told_from_a_spoilt_head() {
        let (mut bytes, _) = segment(1);
        bytes[7] = 9;
        let check = crc32fast::hash(&bytes[..HEAD - 4]).to_le_bytes();
        bytes[HEAD - 4..HEAD].copy_from_slice(&check);
        assert_eq!(read(&bytes), Err(UnreadableSegment::Format(9)));
        assert_eq!(read(&[0; 300]), Err(UnreadableSegment::Corrupt));
        assert_eq!(read(&[]), Err(UnreadableSegment::Corrupt));
    }

    /// For any input: no panic, and each byte behind the headers belongs to exactly one piece.
    #[test]
    fn any_bytes_are_read_in_pieces_that_cover_them() {
        let mut rng = SmallRng::seed_from_u64(5);
        for _ in 0..3000 {
            let (mut bytes, _) = segment(rng.random_range(0..8));
            for _ in 0..rng.random_range(0..6) {
                let at = rng.random_range(0..bytes.len());
                match rng.random_range(0..4) {
                    0 => bytes[at] = rng.random(),
                    1 => bytes.truncate(at.max(1)),
                    2 => {
                        let end = (at + 40).min(bytes.len());
                        bytes[at..end].fill(0);
                    }
                    _ => bytes.splice(at..at, [0xD5, 0x4C, 1, 0, 255, 255, 0, 0]).for_each(drop),
                }
            }
            let Ok((_, found)) = read(&bytes) else { continue };
            let mut at = HEADS.min(bytes.len());
            for (offset, piece) in found {
                assert_eq!(offset, at);
                at += piece.size();
            }
            assert_eq!(at, bytes.len());
        }
    }
}
