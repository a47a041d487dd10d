//! Numbered segments of records in one folder: written at the end of the newest, dropped oldest first, and read
//! again whole after whatever has happened to them.

use super::disk::Disk;
use super::frame::{self, Head, Label, Piece, Unread};
use std::collections::VecDeque;
use std::fmt;
use std::io;

/// A record that tells that the segment with its message's number is needed no more.
pub(crate) const DROPPED: u8 = 0xF0;
const ASIDE: &str = "aside-";

fn name(number: u64) -> String {
    format!("{number:016x}")
}

fn number(name: &str) -> Option<u64> {
    (name.len() == 16).then(|| u64::from_str_radix(name, 16).ok()).flatten()
}

/// What recovery comes upon, in the order in which it was written.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Read<'a> {
    /// What follows stands in that segment.
    Segment(u64),
    Record {
        label: Label,
        payload: &'a [u8],
    },
    /// A record of which only the label passes its check.
    Spoilt {
        label: Label,
        payload: &'a [u8],
    },
    /// Records are missing here; nobody knows whose.
    Missing,
}

/// Something that is not as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    pub(crate) file: String,
    pub(crate) offset: usize,
    pub(crate) length: usize,
    pub(crate) what: &'static str,
    /// The bytes are kept in a file of their own.
    pub(crate) aside: bool,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Damage { file, offset, length, what, aside } = self;
        let kept = if *aside { "kept aside" } else { "not kept: no room" };
        write!(f, "{file} at {offset}, {length} bytes: {what}; {kept}")
    }
}

/// A segment that is there.
struct Kept {
    number: u64,
    size: u64,
}

struct Open<F> {
    number: u64,
    identity: u64,
    file: F,
    size: u64,
}

pub(crate) struct Segments<D: Disk> {
    disk: D,
    /// Sealed ones, oldest first.
    sealed: VecDeque<Kept>,
    open: Option<Open<D::File>>,
    /// The number of the open one, or of the next.
    number: u64,
    /// Of the next record that is written.
    sequence: u64,
    /// At this size a segment is sealed.
    size: u64,
    identities: u64,
    /// Records not yet in a file: labels with the ends of their payloads.
    pending: Vec<(u8, u64, usize)>,
    payloads: Vec<u8>,
    space: Vec<u8>,
}

/// How a folder is read.
pub(crate) struct Plan {
    /// At this size a segment is sealed.
    pub(crate) size: u64,
    /// Feeds the identities of segments; new with each start.
    pub(crate) seed: u64,
    /// Bytes that may be kept aside.
    pub(crate) aside: u64,
}

fn unusable(file: &str, why: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("journal/{file}: {why}"))
}

