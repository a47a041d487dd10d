//! The courier's journal in the state folder: which accepted messages are still live, which attempts were
//! made and what was decided. `docs/recovery.md` lists what each kind of damage to it costs.

use super::old_journal;
use super::record_codec::{self, RecordKind};
use crate::store::Durability;
use crate::store::disk::{Disk, Folder};
use crate::store::frame::{RECORD_HEADER, Record};
use crate::store::scan::{self, Damage, Read, SealedSegment};
use crate::store::segments::{Batch, Plan, Segments, Status, quarantine};
use crate::store::writer::{Done, Writer};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub(super) const NAME: &str = "journal";
/// Bytes reserved for what a message may still append after it was accepted: attempts with host and zone
/// names, their outcomes, its verdict and its end. A larger reserve would refuse messages that would have
/// fitted.
const MESSAGE_RESERVE: u64 = 720;
/// Shares of the disk quota for live messages, for all segments, as the hard limit, and for quarantined data.
/// Between the first two there is always a segment that can be dropped.
const LIVE_SHARE: f64 = 0.45;
const SEGMENTS_SHARE: f64 = 0.85;
const HARD_LIMIT_SHARE: f64 = 0.94;
const QUARANTINE_SHARE: f64 = 0.06;
/// The oldest segment is dropped once all segments together exceed this many times the bytes reserved for
/// live messages, and this many segments of full size.
const MAX_GARBAGE_RATIO: u64 = 4;
const MIN_SEGMENTS: u64 = 2;
/// Size of a segment as a share of the disk quota, and its bounds.
const SEGMENT_SHARE: f64 = 1.0 / 32.0;
const SEGMENT_SIZE_BOUNDS: (u64, u64) = (64 * 1024, 4 * 1024 * 1024);

/// Most consecutive attempts whose records may be missing before the next attempt record is rejected.
const MAX_LOST_ATTEMPTS: usize = 16;

/// A message as its client submitted it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub id: String,
    pub class: String,
    /// Tenant name; empty if the settings define none.
    pub tenant: String,
    pub destination: u64,
    pub key: Option<String>,
    /// Deadline, Unix time.
    pub until: Duration,
    pub body: Bytes,
}

/// An attempt, recorded before its first byte goes out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempt {
    /// Empty if its record is lost.
    pub host: String,
    pub zone: String,
    /// Unix time.
    pub sent: Duration,
    /// Whether it may have run; true until an outcome proves the opposite.
    pub may_have_run: bool,
}

/// How an undelivered message ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    Bounced { wait: Option<Duration> },
}

/// A message that has not ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LiveMessage {
    pub submitted: Rc<Message>,
    /// When it was accepted, Unix time.
    pub taken: Duration,
    pub attempts: Vec<Attempt>,
    /// Set once the end is decided; the notice is not acknowledged yet.
    pub verdict: Option<Verdict>,
}

impl LiveMessage {
    fn reserved_bytes(&self) -> u64 {
        reserved_bytes(&self.submitted)
    }
}

/// The most disk space a message can take, including all records it may still append.
fn reserved_bytes(submitted: &Message) -> u64 {
    (RECORD_HEADER + record_codec::approximate_size(submitted)) as u64 + MESSAGE_RESERVE
}

/// Unix time, as it is written in records.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// What was found when the journal was opened.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The highest message number in use.
    pub last: u64,
    pub damage: Vec<Damage>,
    /// Messages counted as possibly run, because records that may belong to them are lost.
    pub assumed_run: usize,
    /// Messages of which little more than the id could be recovered: they end as dead.
    pub id_only: usize,
    /// Messages of which not even the id could be read.
    pub unreadable: usize,
    /// The last write, if a power loss cut it short.
    pub cut: Option<Damage>,
}

impl Recovery {
    /// One line that sums up what the damage costs; None if there is no damage.
    pub fn summary(&self) -> Option<String> {
        let Recovery { damage, assumed_run, id_only, unreadable, .. } = self;
        (!damage.is_empty() || *assumed_run > 0).then(|| {
            format!(
                "{} damaged places; {assumed_run} messages count as ones that may have run, {id_only} end as dead, \
                 {unreadable} cannot be read",
                damage.len()
            )
        })
    }
}

