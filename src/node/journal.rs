//! The record of what this courier has taken on, in the folder that lasts: which messages live, what was tried
//! and what was decided. `docs/recovery.md` tells what each kind of damage to it costs.

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
/// What a message may still add after it was taken: attempts with names of hosts and zones, their outcomes,
/// verdict and end. More would turn messages away that have room.
const MESSAGE_RESERVE: u64 = 720;
/// Shares of the disk: of the messages that live, of all segments, and of what is kept aside. Between the
/// first two there is always a segment that can be dropped.
const LIVE_SHARE: f64 = 0.45;
const SEGMENTS_SHARE: f64 = 0.85;
const HARD_LIMIT_SHARE: f64 = 0.94;
const QUARANTINE_SHARE: f64 = 0.06;
/// So many times what lives may stand in the segments before the oldest is dropped, and so many segments.
const MAX_GARBAGE_RATIO: u64 = 4;
const MIN_SEGMENTS: u64 = 2;
/// A segment's part of the disk, and its bounds.
const SEGMENT_SHARE: f64 = 1.0 / 32.0;
const SEGMENT_SIZE_BOUNDS: (u64, u64) = (64 * 1024, 4 * 1024 * 1024);

/// Attempts in a row of which the records may be lost, and the next one is still believed.
const MAX_LOST_ATTEMPTS: usize = 16;

/// A message as its client handed it in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub id: String,
    pub class: String,
    /// By name, empty where the settings know none.
    pub tenant: String,
    pub destination: u64,
    pub key: Option<String>,
    /// When its time is up, Unix time.
    pub until: Duration,
    pub body: Bytes,
}

/// An attempt, recorded before its first byte goes out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempt {
    /// Empty where its record is lost.
    pub host: String,
    pub zone: String,
    /// Unix time.
    pub sent: Duration,
    /// Whether it may have run; true until an outcome proves the contrary.
    pub may_have_run: bool,
}

/// How a message ends that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Dead,
    Bounced { wait: Option<Duration> },
}

/// A message that has not ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LiveMessage {
    pub submitted: Rc<Message>,
    /// When it was taken on, Unix time.
    pub taken: Duration,
    pub attempts: Vec<Attempt>,
    /// Decided, but the notice is not acknowledged.
    pub verdict: Option<Verdict>,
}

impl LiveMessage {
    fn reserved_bytes(&self) -> u64 {
        reserved_bytes(&self.submitted)
    }
}

/// What a message may take of the disk, with all that it may still add.
fn reserved_bytes(submitted: &Message) -> u64 {
    (RECORD_HEADER + record_codec::approximate_size(submitted)) as u64 + MESSAGE_RESERVE
}

/// The time as records tell it.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// What a start came upon.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The highest number in use.
    pub last: u64,
    pub damage: Vec<Damage>,
    /// Messages that count as ones that may have run, as records that may have been theirs are lost.
    pub assumed_run: usize,
    /// Messages of which little more than the id is left: they end as dead.
    pub id_only: usize,
    /// Messages of which not even the id could be read.
    pub unreadable: usize,
    /// The last write, cut short by a loss of power.
    pub cut: Option<Damage>,
}

