//! A log of numbered segments in one folder: records are appended to the newest, the oldest is dropped first.

use super::Durability;
use super::disk::Disk;
use super::frame::{self, Head, Label};
use super::safeguard::{Safeguard, is_enabled};
use super::scan::{self, DROPPED, Damage, Read, SYNCED, Scan, SealedSegment, name, unnamed, unusable};
use std::collections::VecDeque;
use std::io;

/// Prefix of quarantine files: copies of damaged parts, named by file and offset.
const QUARANTINE_PREFIX: &str = "aside-";
/// Most buffer capacity that is kept for the next batch.
const MAX_KEPT_BUFFER: usize = 256 * 1024;

/// Records to be written together: for each its kind, its message and the end of its payload.
#[derive(Default)]
pub struct Batch {
    records: Vec<(u8, u64, usize)>,
    payloads: Vec<u8>,
    /// The oldest segment is dropped with this batch, which repeats all its live messages.
    drops: bool,
}

impl Batch {
    pub fn append(&mut self, kind: u8, message: u64, payload: &[u8]) {
        self.payloads.extend_from_slice(payload);
        self.records.push((kind, message, self.payloads.len()));
    }

    pub fn drop_oldest(&mut self) {
        self.drops = true;
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && !self.drops
    }

    /// Bytes that it will take on disk.
    pub fn size(&self) -> u64 {
        (self.payloads.len() + self.records.len() * frame::RECORD_HEADER) as u64
    }

    fn clear(&mut self) {
        self.records.clear();
        self.payloads.clear();
        self.payloads.shrink_to(MAX_KEPT_BUFFER);
        self.drops = false;
    }
}

struct OpenSegment<F> {
    number: u64,
    identity: u64,
    file: F,
    size: u64,
    /// Sequence number of its first record.
    first: u64,
}

/// The log's status after a commit, whether that succeeded or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The segment that holds the last committed batch.
    pub segment: u64,
    /// Bytes in all segments; and, in `waiting`, bytes of records that a failed commit has left pending.
    pub total: u64,
    pub waiting: u64,
    /// The oldest sealed segment.
    pub oldest: Option<u64>,
    /// Segments that the commit has sealed.
    pub sealed: Vec<SealedSegment>,
    /// Syncs that the commit took.
    pub syncs: u32,
}

/// How a folder is opened.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// A segment is sealed once it reaches this size.
    pub size: u64,
    /// Seeds the identities of segments; new with each start.
    pub seed: u64,
    /// Bytes that may be quarantined.
    pub quarantine_room: u64,
    pub durability: Durability,
    /// Treat damage as an error and change nothing.
    pub refuse_damage: bool,
}

pub struct Segments<D: Disk> {
    disk: D,
    plan: Plan,
    /// Oldest first.
    sealed: VecDeque<SealedSegment>,
    open: Option<OpenSegment<D::File>>,
    /// The number of the open segment, or of the next one.
    number: u64,
    /// Sequence number of the next record.
    sequence: u64,
    /// Records that are not in a file, or not known to be.
    pending: Batch,
    /// Dropped segments, which are removed once their live messages are on disk elsewhere.
    stale: Vec<u64>,
    status: Status,
    /// Segments created by this process.
    made: u64,
    buffer: Vec<u8>,
}