/// How the journal is stored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JournalOptions {
    /// Disk quota in bytes.
    pub room: u64,
    pub durability: Durability,
    /// Refuse to start if the journal is damaged.
    pub refuse_damage: bool,
}

pub struct Journal<D: Disk = Folder> {
    writer: Writer<D>,
    disk: D,
    /// Records for the next commit.
    batch: Batch,
    live: BTreeMap<u64, Entry>,
    /// For each segment, the messages of which it holds a snapshot.
    by_segment: BTreeMap<u64, Vec<u64>>,
    /// Messages with a snapshot in the batch that is not committed yet.
    uncommitted: Vec<u64>,
    /// Messages with a snapshot in the commit that is in progress.
    committing: Vec<u64>,
    reserved_bytes: u64,
    room: u64,
    plan: Plan,
    /// Status after the last commit.
    status: Status,
    sealed: VecDeque<SealedSegment>,
    /// The segment that was scrubbed last.
    scrubbed: u64,
    /// All segments up to this one are rewritten, because it is corrupt.
    rewrite_up_to: Option<u64>,
    /// Bytes that may still be quarantined.
    quarantine_room: u64,
    /// Commits and syncs since the start.
    pub commits: u64,
    pub syncs: u64,
}

/// A live message and the segment with its latest snapshot; None until that snapshot is committed.
struct Entry {
    live: LiveMessage,
    segment: Option<u64>,
}

/// A sealed segment that is to be re-read and verified.
pub struct Scrub<D: Disk = Folder> {
    disk: D,
    number: u64,
    intact: Range<u64>,
    room: u64,
}

/// The result of scrubbing a segment.
#[derive(Debug)]
pub struct Scrubbed {
    pub number: u64,
    /// Set if the segment no longer holds what was written to it.
    pub damage: Option<Damage>,
}

impl<D: Disk> Scrub<D> {
    /// Reads and verifies the segment; blocks on disk I/O.
    pub fn run(mut self) -> Scrubbed {
        let file = scan::name(self.number);
        let (what, length) = match self.disk.read(&file) {
            Ok(bytes) if scan::is_intact(&bytes, self.number, &self.intact) => {
                return Scrubbed { number: self.number, damage: None };
            }
            Ok(bytes) => ("corrupted since it was written", bytes.len()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => ("vanished since it was written", 0),
            Err(_) => ("can no longer be read", 0),
        };
        let mut damage = Damage { file, offset: 0, length, what, quarantined: false };
        let names = self.disk.list().unwrap_or_default();
        quarantine(&self.disk, &names, &mut self.room, &mut damage);
        Scrubbed { number: self.number, damage: Some(damage) }
    }
}

/// The contents of a journal that was opened read-only.
pub struct JournalContents {
    pub live: BTreeMap<u64, LiveMessage>,
    pub recovery: Recovery,
    pub segments: usize,
    /// Size of all segments in bytes.
    pub size: u64,
}

/// Reads a journal as a start would, without changing it.
pub fn read(folder: &Path) -> io::Result<JournalContents> {
    let mut replay = Replay::default();
    let scan = scan::scan(&Folder::at(folder), |read| replay.take(read))?;
    let mut recovery = replay.recovery;
    (recovery.damage, recovery.cut) = (scan.damage, scan.cut);
    let mut live = BTreeMap::new();
    for (message, mut found) in replay.live {
        recovery.assumed_run += usize::from(found.assume_attempt());
        live.insert(message, found.live);
    }
    let size = scan.sealed.iter().map(|s| s.size).sum();
    Ok(JournalContents { live, recovery, segments: scan.sealed.len(), size })
}

/// Writes a new journal in a folder that holds none. It survives a power loss.
pub fn write(folder: &Path, live: &BTreeMap<u64, LiveMessage>, seed: u64) -> io::Result<()> {
    let plan = Plan {
        size: SEGMENT_SIZE_BOUNDS.0,
        seed,
        quarantine_room: 0,
        durability: Durability::Power,
        refuse_damage: true,
    };
    fill(folder, plan, UNLIMITED_ROOM, live)
}

fn fill(folder: &Path, plan: Plan, room: u64, live: &BTreeMap<u64, LiveMessage>) -> io::Result<()> {
    let (mut journal, _) = Journal::open_on(Folder::open(folder)?, plan, room)?;
    for (message, live) in live {
        journal.write_snapshot(*message, live.clone());
        if journal.waiting() > plan.size {
            journal.flush()?;
        }
    }
    journal.flush()
}

/// Room for a journal without a disk quota.
const UNLIMITED_ROOM: u64 = 1 << 60;

/// Messages as far as the records that were replayed describe them.
#[derive(Default)]
struct Replay {
    live: BTreeMap<u64, ReplayedMessage>,
    recovery: Recovery,
    /// The segment that is being read.
    segment: u64,
}

/// A message as far as it has been replayed.
struct ReplayedMessage {
    live: LiveMessage,
    /// Records that may belong to this message are lost.
    records_lost: bool,
    /// The segment with its latest snapshot.
    segment: u64,
}

impl ReplayedMessage {
    /// Adds an attempt that may have run if records that may belong to this message are lost.
    fn assume_attempt(&mut self) -> bool {
        let assumed = self.records_lost && self.live.verdict.is_none();
        if assumed {
            add_assumed_attempt(&mut self.live);
        }
        assumed
    }
}

impl Replay {
    fn take(&mut self, read: Read) {
        match read {
            Read::Record(Record { label, payload, valid }) => {
                self.recovery.last = self.recovery.last.max(label.message);
                if !valid || self.apply(label.kind, label.message, payload).is_none() {
                    self.apply_corrupt(label.kind, label.message, payload);
                }
            }
            Read::Missing => self.live.values_mut().for_each(|found| found.records_lost = true),
            Read::Segment(number) => self.segment = number,
        }
    }