impl Recovery {
    /// What the damage costs, in one line; none where there is none.
    pub fn costs(&self) -> Option<String> {
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

/// How the journal is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JournalOptions {
    /// Bytes that it may take of the disk.
    pub room: u64,
    pub durability: Durability,
    /// A start that comes upon damage is refused.
    pub refuse_damage: bool,
}

pub struct Journal<D: Disk = Folder> {
    writer: Writer<D>,
    disk: D,
    /// What the next commit brings to disk.
    batch: Batch,
    live: BTreeMap<u64, Entry>,
    /// By segment, the messages that were written whole to it.
    by_segment: BTreeMap<u64, Vec<u64>>,
    /// Those that were written whole by what is not yet committed.
    uncommitted: Vec<u64>,
    /// Of the messages that were written whole by the commit that is under way.
    committing: Vec<u64>,
    reserved_bytes: u64,
    room: u64,
    plan: Plan,
    /// As the last commit has left it.
    status: Status,
    sealed: VecDeque<SealedSegment>,
    /// The segment that was read again last.
    scrubbed: u64,
    /// All segments up to this one are written anew: it has spoilt.
    rewrite_up_to: Option<u64>,
    /// Bytes that may still be kept aside.
    quarantine_room: u64,
    /// Commits and syncs since the start.
    pub commits: u64,
    pub syncs: u64,
}

/// A message that lives, and the segment in which it was last written whole; none until that is committed.
struct Entry {
    live: LiveMessage,
    segment: Option<u64>,
}

/// A sealed segment that is to be read again.
pub struct Scrub<D: Disk = Folder> {
    disk: D,
    number: u64,
    whole: Range<u64>,
    room: u64,
}

/// What reading it again has shown.
#[derive(Debug)]
pub struct Scrubbed {
    pub number: u64,
    /// It does not hold any more what it held.
    pub damage: Option<Damage>,
}

impl<D: Disk> Scrub<D> {
    /// Reads the segment; takes as long as the disk does.
    pub fn run(mut self) -> Scrubbed {
        let file = scan::name(self.number);
        let (what, length) = match self.disk.read(&file) {
            Ok(bytes) if scan::is_whole(&bytes, self.number, &self.whole) => {
                return Scrubbed { number: self.number, damage: None };
            }
            Ok(bytes) => ("spoilt since it was written", bytes.len()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => ("vanished since it was written", 0),
            Err(_) => ("cannot be read any more", 0),
        };
        let mut damage = Damage { file, offset: 0, length, what, quarantined: false };
        let names = self.disk.list().unwrap_or_default();
        quarantine(&self.disk, &names, &mut self.room, &mut damage);
        Scrubbed { number: self.number, damage: Some(damage) }
    }
}

/// What a folder holds, read without a change to it.
pub struct Found {
    pub live: BTreeMap<u64, LiveMessage>,
    pub recovery: Recovery,
    pub segments: usize,
    /// Bytes in them.
    pub size: u64,
}

/// Reads a journal as a start would, and changes nothing.
pub fn read(folder: &Path) -> io::Result<Found> {
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
    Ok(Found { live, recovery, segments: scan.sealed.len(), size })
}

/// Writes a journal anew, in a folder that holds none. It outlasts a loss of power.
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
    let (mut journal, _) = Journal::on(Folder::open(folder)?, plan, room)?;
    for (message, live) in live {
        journal.write_snapshot(*message, live.clone());
        if journal.waiting() > plan.size {
            journal.flush()?;
        }
    }
    journal.flush()
}

/// For a disk of which nobody has replayed a bound.
const UNLIMITED_ROOM: u64 = 1 << 60;

/// Messages as records tell them, while these are read.
#[derive(Default)]
struct Replay {
    live: BTreeMap<u64, ReplayedMessage>,
    recovery: Recovery,
    /// The segment that is being read.
    segment: u64,
}

/// A message as far as it has been read.
struct ReplayedMessage {
    live: LiveMessage,
    /// Records that may have been its own are lost.
    records_lost: bool,
    /// Where it was last written whole.
    segment: u64,
}

impl ReplayedMessage {
    /// Counts it as one that may have run, where records that may have been its own are lost.
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
            Read::Record(Record { label, payload, sound }) => {
                self.recovery.last = self.recovery.last.max(label.message);
                if !sound || self.apply(label.kind, label.message, payload).is_none() {
                    self.apply_corrupt(label.kind, label.message, payload);
                }
            }
            Read::Missing => self.live.values_mut().for_each(|found| found.records_lost = true),
            Read::Segment(number) => self.segment = number,
        }
    }

    /// None if it cannot be read.
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
                // The records of those between are lost. More than a few are claimed only by what was never
                // written, and must not take room.
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

    /// Only whose it is and what it was is known.
    fn apply_corrupt(&mut self, kind: u8, message: u64, payload: &[u8]) {
        let of = self.live.get_mut(&message);
        match (RecordKind::of(kind), of) {
            // It was written whole before, and that is still there.
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
            // That it was decided is known; what was, is not, and its client may have been replayed.
            (Some(RecordKind::Verdict), Some(found)) => found.live.verdict = Some(Verdict::Dead),
            (Some(RecordKind::Ended), _) => drop(self.live.remove(&message)),
            // Without that record it may have run.
            (Some(RecordKind::NeverRan), _) | (_, None) => {}
            (None, Some(found)) => found.records_lost = true,
        }
    }
}

/// An attempt of which nothing is known but that it may have been, at any time since the message came.
fn add_assumed_attempt(live: &mut LiveMessage) {
    let sent = live.taken;
    live.attempts.push(Attempt { sent, may_have_run: true, ..Attempt::default() });
}

