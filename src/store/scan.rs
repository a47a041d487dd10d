//! Reads a folder of segments, oldest first, whatever state it is in. Changes nothing in it.

use super::disk::Disk;
use super::frame::{self, Found, Head, Label, Piece, Record, UnreadableSegment};
use super::safeguard::{Safeguard, is_enabled};
use std::fmt;
use std::io;
use std::ops::Range;

/// Kind of a record that marks a segment as no longer needed; its message field holds the segment's number.
pub const DROPPED: u8 = 0xF0;
/// Kind of a record that marks all records before it as synced. It repeats the sequence number of the record
/// behind it, so that a lost mark leaves no gap.
pub const SYNCED: u8 = 0xF1;

pub fn name(number: u64) -> String {
    format!("{number:016x}")
}

/// Name of a segment whose first batch is not on disk yet: no action depends on it. Each such name is used
/// once only, as a rename may reach the disk without the removal before it.
pub fn unnamed(number: u64, identity: u64) -> String {
    format!("{number:016x}-{identity:016x}{UNNAMED}")
}

pub fn is_unnamed(name: &str) -> bool {
    let name = name.strip_suffix(UNNAMED).and_then(|name| name.split_once('-'));
    name.is_some_and(|(n, identity)| number(n).is_some() && number(identity).is_some())
}

const UNNAMED: &str = ".new";

fn number(name: &str) -> Option<u64> {
    (name.len() == 16).then(|| u64::from_str_radix(name, 16).ok()).flatten()
}

/// What a scan reports, in the order in which it was written.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// What follows is in this segment.
    Segment(u64),
    Record(Record<'a>),
    /// Records are missing here; it is not known of which messages.
    Missing,
}

/// A part of a file that does not hold what was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub file: String,
    pub offset: usize,
    pub length: usize,
    pub what: &'static str,
    /// A copy of the bytes was quarantined.
    pub quarantined: bool,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Damage { file, offset, length, what, quarantined } = self;
        write!(
            f,
            "{file} at {offset}, {length} bytes: {what}{}",
            if *quarantined { "; copy quarantined" } else { "" }
        )
    }
}

/// A segment that is no longer written to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSegment {
    pub number: u64,
    pub size: u64,
    /// Sequence numbers of its records, all of which are intact; None if one is known not to be.
    pub intact: Option<Range<u64>>,
}

/// The result of a scan, besides the records.
pub struct Scan {
    pub names: Vec<String>,
    /// Oldest first.
    pub sealed: Vec<SealedSegment>,
    pub damage: Vec<Damage>,
    /// The end of the last write, if a power loss cut it short. It had not been acknowledged.
    pub cut: Option<Damage>,
    /// Segments that were dropped but not removed yet.
    pub stale: Vec<u64>,
    /// Segments written without syncs.
    pub unsynced: Vec<u64>,
    /// Records that may not have been synced, starting at sequence number `next - tail.len()`.
    pub tail: Vec<(Label, Vec<u8>)>,
    /// The number of the next segment, and the sequence number of the next record.
    pub number: u64,
    pub next: u64,
    /// Bytes that may still be quarantined.
    pub room: u64,
}

pub fn unusable(file: &str, why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("journal/{file}: {why}"))
}

/// Which records of a segment count.
struct Extent {
    /// From this sequence number on, records are in a later segment; what this one still holds of them is
    /// ignored.
    until: u64,
    /// All records before this one have been synced: if one is missing, it was lost; records from here on
    /// that are missing were never acknowledged. None if the segment is not synced: then every record was
    /// acknowledged once written.
    synced: Option<u64>,
}

/// The pieces of a segment that count, and the offset at which the last write was cut short.
struct Part<'a> {
    pieces: &'a [Found<'a>],
    cut: Option<usize>,
}