    /// Applies one record; None if it cannot be decoded.
    fn apply(&mut self, kind: u8, message: u64, payload: &[u8]) -> Option<()> {
        let of = self.live.get_mut(&message);
        match RecordKind::of(kind)? {
            RecordKind::Snapshot => {
                let (live, segment) = (record_codec::decode_snapshot(payload)?, self.segment);
                self.live.insert(message, ReplayedMessage { live, records_lost: false, segment });
            }
            RecordKind::Attempt => {
                let (number, attempt) = record_codec::decode_attempt(payload)?;
                let Some(ReplayedMessage { live, .. }) = of else { return Some(()) };
                // The records of the attempts in between are lost. A gap larger than MAX_LOST_ATTEMPTS only
                // occurs in data that was never written by a journal, and must not cause a large allocation.
                (number <= live.attempts.len() + MAX_LOST_ATTEMPTS).then_some(())?;
                let unknown = Attempt { sent: live.taken, may_have_run: true, ..Attempt::default() };
                if live.attempts.len() <= number {
                    live.attempts.resize(number + 1, unknown);
                }
                live.attempts[number] = attempt;
            }
            RecordKind::NeverRan => {
                let number = record_codec::decode_never_ran(payload)?;
                if let Some(attempt) = of.and_then(|found| found.live.attempts.get_mut(number)) {
                    attempt.may_have_run = false;
                }
            }
            RecordKind::Verdict => {
                let verdict = record_codec::decode_verdict(payload)?;
                if let Some(found) = of {
                    found.live.verdict = Some(verdict);
                }
            }
            RecordKind::AssumedAttempt => {
                if let Some(found) = of {
                    add_assumed_attempt(&mut found.live);
                    found.records_lost = false;
                }
            }
            RecordKind::Ended => drop(self.live.remove(&message)),
        }
        Some(())
    }