/// Mixes the bits of a number, so that identities of segments are unrelated (SplitMix64's finalizer).
fn mix_bits(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

impl<D: Disk> Segments<D> {
    /// Reads all segments and quarantines what is damaged. Writing starts in a new segment, with the records
    /// that were read but may not have been synced.
    pub fn open(disk: D, plan: Plan, read: impl FnMut(Read)) -> io::Result<(Self, Scan)> {
        let mut scan = scan::scan(&disk, read)?;
        if let Some(first) = scan.damage.first().filter(|_| plan.refuse_damage) {
            let why = format!("{} damaged places, first {first}; nothing was changed", scan.damage.len());
            return Err(unusable("", &why));
        }
        for n in scan.names.iter().filter(|n| scan::is_unnamed(n)) {
            disk.remove(n)?;
        }
        if plan.durability.syncs() {
            for n in &scan.unsynced {
                disk.sync_existing(&name(*n))?;
            }
            disk.sync_folder()?;
        }
        scan.room = plan.quarantine_room;
        for damage in scan.damage.iter_mut().chain(&mut scan.cut) {
            quarantine(&disk, &scan.names, &mut scan.room, damage);
        }
        let mut pending = Batch::default();
        for (label, payload) in scan.tail.iter().filter(|_| is_enabled(Safeguard::RewriteUnsyncedTail)) {
            pending.append(label.kind, label.message, payload);
        }
        let mut segments = Segments {
            disk,
            plan,
            sealed: scan.sealed.iter().cloned().collect(),
            open: None,
            number: scan.number,
            sequence: scan.next - pending.records.len() as u64,
            pending,
            stale: std::mem::take(&mut scan.stale),
            status: Status::default(),
            made: 0,
            buffer: Vec::new(),
        };
        segments.update_status();
        Ok((segments, scan))
    }

    pub fn status(&self) -> Status {
        self.status.clone()
    }

    fn update_status(&mut self) {
        let open = self.open.as_ref().map_or(0, |o| o.size);
        self.status.total = self.sealed.iter().map(|k| k.size).sum::<u64>() + open;
        self.status.waiting = self.pending.size();
        self.status.oldest = self.sealed.front().map(|k| k.number);
    }

    /// Writes the batch to disk, behind the records that an earlier commit has failed to write. After an
    /// error all of them stay pending here and go first in the next commit. The batch is left empty.
    pub fn commit(&mut self, batch: &mut Batch) -> (io::Result<()>, Status) {
        self.status.sealed.clear();
        self.status.syncs = 0;
        if self.pending.is_empty() {
            std::mem::swap(&mut self.pending, batch);
        } else {
            let from = self.pending.payloads.len();
            self.pending.payloads.append(&mut batch.payloads);
            self.pending.records.extend(batch.records.drain(..).map(|(kind, m, end)| (kind, m, from + end)));
            self.pending.drops |= batch.drops;
        }
        batch.clear();
        let result = self.flush();
        self.update_status();
        (result, self.status.clone())
    }

    fn flush(&mut self) -> io::Result<()> {
        if !is_enabled(Safeguard::RemoveAfterCommit)
            && let Some(oldest) = self.sealed.front().filter(|_| self.pending.drops)
        {
            let _ = self.disk.remove(&name(oldest.number));
        }
        if !self.pending.is_empty() {
            if self.pending.drops
                && let Some(oldest) = self.sealed.front()
                && !self.pending.records.iter().any(|(kind, m, _)| (*kind, *m) == (DROPPED, oldest.number))
            {
                let number = oldest.number;
                self.pending.append(DROPPED, number, &[]);
            }
            let mut buffer = std::mem::take(&mut self.buffer);
            buffer.clear();
            let written = self.write(&mut buffer);
            // Releases the memory that one large batch took.
            buffer.shrink_to(MAX_KEPT_BUFFER);
            self.buffer = buffer;
            written?;
            self.sequence += self.pending.records.len() as u64;
            let drops = self.pending.drops;
            self.pending.clear();
            self.mark();
            if self.open.as_ref().is_some_and(|o| o.size >= self.plan.size) {
                self.seal();
            }
            if drops && let Some(oldest) = self.sealed.pop_front() {
                self.stale.push(oldest.number);
            }
        }
        // They are no longer needed: a failed removal is not a failed commit.
        let disk = &self.disk;
        self.stale.retain(|n| disk.discard(&name(*n)).is_err());
        Ok(())
    }

    /// Creates a segment; its header is the beginning of the next write.
    fn create(&mut self, buffer: &mut Vec<u8>) -> io::Result<OpenSegment<D::File>> {
        self.made += 1;
        let identity = mix_bits(self.plan.seed ^ mix_bits(self.number ^ (self.made << 40)));
        let identity = if is_enabled(Safeguard::ChecksumWithIdentity) { identity } else { 0 };
        let oldest = self.sealed.front().map_or(self.number, |k| k.number);
        let synced = self.plan.durability.syncs();
        let head = Head { number: self.number, identity, first: self.sequence, oldest, synced };
        buffer.extend_from_slice(&head.bytes());
        let made = self.disk.create(&if self.names_later() {
            unnamed(self.number, identity)
        } else {
            name(self.number)
        });
        if let Err(e) = &made {
            // The existing file does not belong to this process.
            self.number += u64::from(e.kind() == io::ErrorKind::AlreadyExists);
        }
        Ok(OpenSegment { number: self.number, identity, file: made?, size: 0, first: self.sequence })
    }

    /// With syncs, a segment gets its final name once its first batch is on disk: its records supersede the
    /// same ones in earlier segments, and must not do so before they are durable.
    fn names_later(&self) -> bool {
        self.plan.durability.syncs() && is_enabled(Safeguard::RenameAfterFirstSync)
    }

    /// Stops writing to a segment whose contents are uncertain. If nothing else was in it, it is removed and
    /// its number is used again.
    fn abandon(&mut self, open: OpenSegment<D::File>, size: u64) {
        let gone = |name: String| self.disk.remove(&name).is_ok();
        if open.size == 0 && (gone(unnamed(open.number, open.identity)) || gone(name(open.number))) {
            return;
        }
        self.close(SealedSegment { number: open.number, size, intact: None });
    }

    fn write(&mut self, buffer: &mut Vec<u8>) -> io::Result<()> {
        let mut open = match self.open.take() {
            Some(open) => open,
            None => self.create(buffer)?,
        };
        let mut from = 0;
        for (n, (kind, message, end)) in self.pending.records.iter().enumerate() {
            let label = Label { kind: *kind, sequence: self.sequence + n as u64, message: *message };
            frame::append_record(buffer, open.identity, label, &self.pending.payloads[from..*end]);
            from = *end;
        }
        let size = open.size + buffer.len() as u64;
        if let Err(e) = self.disk.write(&mut open.file, buffer) {
            if open.size > 0 && self.disk.truncate(&mut open.file, open.size).is_ok() {
                self.open = Some(open);
            } else {
                // Part of the batch may be in the file: the records are rewritten in the next segment.
                self.abandon(open, size);
            }
            return Err(e);
        }
        if self.plan.durability.syncs()
            && let Err(e) = self.sync_segment(&mut open)
        {
            // A sync that is retried after a failure may succeed although the data did not reach the disk.
            if is_enabled(Safeguard::NewFileAfterFailedSync) {
                self.abandon(open, size);
            } else {
                self.open = Some(OpenSegment { size, ..open });
            }
            return Err(e);
        }
        self.status.segment = open.number;
        self.open = Some(OpenSegment { size, ..open });
        Ok(())
    }

    /// Syncs what was written and, for the first batch, gives the segment its final name.
    fn sync_segment(&mut self, open: &mut OpenSegment<D::File>) -> io::Result<()> {
        self.status.syncs += 1;
        self.disk.sync(&mut open.file)?;
        if open.size == 0 {
            if self.names_later() {
                self.disk.rename(&unnamed(open.number, open.identity), &name(open.number))?;
            }
            self.status.syncs += 1;
            self.disk.sync_folder()?;
        }
        Ok(())
    }

    /// Appends a mark that all records before it are synced. The mark itself is not synced: it becomes
    /// durable with the next sync. If it is lost, the last write is merely treated as one that may have been
    /// cut short.
    fn mark(&mut self) {
        let Some(mut open) = self.open.take_if(|_| self.plan.durability.syncs()) else { return };
        let label = Label { kind: SYNCED, sequence: self.sequence, message: 0 };
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        frame::append_record(&mut buffer, open.identity, label, &[]);
        let marked = self.disk.write(&mut open.file, &buffer).is_ok();
        open.size += buffer.len() as u64;
        self.open = Some(open);
        if !marked {
            // Nothing may be written behind a partial mark.
            self.seal();
        }
        self.buffer = buffer;
    }

    fn close(&mut self, sealed: SealedSegment) {
        self.number = sealed.number + 1;
        self.status.sealed.push(sealed.clone());
        self.sealed.push_back(sealed);
    }

    fn seal(&mut self) {
        if let Some(open) = self.open.take() {
            let intact = Some(open.first..self.sequence);
            self.close(SealedSegment { number: open.number, size: open.size, intact });
        }
    }
}

/// Copies a damaged part to a quarantine file, as long as there is room.
pub fn quarantine(disk: &impl Disk, names: &[String], left: &mut u64, damage: &mut Damage) {
    let Damage { file, offset, length, .. } = damage;
    let to = format!("{QUARANTINE_PREFIX}{file}-{offset}");
    let size = length.next_multiple_of(512) as u64;
    if *length == 0 || size > *left {
        return;
    }
    *left -= size;
    // It may exist already from an earlier start.
    damage.quarantined = names.contains(&to)
        || disk.read(file).is_ok_and(|bytes| {
            let piece = bytes.get(*offset..*offset + *length);
            piece.is_some_and(|p| disk.create(&to).and_then(|mut f| disk.write(&mut f, p)).is_ok())
        });
}