impl Extent {
    fn of<'a>(&self, head: Head, found: &'a [Found<'a>]) -> Part<'a> {
        let mut next = head.first;
        for (n, (at, piece)) in found.iter().enumerate() {
            let part = |cut| Part { pieces: &found[..n], cut };
            if next >= self.until {
                return part(None);
            }
            let open = self.synced.is_some_and(|synced| next >= synced);
            match piece {
                Piece::Record(Record { label, valid, .. }) if !open || (*valid && label.sequence <= next) => {
                    next = next.max(label.sequence + u64::from(label.kind != SYNCED));
                }
                _ if open => return part(Some(*at)),
                _ => {}
            }
        }
        Part { pieces: found, cut: None }
    }
}

/// Labels of the valid records of one kind; used for the store's own kinds.
fn own<'a>(found: &'a [Found<'a>], kind: u8) -> impl Iterator<Item = Label> {
    found.iter().filter_map(move |(_, piece)| match piece {
        Piece::Record(Record { label, valid: true, .. }) if label.kind == kind => Some(*label),
        _ => None,
    })
}

/// The segments of a folder, by their headers.
struct Layout {
    numbers: Vec<u64>,
    heads: Vec<Option<Head>>,
    /// Index of the newest segment that can hold a record.
    last: Option<usize>,
}

impl Layout {
    fn of(disk: &impl Disk, names: &[String]) -> io::Result<Self> {
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| number(n)).collect();
        numbers.sort_unstable();
        let (mut heads, mut last) = (Vec::new(), None);
        for (place, n) in numbers.iter().enumerate() {
            let bytes = disk.read_head(&name(*n), frame::HEADS)?;
            match frame::head(&bytes) {
                Err(UnreadableSegment::Format(format)) => {
                    let newest = frame::FORMAT_SYNCED;
                    let why = format!("format {format}, this program knows {newest}; nothing was changed");
                    return Err(unusable(&name(*n), &why));
                }
                head => heads.push(head.ok().filter(|head| head.number == *n)),
            }
            // A segment whose first write was cut short does not end the one before it.
            if bytes.len() >= frame::HEADS || heads[place].is_some() {
                last = Some(place);
            }
        }
        Ok(Layout { numbers, heads, last })
    }

    fn extent(&self, place: usize, head: Head, found: &[Found]) -> Extent {
        let later = self.heads[place + 1..].iter().flatten().map(|h| h.first);
        let marks = own(found, SYNCED).map(|label| label.sequence);
        let synced = || marks.max().unwrap_or(0).max(head.first);
        let open = head.synced && self.last == Some(place) && is_enabled(Safeguard::IgnoreBehindCut);
        let until = later.min().filter(|_| is_enabled(Safeguard::LaterSegmentWins));
        Extent { until: until.unwrap_or(u64::MAX), synced: open.then(synced) }
    }

    /// The oldest segment that is still needed, according to the newest readable segment; and the contents of
    /// the latter.
    fn needed(&self, disk: &impl Disk) -> io::Result<Needed> {
        for (place, n) in self.numbers.iter().enumerate().rev() {
            let Some(head) = self.heads[place] else { continue };
            let bytes = disk.read(&name(*n))?;
            let Ok((_, found)) = frame::read(&bytes) else { continue };
            let part = self.extent(place, head, &found).of(head, &found);
            let pieces = if is_enabled(Safeguard::DropWithWholeBatch) { part.pieces } else { &found };
            let dropped = own(pieces, DROPPED).map(|label| label.message + 1);
            return Ok(Needed { from: dropped.chain([head.oldest]).max(), newest: Some((*n, bytes)) });
        }
        Ok(Needed::default())
    }
}

#[derive(Default)]
struct Needed {
    from: Option<u64>,
    /// The number and the contents of the newest readable segment.
    newest: Option<(u64, Vec<u8>)>,
}

struct Reader<F> {
    scan: Scan,
    /// The sequence number of the next record, once known.
    next: Option<u64>,
    read: F,
}

impl<F: FnMut(Read)> Reader<F> {
    fn damaged(&mut self, n: u64, offset: usize, length: usize, what: &'static str) {
        self.scan.damage.push(Damage { file: name(n), offset, length, what, quarantined: false });
    }