    /// Applies a record with a corrupt payload: only its message number and kind are known.
    fn apply_corrupt(&mut self, kind: u8, message: u64, payload: &[u8]) {
        let of = self.live.get_mut(&message);
        match (RecordKind::of(kind), of) {
            // An earlier snapshot of the message is still there.
            (Some(RecordKind::Snapshot), Some(found)) => found.records_lost = true,
            (Some(RecordKind::Snapshot), None) => match record_codec::decode_id(message, payload) {
                Some(id) => {
                    let submitted = Rc::new(Message { id, ..Message::default() });
                    let id_only =
                        LiveMessage { submitted, verdict: Some(Verdict::Dead), ..LiveMessage::default() };
                    self.recovery.id_only += 1;
                    let segment = self.segment;
                    self.live
                        .insert(message, ReplayedMessage { live: id_only, records_lost: false, segment });
                }
                None => self.recovery.unreadable += 1,
            },
            (Some(RecordKind::Attempt | RecordKind::AssumedAttempt), Some(found)) => {
                found.records_lost = true
            }
            // The message was decided, but the decision is lost; its client may have been notified already.
            (Some(RecordKind::Verdict), Some(found)) => found.live.verdict = Some(Verdict::Dead),
            (Some(RecordKind::Ended), _) => drop(self.live.remove(&message)),
            // Without this record the attempt counts as one that may have run.
            (Some(RecordKind::NeverRan), _) | (_, None) => {}
            (None, Some(found)) => found.records_lost = true,
        }
    }
}

/// Adds an attempt of which only this is known: it may have run at any time since the message was accepted.
fn add_assumed_attempt(live: &mut LiveMessage) {
    let sent = live.taken;
    live.attempts.push(Attempt { sent, may_have_run: true, ..Attempt::default() });
}

impl Journal {
    /// Opens the journal in the state folder. `seed` is new with each start.
    pub fn open(folder: &Path, options: JournalOptions, seed: u64) -> io::Result<(Self, Recovery)> {
        old_journal::migrate(folder, |live, to| fill(to, Plan::of(options, seed), options.room, live))?;
        let path = folder.join(NAME);
        let opened = match fs::symlink_metadata(&path) {
            Ok(found) if !found.is_dir() => {
                Err(io::Error::other(format!("{} is not a folder", path.display())))
            }
            _ => Journal::open_on(Folder::open(&path)?, Plan::of(options, seed), options.room),
        };
        let (mut journal, recovery) = opened?;
        if options.durability.syncs() {
            // Makes the directory entry of the journal's own folder durable.
            Folder::at(folder).sync_folder()?;
        }
        journal.writer = match journal.writer {
            Writer::Inline(segments) if options.durability.syncs() => Writer::spawn(*segments)?,
            writer => writer,
        };
        Ok((journal, recovery))
    }
}

impl Plan {
    fn of(options: JournalOptions, seed: u64) -> Self {
        let part = |share: f64| (options.room as f64 * share) as u64;
        let size = part(SEGMENT_SHARE).clamp(SEGMENT_SIZE_BOUNDS.0, SEGMENT_SIZE_BOUNDS.1);
        let JournalOptions { durability, refuse_damage, .. } = options;
        Plan { size, seed, quarantine_room: part(QUARANTINE_SHARE), durability, refuse_damage }
    }
}

impl<D: Disk + Clone> Journal<D> {
    fn open_on(folder: D, plan: Plan, room: u64) -> io::Result<(Self, Recovery)> {
        let mut replay = Replay::default();
        let (segments, scan) = Segments::open(folder.clone(), plan, |read| replay.take(read))?;
        let Replay { live, mut recovery, .. } = replay;
        (recovery.damage, recovery.cut) = (scan.damage, scan.cut);
        let mut journal = Journal {
            status: segments.status(),
            writer: Writer::Inline(Box::new(segments)),
            disk: folder,
            batch: Batch::default(),
            live: BTreeMap::new(),
            by_segment: BTreeMap::new(),
            uncommitted: Vec::new(),
            committing: Vec::new(),
            reserved_bytes: 0,
            room,
            plan,
            sealed: scan.sealed.into(),
            scrubbed: 0,
            rewrite_up_to: None,
            quarantine_room: scan.room,
            commits: 0,
            syncs: 0,
        };
        for (message, mut replayed) in live {
            if replayed.assume_attempt() {
                // Recorded, so that the next start finds the same state and does not add another assumed
                // attempt.
                journal.batch.append(RecordKind::AssumedAttempt as u8, message, &[]);
                recovery.assumed_run += 1;
            }
            let ReplayedMessage { live, segment, .. } = replayed;
            journal.reserved_bytes += live.reserved_bytes();
            journal.by_segment.entry(segment).or_default().push(message);
            journal.live.insert(message, Entry { live, segment: Some(segment) });
        }
        journal.flush()?;
        Ok((journal, recovery))
    }