impl Journal {
    /// Opens the record in the folder that lasts. `seed` is new with each start.
    pub fn open(folder: &Path, options: JournalOptions, seed: u64) -> io::Result<(Self, Recovery)> {
        old_journal::carry_over(folder, |live, to| fill(to, Plan::of(options, seed), options.room, live))?;
        let path = folder.join(NAME);
        let opened = match fs::symlink_metadata(&path) {
            Ok(found) if !found.is_dir() => Err(io::Error::other(format!("{} is no folder", path.display()))),
            _ => Journal::on(Folder::open(&path)?, Plan::of(options, seed), options.room),
        };
        let (mut journal, recovery) = opened?;
        if options.durability.syncs() {
            // The name of the journal's own folder.
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
    fn on(folder: D, plan: Plan, room: u64) -> io::Result<(Self, Recovery)> {
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
                // On record, so that the next start finds the same and does not doubt once more.
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

    /// The next sealed segment that is to be read again; none if there is none that was whole.
    pub fn scrub(&mut self) -> Option<Scrub<D>> {
        let whole = |s: &&SealedSegment| s.whole.is_some();
        let next = self.sealed.iter().filter(whole).find(|s| s.number > self.scrubbed);
        let next = next.or_else(|| self.sealed.iter().find(whole))?;
        self.scrubbed = next.number;
        let (number, whole) = (next.number, next.whole.clone()?);
        Some(Scrub { disk: self.disk.clone(), number, whole, room: self.quarantine_room })
    }
}

impl<D: Disk> Journal<D> {
    /// Takes note of what reading a segment again has shown. True if it has spoilt and still counted: what
    /// lives of it, and of those before it, is written anew from memory by the next commits.
    pub fn scrubbed(&mut self, scrubbed: &Scrubbed) -> bool {
        let Some(damage) = &scrubbed.damage else { return false };
        let Some(sealed) = self.sealed.iter_mut().find(|s| s.number == scrubbed.number) else { return false };
        sealed.whole = None;
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

    /// Whether a message would fit, with all that it may still add.
    pub fn fits(&self, submitted: &Message) -> bool {
        self.reserved_bytes + reserved_bytes(submitted) <= (self.room as f64 * LIVE_SHARE) as u64
    }

    pub fn accept(&mut self, message: u64, submitted: Rc<Message>) {
        self.write_snapshot(message, LiveMessage { submitted, taken: unix(), ..LiveMessage::default() });
    }

    /// Writes a message whole.
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

    /// The outcome of an attempt. One that may have run needs no record: that is what is assumed.
    pub fn never_ran(&mut self, message: u64, attempt: u32) {
        let entry = self.live.get_mut(&message);
        if let Some(a) = entry.and_then(|e| e.live.attempts.get_mut(attempt as usize)) {
            a.may_have_run = false;
            self.batch.append(RecordKind::NeverRan as u8, message, &attempt.to_le_bytes());
        }
    }

    pub fn judge(&mut self, message: u64, verdict: Verdict) {
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

    /// A commit is under way.
    pub fn is_busy(&self) -> bool {
        self.writer.is_busy()
    }

    /// Brings all records to disk. After an error they wait and go first the next time. None: that is under
    /// way, and `done` tells how it ended. Not to be called while one is.
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

    /// A commit before there is a thread that makes it: it has ended when this returns.
    fn flush(&mut self) -> io::Result<()> {
        self.commit().unwrap_or(Ok(()))
    }

    /// The end of the commit that is under way; waits for ever if none is.
    pub async fn done(&mut self) -> io::Result<()> {
        let done = self.writer.done().await;
        self.finish_commit(done)
    }

    fn finish_commit(&mut self, (result, status): Done) -> io::Result<()> {
        self.syncs += u64::from(status.syncs);
        self.sealed.extend(status.sealed.iter().cloned());
        // Where none is left, the last one was dropped as well.
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

    /// So much has ended that the oldest segment is to be dropped.
    fn has_garbage(&self) -> bool {
        let most = (self.reserved_bytes * MAX_GARBAGE_RATIO).max(self.plan.size * MIN_SEGMENTS);
        let most = most.min((self.room as f64 * SEGMENTS_SHARE) as u64);
        self.status.oldest.is_some() && self.status.total > most
    }

    /// The oldest segment is to be dropped because it, or a later one, has spoilt: one with each commit.
    fn must_rewrite_oldest(&self) -> bool {
        self.status.oldest.is_some() && self.status.oldest <= self.rewrite_up_to
    }

    /// Another commit is needed though nothing waits for one.
    pub fn is_behind(&self) -> bool {
        self.has_garbage() || self.must_rewrite_oldest()
    }

    /// Writes anew what lives of the oldest segment, which is dropped with that.
    fn rewrite_oldest(&mut self) {
        let Some(oldest) = self.status.oldest else { return };
        // Also what was written to one before that a failed write has cut off.
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
    /// A journal in an empty folder whose commits end when the other side says so.
    pub fn manual(folder: &Path) -> io::Result<(Self, std::sync::mpsc::Receiver<Batch>, Tell)> {
        let options = JournalOptions { room: 3_000_000, durability: Durability::Power, refuse_damage: false };
        let (mut journal, _) = Journal::on(Folder::open(folder)?, Plan::of(options, 1), options.room)?;
        let (writer, batches, tell) = Writer::manual();
        journal.writer = writer;
        Ok((journal, batches, tell))
    }
}

#[cfg(test)]
pub type Tell = tokio::sync::mpsc::UnboundedSender<Done>;

#[cfg(test)]
#[path = "journal_test.rs"]
mod tests;

#[cfg(test)]
#[path = "power_test.rs"]
mod power;