/// Scrambles a number: identities of segments have nothing in common. (SplitMix64's finish.)
fn scramble(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

impl<D: Disk> Segments<D> {
    /// Reads all that is there, oldest first, and tells what was damaged. Changes no segment; those that were
    /// dropped and not yet removed go now. Writing begins in a new one.
    pub(crate) fn open(disk: D, plan: &Plan, mut read: impl FnMut(Read)) -> io::Result<(Self, Vec<Damage>)> {
        let names = disk.list()?;
        let mut numbers: Vec<u64> = names.iter().filter_map(|n| number(n)).collect();
        numbers.sort_unstable();
        // A format that is not known is left untouched, before anything else is done.
        for n in &numbers {
            if let Err(Unread::Format(format)) = frame::head(&disk.read_head(&name(*n), frame::HEADS)?) {
                let why =
                    format!("format {format}, this program knows {}; nothing was changed", frame::FORMAT);
                return Err(unusable(&name(*n), why));
            }
        }
        let needed = Self::needed(&disk, &numbers)?;
        let mut aside = Aside { disk: &disk, names: &names, left: plan.aside };
        let (mut damage, mut sealed, mut next) = (Vec::new(), VecDeque::new(), None);
        let mut expected = needed.filter(|_| !numbers.is_empty());
        for n in numbers.iter().copied() {
            let file = name(n);
            if needed.is_some_and(|needed| n < needed) {
                disk.remove(&file)?;
                continue;
            }
            for vanished in expected.map_or(n, |e| e.min(n))..n {
                let (file, what) = (name(vanished), "the segment has vanished");
                damage.push(Damage { file, offset: 0, length: 0, what, aside: false });
                read(Read::Missing);
            }
            expected = Some(n + 1);
            let bytes = disk.read(&file)?;
            sealed.push_back(Kept { number: n, size: bytes.len() as u64 });
            read(Read::Segment(n));
            match frame::read(&bytes) {
                Ok((head, _)) if head.number != n => {
                    // A copy of another: what it holds stands there too.
                    damage.push(aside.keep(&file, 0, &bytes, "a segment under another's number"));
                    read(Read::Missing);
                }
                Ok((head, found)) => {
                    let last = numbers.last() == Some(&n);
                    Self::replay(head, &found, &mut next, last, &mut read, |at, bytes, what| {
                        damage.push(aside.keep(&file, at, bytes, what));
                    });
                }
                // Made, and its first write was cut short. If it held more, the sequence numbers tell.
                Err(_) if bytes.len() < frame::HEADS => {}
                Err(_) => {
                    damage.push(aside.keep(&file, 0, &bytes, "no head of the segment is sound"));
                    read(Read::Missing);
                }
            }
        }
        let number = numbers.last().map_or(1, |n| n + 1);
        let segments = Segments {
            disk,
            sealed,
            open: None,
            number,
            sequence: next.unwrap_or(1),
            size: plan.size,
            identities: plan.seed,
            pending: Vec::new(),
            payloads: Vec::new(),
            space: Vec::new(),
        };
        Ok((segments, damage))
    }

    /// The oldest segment that is still needed, as the newest that can be read tells it.
    fn needed(disk: &D, numbers: &[u64]) -> io::Result<Option<u64>> {
        for n in numbers.iter().rev() {
            let bytes = disk.read(&name(*n))?;
            let Ok((head, found)) = frame::read(&bytes) else { continue };
            if head.number != *n {
                continue;
            }
            let dropped = found.iter().filter_map(|(_, piece)| match piece {
                Piece::Record { label, .. } if label.kind == DROPPED => Some(label.message + 1),
                _ => None,
            });
            return Ok(dropped.chain([head.oldest]).max());
        }
        Ok(None)
    }

    /// One segment: its records to `read`, what is spoilt to `damaged`.
    fn replay(
        head: Head,
        found: &[frame::Found],
        next: &mut Option<u64>,
        last: bool,
        read: &mut impl FnMut(Read),
        mut damaged: impl FnMut(usize, &[u8], &'static str),
    ) {
        // The end of the segment before is lost, if this one begins later than that one ended.
        if next.is_some_and(|n| head.first > n) {
            read(Read::Missing);
        }
        *next = Some(next.map_or(head.first, |n| n.max(head.first)));
        for (n, (at, piece)) in found.iter().enumerate() {
            match *piece {
                Piece::Record { label, payload } | Piece::Spoilt { label, payload } => {
                    let expected = next.unwrap_or(label.sequence);
                    // Written once more after a disk that had failed, though it was there.
                    if label.sequence < expected {
                        continue;
                    }
                    if label.sequence > expected {
                        read(Read::Missing);
                    }
                    *next = Some(label.sequence + 1);
                    if let Piece::Record { .. } = piece {
                        if label.kind != DROPPED {
                            read(Read::Record { label, payload });
                        }
                    } else {
                        damaged(*at, payload, "a record fails its check");
                        if label.kind != DROPPED {
                            read(Read::Spoilt { label, payload });
                        }
                    }
                }
                Piece::Unknown { bytes } => {
                    damaged(*at, bytes, "no record");
                    // Behind it a sequence number tells what is missing; at the very end nothing does.
                    if last && n + 1 == found.len() {
                        read(Read::Missing);
                    }
                }
                Piece::Torn { .. } => {}
            }
        }
    }

    /// The number of the segment to which the next record goes.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Bytes in all segments.
    pub(crate) fn total(&self) -> u64 {
        self.sealed.iter().map(|k| k.size).sum::<u64>() + self.open.as_ref().map_or(0, |o| o.size)
    }

    /// Bytes that wait to be written.
    pub(crate) fn waiting(&self) -> u64 {
        (self.payloads.len() + self.pending.len() * frame::FRAME) as u64
    }

    /// The oldest segment that is not written to any more.
    pub(crate) fn oldest(&self) -> Option<u64> {
        self.sealed.front().map(|k| k.number)
    }

    /// Adds a record; it is on disk after the next flush that succeeds.
    pub(crate) fn append(&mut self, kind: u8, message: u64, payload: &[u8]) {
        self.payloads.extend_from_slice(payload);
        self.pending.push((kind, message, self.payloads.len()));
    }

    /// Writes what waits. After an error it still waits, and goes first the next time.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let mut space = std::mem::take(&mut self.space);
        space.clear();
        let written = self.write(&mut space);
        // What one large batch took is not kept for all time.
        space.shrink_to(SPACE_KEPT);
        self.space = space;
        written?;
        self.sequence += self.pending.len() as u64;
        self.pending.clear();
        self.payloads.clear();
        self.payloads.shrink_to(SPACE_KEPT);
        if self.open.as_ref().is_some_and(|o| o.size >= self.size) {
            self.seal();
        }
        Ok(())
    }

    fn write(&mut self, space: &mut Vec<u8>) -> io::Result<()> {
        let mut open = match self.open.take() {
            Some(open) => open,
            None => {
                let identity = scramble(self.identities ^ scramble(self.number));
                let oldest = self.oldest().unwrap_or(self.number);
                let head = Head { number: self.number, identity, first: self.sequence, oldest };
                space.extend_from_slice(&head.bytes());
                let file = match self.disk.create(&name(self.number)) {
                    Ok(file) => file,
                    Err(e) => {
                        // Whatever stands there, it is not this process's.
                        self.number += u64::from(e.kind() == io::ErrorKind::AlreadyExists);
                        return Err(e);
                    }
                };
                Open { number: self.number, identity, file, size: 0 }
            }
        };
        let mut from = 0;
        for (n, (kind, message, end)) in self.pending.iter().enumerate() {
            let label = Label { kind: *kind, sequence: self.sequence + n as u64, message: *message };
            frame::put(space, open.identity, label, &self.payloads[from..*end]);
            from = *end;
        }
        let result = self.disk.write(&mut open.file, space);
        if result.is_ok() {
            open.size += space.len() as u64;
            self.open = Some(open);
        } else if open.size > 0 && self.disk.cut(&mut open.file, open.size).is_ok() {
            self.open = Some(open);
        } else {
            // Part of it may stand there: the records are written anew in the next one.
            let size = open.size + space.len() as u64;
            self.sealed.push_back(Kept { number: open.number, size });
            self.number = open.number + 1;
        }
        result
    }

    fn seal(&mut self) {
        if let Some(open) = self.open.take() {
            self.sealed.push_back(Kept { number: open.number, size: open.size });
            self.number = open.number + 1;
        }
    }

    /// Drops the oldest segment; all of it that lives has been appended anew.
    pub(crate) fn drop_oldest(&mut self) -> io::Result<()> {
        let Some(oldest) = self.oldest() else { return Ok(()) };
        self.append(DROPPED, oldest, &[]);
        self.flush()?;
        self.sealed.pop_front();
        match self.disk.remove(&name(oldest)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

/// Room that is kept for the next batch.
const SPACE_KEPT: usize = 256 * 1024;

/// Keeps what is damaged.
struct Aside<'a, D: Disk> {
    disk: &'a D,
    names: &'a [String],
    left: u64,
}

impl<D: Disk> Aside<'_, D> {
    fn keep(&mut self, file: &str, offset: usize, bytes: &[u8], what: &'static str) -> Damage {
        let to = format!("{ASIDE}{file}-{offset}");
        let size = bytes.len().next_multiple_of(512) as u64;
        // Found at an earlier start already, it stands there.
        let mut aside = self.names.contains(&to);
        if size <= self.left {
            self.left -= size;
            if !aside {
                let kept = self.disk.create(&to).and_then(|mut f| self.disk.write(&mut f, bytes));
                aside = kept.is_ok();
            }
        }
        Damage { file: file.to_owned(), offset, length: bytes.len(), what, aside }
    }
}