    /// The next sealed segment to scrub; None if there is none that was intact when sealed.
    pub fn scrub(&mut self) -> Option<Scrub<D>> {
        let intact = |s: &&SealedSegment| s.intact.is_some();
        let next = self.sealed.iter().filter(intact).find(|s| s.number > self.scrubbed);
        let next = next.or_else(|| self.sealed.iter().find(intact))?;
        self.scrubbed = next.number;
        let (number, intact) = (next.number, next.intact.clone()?);
        Some(Scrub { disk: self.disk.clone(), number, intact, room: self.quarantine_room })
    }
}

impl<D: Disk> Journal<D> {
    /// Records the result of a scrub. True if the segment is corrupt and was still in use: its live messages,
    /// and those of all earlier segments, are rewritten from memory by the next commits.
    pub fn scrubbed(&mut self, scrubbed: &Scrubbed) -> bool {
        let Some(damage) = &scrubbed.damage else { return false };
        let Some(sealed) = self.sealed.iter_mut().find(|s| s.number == scrubbed.number) else { return false };
        sealed.intact = None;
        if damage.quarantined {
            self.quarantine_room = self.quarantine_room.saturating_sub(damage.length as u64);
        }
        self.rewrite_up_to = self.rewrite_up_to.max(Some(scrubbed.number));
        true
    }

    pub fn live(&self) -> impl Iterator<Item = (u64, &LiveMessage)> {
        self.live.iter().map(|(message, entry)| (*message, &entry.live))
    }

    pub fn get(&self, message: u64) -> Option<&LiveMessage> {
        self.live.get(&message).map(|entry| &entry.live)
    }

    pub fn count(&self) -> usize {
        self.live.len()
    }

    /// Whether a message fits, including all records it may still append.
    pub fn fits(&self, submitted: &Message) -> bool {
        self.reserved_bytes + reserved_bytes(submitted) <= (self.room as f64 * LIVE_SHARE) as u64
    }

    pub fn accept(&mut self, message: u64, submitted: Rc<Message>) {
        self.write_snapshot(message, LiveMessage { submitted, taken: unix(), ..LiveMessage::default() });
    }

    /// Appends a snapshot of a message.
    fn write_snapshot(&mut self, message: u64, live: LiveMessage) {
        self.batch.append(
            RecordKind::Snapshot as u8,
            message,
            &record_codec::encode_snapshot(message, &live),
        );
        self.reserved_bytes += live.reserved_bytes();
        self.uncommitted.push(message);
        if let Some(before) = self.live.insert(message, Entry { live, segment: None }) {
            self.reserved_bytes -= before.live.reserved_bytes();
        }
    }

    pub fn attempt(&mut self, message: u64, attempt: Attempt) {
        if let Some(entry) = self.live.get_mut(&message) {
            let number = entry.live.attempts.len() as u32;
            self.batch.append(
                RecordKind::Attempt as u8,
                message,
                &record_codec::encode_attempt(number, &attempt),
            );
            entry.live.attempts.push(attempt);
        }
    }

    /// Records that an attempt did not run. An attempt that may have run needs no record: that is the
    /// default.
    pub fn never_ran(&mut self, message: u64, attempt: u32) {
        let entry = self.live.get_mut(&message);
        if let Some(a) = entry.and_then(|e| e.live.attempts.get_mut(attempt as usize)) {
            a.may_have_run = false;
            self.batch.append(RecordKind::NeverRan as u8, message, &attempt.to_le_bytes());
        }
    }

    pub fn record_verdict(&mut self, message: u64, verdict: Verdict) {
        if let Some(entry) = self.live.get_mut(&message) {
            entry.live.verdict = Some(verdict);
            self.batch.append(RecordKind::Verdict as u8, message, &record_codec::encode_verdict(verdict));
        }
    }

    pub fn end(&mut self, message: u64) {
        if let Some(entry) = self.live.remove(&message) {
            self.reserved_bytes -= entry.live.reserved_bytes();
            self.batch.append(RecordKind::Ended as u8, message, &[]);
        }
    }

    /// Bytes that wait for the next commit.
    pub fn waiting(&self) -> u64 {
        self.batch.size()
    }

    pub fn syncs(&self) -> bool {
        self.plan.durability.syncs()
    }

    /// Whether a commit is in progress.
    pub fn is_busy(&self) -> bool {
        self.writer.is_busy()
    }