    /// Reads a segment with a valid header.
    fn segment(&mut self, n: u64, head: Head, found: &[Found], extent: &Extent, last: bool) {
        let part = extent.of(head, found);
        let damages = self.scan.damage.len();
        // If this segment starts later than the previous one ended, the end of the previous one is lost.
        if self.next.is_some_and(|next| head.first > next) {
            (self.read)(Read::Missing);
        }
        let mut next = self.next.map_or(head.first, |next| next.max(head.first));
        for (place, (at, piece)) in part.pieces.iter().enumerate() {
            match *piece {
                Piece::Record(record) => {
                    let Record { label, payload, valid } = record;
                    // Written a second time after a disk error, although the first write had succeeded.
                    if label.sequence < next {
                        continue;
                    }
                    if label.sequence > next {
                        (self.read)(Read::Missing);
                    }
                    next = label.sequence;
                    if label.kind == SYNCED {
                        continue;
                    }
                    next += 1;
                    if !valid {
                        self.damaged(n, *at, payload.len(), "a record fails its checksum");
                    }
                    if label.kind != DROPPED {
                        (self.read)(Read::Record(record));
                    }
                    if valid && extent.synced.is_some_and(|synced| label.sequence >= synced) {
                        self.scan.tail.push((label, payload.to_vec()));
                    }
                }
                Piece::Unknown { bytes } => {
                    self.damaged(n, *at, bytes.len(), "not a valid record");
                    // Behind a gap, the next sequence number shows whether records are missing; at the very
                    // end nothing does.
                    if last && place + 1 == found.len() {
                        (self.read)(Read::Missing);
                    }
                }
                Piece::Torn { .. } => {}
            }
        }
        if let Some(offset) = part.cut {
            let end = found.last().map_or(offset, |(at, piece)| at + piece.size());
            let torn = matches!(found.last(), Some((at, Piece::Torn { .. })) if *at == offset);
            let what = "the last write was cut short by a power loss; it had not been acknowledged";
            self.scan.cut = (!torn).then(|| Damage {
                file: name(n),
                offset,
                length: end - offset,
                what,
                quarantined: false,
            });
        }
        self.next = Some(next);
        let sealed = &mut self.scan.sealed;
        if let Some(sealed) = sealed.last_mut().filter(|_| self.scan.damage.len() == damages) {
            sealed.intact = Some(head.first..next);
        }
    }
}

/// Reads all segments, oldest first, and reports damage.
pub fn scan(disk: &impl Disk, read: impl FnMut(Read)) -> io::Result<Scan> {
    let names = disk.list()?;
    // An unknown format is an error before anything else is done.
    let layout = Layout::of(disk, &names)?;
    let Needed { from: needed, mut newest } = layout.needed(disk)?;
    let number = layout.numbers.last().map_or(1, |n| n + 1);
    let scan = Scan {
        names,
        sealed: Vec::new(),
        damage: Vec::new(),
        cut: None,
        stale: Vec::new(),
        unsynced: Vec::new(),
        tail: Vec::new(),
        number,
        next: 1,
        room: 0,
    };
    let mut reader = Reader { scan, next: None, read };
    let mut expected = needed.filter(|_| !layout.numbers.is_empty());
    for (place, n) in layout.numbers.iter().copied().enumerate() {
        if needed.is_some_and(|needed| n < needed) {
            reader.scan.stale.push(n);
            continue;
        }
        for vanished in expected.map_or(n, |e| e.min(n))..n {
            reader.damaged(vanished, 0, 0, "the segment file has vanished");
            (reader.read)(Read::Missing);
        }
        expected = Some(n + 1);
        let bytes = match newest.take_if(|(number, _)| *number == n) {
            Some((_, bytes)) => bytes,
            None => disk.read(&name(n))?,
        };
        reader.scan.sealed.push(SealedSegment { number: n, size: bytes.len() as u64, intact: None });
        (reader.read)(Read::Segment(n));
        match (layout.heads[place], frame::read(&bytes)) {
            (Some(head), Ok((_, found))) => {
                let extent = layout.extent(place, head, &found);
                reader.segment(n, head, &found, &extent, layout.last == Some(place));
                if !head.synced {
                    reader.scan.unsynced.push(n);
                }
            }
            (None, Ok(_)) => {
                // A copy of another segment, which holds the same records.
                reader.damaged(
                    n,
                    0,
                    bytes.len(),
                    "the file name and the segment number in the header differ",
                );
                (reader.read)(Read::Missing);
            }
            // Created, but its first write was cut short. If it held more, gaps in the sequence numbers show
            // it.
            (_, Err(_)) if bytes.len() < frame::HEADS => {}
            (_, Err(_)) => {
                reader.damaged(n, 0, bytes.len(), "both copies of the segment header are corrupt");
                (reader.read)(Read::Missing);
            }
        }
    }
    let Reader { mut scan, next, .. } = reader;
    scan.next = next.unwrap_or(1);
    Ok(scan)
}

/// Whether a sealed segment still holds all its records.
pub fn is_intact(bytes: &[u8], number: u64, whole: &Range<u64>) -> bool {
    let Ok((head, found)) = frame::read(bytes) else { return false };
    let mut next = whole.start;
    for (_, piece) in found {
        match piece {
            Piece::Record(Record { label, valid: true, .. })
                if label.kind != SYNCED && label.sequence == next =>
            {
                next += 1;
            }
            _ => {}
        }
    }
    head.number == number && next >= whole.end
}