    /// Writes all pending records to disk. After an error they stay pending and go first in the next commit.
    /// None means that the commit is in progress on the writer thread and `done` returns its result. Must not
    /// be called while a commit is in progress.
    pub fn commit(&mut self) -> Option<io::Result<()>> {
        let full = (self.room as f64 * HARD_LIMIT_SHARE) as u64;
        loop {
            let crowded = self.status.total + self.status.waiting + self.batch.size() > full;
            if crowded && self.status.oldest.is_none() {
                return Some(Err(io::ErrorKind::StorageFull.into()));
            }
            if crowded || self.has_garbage() || self.must_rewrite_oldest() {
                self.rewrite_oldest();
            }
            self.committing.append(&mut self.uncommitted);
            self.commits += 1;
            let done = self.writer.commit(&mut self.batch)?;
            if let Err(e) = self.finish_commit(done) {
                return Some(Err(e));
            }
            if !self.has_garbage() {
                return Some(Ok(()));
            }
        }
    }

    /// Commits synchronously; only used before the writer thread is started.
    fn flush(&mut self) -> io::Result<()> {
        self.commit().unwrap_or(Ok(()))
    }

    /// Waits for the commit that is in progress; never returns if there is none.
    pub async fn done(&mut self) -> io::Result<()> {
        let done = self.writer.done().await;
        self.finish_commit(done)
    }

    fn finish_commit(&mut self, (result, status): Done) -> io::Result<()> {
        self.syncs += u64::from(status.syncs);
        self.sealed.extend(status.sealed.iter().cloned());
        // If no sealed segment is left, the last one was dropped as well.
        let oldest = status.oldest.unwrap_or(u64::MAX);
        while self.sealed.front().is_some_and(|s| s.number < oldest) {
            self.sealed.pop_front();
        }
        self.status = status;
        result?;
        for message in std::mem::take(&mut self.committing) {
            if let Some(entry) = self.live.get_mut(&message) {
                entry.segment = Some(self.status.segment);
                self.by_segment.entry(self.status.segment).or_default().push(message);
            }
        }
        Ok(())
    }

    /// Whether so many messages have ended that the oldest segment is to be dropped.
    fn has_garbage(&self) -> bool {
        let most = (self.reserved_bytes * MAX_GARBAGE_RATIO).max(self.plan.size * MIN_SEGMENTS);
        let most = most.min((self.room as f64 * SEGMENTS_SHARE) as u64);
        self.status.oldest.is_some() && self.status.total > most
    }

    /// Whether the oldest segment is to be dropped because it, or a later one, is corrupt. Each commit drops
    /// one segment.
    fn must_rewrite_oldest(&self) -> bool {
        self.status.oldest.is_some() && self.status.oldest <= self.rewrite_up_to
    }

    /// Whether another commit is needed although no records are pending.
    pub fn is_behind(&self) -> bool {
        self.has_garbage() || self.must_rewrite_oldest()
    }

    /// Rewrites the live messages of the oldest segment into the batch that drops it.
    fn rewrite_oldest(&mut self) {
        let Some(oldest) = self.status.oldest else { return };
        // Includes messages attributed to an earlier segment that a failed write has truncated.
        while let Some(mut entry) = self.by_segment.first_entry().filter(|e| *e.key() <= oldest) {
            let messages = std::mem::take(entry.get_mut());
            let segment = *entry.key();
            entry.remove();
            for message in messages {
                let Some(entry) = self.live.get_mut(&message).filter(|e| e.segment == Some(segment)) else {
                    continue;
                };
                entry.segment = None;
                self.batch.append(
                    RecordKind::Snapshot as u8,
                    message,
                    &record_codec::encode_snapshot(message, &entry.live),
                );
                self.uncommitted.push(message);
            }
        }
        self.batch.drop_oldest();
    }
}

#[cfg(test)]
impl Journal {
    /// A journal in an empty folder whose commits complete when the test says so.
    pub fn manual(folder: &Path) -> io::Result<(Self, std::sync::mpsc::Receiver<Batch>, CommitResults)> {
        let options = JournalOptions { room: 3_000_000, durability: Durability::Power, refuse_damage: false };
        let (mut journal, _) = Journal::open_on(Folder::open(folder)?, Plan::of(options, 1), options.room)?;
        let (writer, batches, results) = Writer::manual();
        journal.writer = writer;
        Ok((journal, batches, results))
    }
}

#[cfg(test)]
pub type CommitResults = tokio::sync::mpsc::UnboundedSender<Done>;

#[cfg(test)]
#[path = "journal_test.rs"]
mod tests;

#[cfg(test)]
#[path = "power_test.rs"]
mod power;
