//! The record of what this courier has taken on, in the folder that lasts: which messages live, what was tried
//! and what was decided. `docs/recovery.md` tells what each kind of damage to it costs.

use super::ledger::{self, Kind};
use super::old_journal;
use crate::store::Durability;
use crate::store::disk::{Disk, Folder};
use crate::store::frame::{FRAME, Record};
use crate::store::scan::{self, Damage, Read, Sealed};
use crate::store::segments::{Batch, Plan, Segments, Status, keep_aside};
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
const TRAIL: u64 = 720;
/// Shares of the disk: of the messages that live, of all segments, and of what is kept aside. Between the
/// first two there is always a segment that can be dropped.
const LIVE_SHARE: f64 = 0.45;
const FILE_SHARE: f64 = 0.85;
const FULL_SHARE: f64 = 0.94;
const ASIDE_SHARE: f64 = 0.06;
/// So many times what lives may stand in the segments before the oldest is dropped, and so many segments.
const GARBAGE: u64 = 4;
const SEGMENTS_LEAST: u64 = 2;
/// A segment's part of the disk, and its bounds.
const SEGMENT_SHARE: f64 = 1.0 / 32.0;
const SEGMENT: (u64, u64) = (64 * 1024, 4 * 1024 * 1024);

/// Attempts in a row of which the records may be lost, and the next one is still believed.
const LOST_MOST: usize = 16;

/// A message as its client handed it in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Letter {
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
pub struct Live {
    pub letter: Rc<Letter>,
    /// When it was taken on, Unix time.
    pub taken: Duration,
    pub attempts: Vec<Attempt>,
    /// Decided, but the notice is not acknowledged.
    pub verdict: Option<Verdict>,
}

impl Live {
    fn weight(&self) -> u64 {
        weight(&self.letter)
    }
}

/// What a message may take of the disk, with all that it may still add.
fn weight(letter: &Letter) -> u64 {
    (FRAME + ledger::letter_size(letter)) as u64 + TRAIL
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
    pub doubted: usize,
    /// Messages of which little more than the id is left: they end as dead.
    pub ghosts: usize,
    /// Messages of which not even the id could be read.
    pub unreadable: usize,
    /// The last write, cut short by a loss of power.
    pub cut: Option<Damage>,
}

impl Recovery {
    /// What the damage costs, in one line; none where there is none.
    pub fn costs(&self) -> Option<String> {
        let Recovery { damage, doubted, ghosts, unreadable, .. } = self;
        (!damage.is_empty() || *doubted > 0).then(|| {
            format!(
                "{} damaged places; {doubted} messages count as ones that may have run, {ghosts} end as dead, \
                 {unreadable} cannot be read",
                damage.len()
            )
        })
    }
}

/// How the journal is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keeping {
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
    within: BTreeMap<u64, Vec<u64>>,
    /// Those that were written whole by what is not yet committed.
    unplaced: Vec<u64>,
    /// Of the messages that were written whole by the commit that is under way.
    placing: Vec<u64>,
    weight: u64,
    room: u64,
    plan: Plan,
    /// As the last commit has left it.
    status: Status,
    sealed: VecDeque<Sealed>,
    /// The segment that was read again last.
    scrubbed: u64,
    /// All segments up to this one are written anew: it has spoilt.
    renew: Option<u64>,
    /// Bytes that may still be kept aside.
    aside: u64,
    /// Commits and syncs since the start.
    pub commits: u64,
    pub syncs: u64,
}

/// A message that lives, and the segment in which it was last written whole; none until that is committed.
struct Entry {
    live: Live,
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
        let mut damage = Damage { file, offset: 0, length, what, aside: false };
        let names = self.disk.list().unwrap_or_default();
        keep_aside(&self.disk, &names, &mut self.room, &mut damage);
        Scrubbed { number: self.number, damage: Some(damage) }
    }
}

/// What a folder holds, read without a change to it.
pub struct Found {
    pub live: BTreeMap<u64, Live>,
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
        recovery.doubted += usize::from(found.doubt());
        live.insert(message, found.live);
    }
    let size = scan.sealed.iter().map(|s| s.size).sum();
    Ok(Found { live, recovery, segments: scan.sealed.len(), size })
}

/// Writes a journal anew, in a folder that holds none. It outlasts a loss of power.
pub fn write(folder: &Path, live: &BTreeMap<u64, Live>, seed: u64) -> io::Result<()> {
    let plan = Plan { size: SEGMENT.0, seed, aside: 0, durability: Durability::Power, refuse_damage: true };
    fill(folder, plan, ROOM_ENOUGH, live)
}

fn fill(folder: &Path, plan: Plan, room: u64, live: &BTreeMap<u64, Live>) -> io::Result<()> {
    let (mut journal, _) = Journal::on(Folder::open(folder)?, plan, room)?;
    for (message, live) in live {
        journal.keep(*message, live.clone());
        if journal.waiting() > plan.size {
            journal.flush()?;
        }
    }
    journal.flush()
}

/// For a disk of which nobody has told a bound.
const ROOM_ENOUGH: u64 = 1 << 60;

/// Messages as records tell them, while these are read.
#[derive(Default)]
struct Replay {
    live: BTreeMap<u64, Told>,
    recovery: Recovery,
    /// The segment that is being read.
    segment: u64,
}

/// A message as far as it has been read.
struct Told {
    live: Live,
    /// Records that may have been its own are lost.
    doubted: bool,
    /// Where it was last written whole.
    segment: u64,
}

impl Told {
    /// Counts it as one that may have run, where records that may have been its own are lost.
    fn doubt(&mut self) -> bool {
        let doubt = self.doubted && self.live.verdict.is_none();
        if doubt {
            doubted(&mut self.live);
        }
        doubt
    }
}

impl Replay {
    fn take(&mut self, read: Read) {
        match read {
            Read::Record(Record { label, payload, sound }) => {
                self.recovery.last = self.recovery.last.max(label.message);
                if !sound || self.record(label.kind, label.message, payload).is_none() {
                    self.spoilt(label.kind, label.message, payload);
                }
            }
            Read::Missing => self.live.values_mut().for_each(|found| found.doubted = true),
            Read::Segment(number) => self.segment = number,
        }
    }

    /// None if it cannot be read.
    fn record(&mut self, kind: u8, message: u64, payload: &[u8]) -> Option<()> {
        let of = self.live.get_mut(&message);
        match Kind::of(kind)? {
            Kind::Live => {
                let (live, segment) = (ledger::live(payload)?, self.segment);
                self.live.insert(message, Told { live, doubted: false, segment });
            }
            Kind::Attempt => {
                let (number, attempt) = ledger::attempt(payload)?;
                let Some(Told { live, .. }) = of else { return Some(()) };
                // The records of those between are lost. More than a few are claimed only by what was never
                // written, and must not take room.
                (number <= live.attempts.len() + LOST_MOST).then_some(())?;
                let unknown = Attempt { sent: live.taken, may_have_run: true, ..Attempt::default() };
                if live.attempts.len() <= number {
                    live.attempts.resize(number + 1, unknown);
                }
                live.attempts[number] = attempt;
            }
            Kind::NeverRan => {
                let number = ledger::never_ran(payload)?;
                if let Some(attempt) = of.and_then(|found| found.live.attempts.get_mut(number)) {
                    attempt.may_have_run = false;
                }
            }
            Kind::Verdict => {
                let verdict = ledger::verdict(payload)?;
                if let Some(found) = of {
                    found.live.verdict = Some(verdict);
                }
            }
            Kind::Doubted => {
                if let Some(found) = of {
                    doubted(&mut found.live);
                    found.doubted = false;
                }
            }
            Kind::Ended => drop(self.live.remove(&message)),
        }
        Some(())
    }

    /// Only whose it is and what it was is known.
    fn spoilt(&mut self, kind: u8, message: u64, payload: &[u8]) {
        let of = self.live.get_mut(&message);
        match (Kind::of(kind), of) {
            // It was written whole before, and that is still there.
            (Some(Kind::Live), Some(found)) => found.doubted = true,
            (Some(Kind::Live), None) => match ledger::id(message, payload) {
                Some(id) => {
                    let letter = Rc::new(Letter { id, ..Letter::default() });
                    let ghost = Live { letter, verdict: Some(Verdict::Dead), ..Live::default() };
                    self.recovery.ghosts += 1;
                    let segment = self.segment;
                    self.live.insert(message, Told { live: ghost, doubted: false, segment });
                }
                None => self.recovery.unreadable += 1,
            },
            (Some(Kind::Attempt | Kind::Doubted), Some(found)) => found.doubted = true,
            // That it was decided is known; what was, is not, and its client may have been told.
            (Some(Kind::Verdict), Some(found)) => found.live.verdict = Some(Verdict::Dead),
            (Some(Kind::Ended), _) => drop(self.live.remove(&message)),
            // Without that record it may have run.
            (Some(Kind::NeverRan), _) | (_, None) => {}
            (None, Some(found)) => found.doubted = true,
        }
    }
}

/// An attempt of which nothing is known but that it may have been, at any time since the message came.
fn doubted(live: &mut Live) {
    let sent = live.taken;
    live.attempts.push(Attempt { sent, may_have_run: true, ..Attempt::default() });
}

impl Journal {
    /// Opens the record in the folder that lasts. `seed` is new with each start.
    pub fn open(folder: &Path, keeping: Keeping, seed: u64) -> io::Result<(Self, Recovery)> {
        old_journal::carry_over(folder, |live, to| fill(to, Plan::of(keeping, seed), keeping.room, live))?;
        let path = folder.join(NAME);
        let opened = match fs::symlink_metadata(&path) {
            Ok(found) if !found.is_dir() => Err(io::Error::other(format!("{} is no folder", path.display()))),
            _ => Journal::on(Folder::open(&path)?, Plan::of(keeping, seed), keeping.room),
        };
        let (mut journal, recovery) = opened?;
        if keeping.durability.syncs() {
            // The name of the journal's own folder.
            Folder::at(folder).sync_folder()?;
        }
        journal.writer = match journal.writer {
            Writer::Here(segments) if keeping.durability.syncs() => Writer::apart(*segments)?,
            writer => writer,
        };
        Ok((journal, recovery))
    }
}

impl Plan {
    fn of(keeping: Keeping, seed: u64) -> Self {
        let part = |share: f64| (keeping.room as f64 * share) as u64;
        let size = part(SEGMENT_SHARE).clamp(SEGMENT.0, SEGMENT.1);
        let Keeping { durability, refuse_damage, .. } = keeping;
        Plan { size, seed, aside: part(ASIDE_SHARE), durability, refuse_damage }
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
            writer: Writer::Here(Box::new(segments)),
            disk: folder,
            batch: Batch::default(),
            live: BTreeMap::new(),
            within: BTreeMap::new(),
            unplaced: Vec::new(),
            placing: Vec::new(),
            weight: 0,
            room,
            plan,
            sealed: scan.sealed.into(),
            scrubbed: 0,
            renew: None,
            aside: scan.room,
            commits: 0,
            syncs: 0,
        };
        for (message, mut told) in live {
            if told.doubt() {
                // On record, so that the next start finds the same and does not doubt once more.
                journal.batch.append(Kind::Doubted as u8, message, &[]);
                recovery.doubted += 1;
            }
            let Told { live, segment, .. } = told;
            journal.weight += live.weight();
            journal.within.entry(segment).or_default().push(message);
            journal.live.insert(message, Entry { live, segment: Some(segment) });
        }
        journal.flush()?;
        Ok((journal, recovery))
    }

    /// The next sealed segment that is to be read again; none if there is none that was whole.
    pub fn scrub(&mut self) -> Option<Scrub<D>> {
        let whole = |s: &&Sealed| s.whole.is_some();
        let next = self.sealed.iter().filter(whole).find(|s| s.number > self.scrubbed);
        let next = next.or_else(|| self.sealed.iter().find(whole))?;
        self.scrubbed = next.number;
        let (number, whole) = (next.number, next.whole.clone()?);
        Some(Scrub { disk: self.disk.clone(), number, whole, room: self.aside })
    }
}

impl<D: Disk> Journal<D> {
    /// Takes note of what reading a segment again has shown. True if it has spoilt and still counted: what
    /// lives of it, and of those before it, is written anew from memory by the next commits.
    pub fn scrubbed(&mut self, scrubbed: &Scrubbed) -> bool {
        let Some(damage) = &scrubbed.damage else { return false };
        let Some(sealed) = self.sealed.iter_mut().find(|s| s.number == scrubbed.number) else { return false };
        sealed.whole = None;
        if damage.aside {
            self.aside = self.aside.saturating_sub(damage.length as u64);
        }
        self.renew = self.renew.max(Some(scrubbed.number));
        true
    }

    pub fn live(&self) -> impl Iterator<Item = (u64, &Live)> {
        self.live.iter().map(|(message, entry)| (*message, &entry.live))
    }

    pub fn get(&self, message: u64) -> Option<&Live> {
        self.live.get(&message).map(|entry| &entry.live)
    }

    pub fn count(&self) -> usize {
        self.live.len()
    }

    /// Whether a message would fit, with all that it may still add.
    pub fn fits(&self, letter: &Letter) -> bool {
        self.weight + weight(letter) <= (self.room as f64 * LIVE_SHARE) as u64
    }

    pub fn accept(&mut self, message: u64, letter: Rc<Letter>) {
        self.keep(message, Live { letter, taken: unix(), ..Live::default() });
    }

    /// Writes a message whole.
    fn keep(&mut self, message: u64, live: Live) {
        self.batch.append(Kind::Live as u8, message, &ledger::put_live(message, &live));
        self.weight += live.weight();
        self.unplaced.push(message);
        if let Some(before) = self.live.insert(message, Entry { live, segment: None }) {
            self.weight -= before.live.weight();
        }
    }

    pub fn attempt(&mut self, message: u64, attempt: Attempt) {
        if let Some(entry) = self.live.get_mut(&message) {
            let number = entry.live.attempts.len() as u32;
            self.batch.append(Kind::Attempt as u8, message, &ledger::put_attempt(number, &attempt));
            entry.live.attempts.push(attempt);
        }
    }

    /// The outcome of an attempt. One that may have run needs no record: that is what is assumed.
    pub fn never_ran(&mut self, message: u64, attempt: u32) {
        let entry = self.live.get_mut(&message);
        if let Some(a) = entry.and_then(|e| e.live.attempts.get_mut(attempt as usize)) {
            a.may_have_run = false;
            self.batch.append(Kind::NeverRan as u8, message, &attempt.to_le_bytes());
        }
    }

    pub fn judge(&mut self, message: u64, verdict: Verdict) {
        if let Some(entry) = self.live.get_mut(&message) {
            entry.live.verdict = Some(verdict);
            self.batch.append(Kind::Verdict as u8, message, &ledger::put_verdict(verdict));
        }
    }

    pub fn end(&mut self, message: u64) {
        if let Some(entry) = self.live.remove(&message) {
            self.weight -= entry.live.weight();
            self.batch.append(Kind::Ended as u8, message, &[]);
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
        let full = (self.room as f64 * FULL_SHARE) as u64;
        loop {
            let crowded = self.status.total + self.status.waiting + self.batch.size() > full;
            if crowded && self.status.oldest.is_none() {
                return Some(Err(io::ErrorKind::StorageFull.into()));
            }
            if crowded || self.has_garbage() || self.is_renewing() {
                self.rewrite_oldest();
            }
            self.placing.append(&mut self.unplaced);
            self.commits += 1;
            let done = self.writer.commit(&mut self.batch)?;
            if let Err(e) = self.take_in(done) {
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
        self.take_in(done)
    }

    fn take_in(&mut self, (result, status): Done) -> io::Result<()> {
        self.syncs += u64::from(status.syncs);
        self.sealed.extend(status.sealed.iter().cloned());
        // Where none is left, the last one was dropped as well.
        let oldest = status.oldest.unwrap_or(u64::MAX);
        while self.sealed.front().is_some_and(|s| s.number < oldest) {
            self.sealed.pop_front();
        }
        self.status = status;
        result?;
        for message in std::mem::take(&mut self.placing) {
            if let Some(entry) = self.live.get_mut(&message) {
                entry.segment = Some(self.status.segment);
                self.within.entry(self.status.segment).or_default().push(message);
            }
        }
        Ok(())
    }

    /// So much has ended that the oldest segment is to be dropped.
    fn has_garbage(&self) -> bool {
        let most = (self.weight * GARBAGE).max(self.plan.size * SEGMENTS_LEAST);
        let most = most.min((self.room as f64 * FILE_SHARE) as u64);
        self.status.oldest.is_some() && self.status.total > most
    }

    /// The oldest segment is to be dropped because it, or a later one, has spoilt: one with each commit.
    fn is_renewing(&self) -> bool {
        self.status.oldest.is_some() && self.status.oldest <= self.renew
    }

    /// Another commit is needed though nothing waits for one.
    pub fn is_behind(&self) -> bool {
        self.has_garbage() || self.is_renewing()
    }

    /// Writes anew what lives of the oldest segment, which is dropped with that.
    fn rewrite_oldest(&mut self) {
        let Some(oldest) = self.status.oldest else { return };
        // Also what was written to one before that a failed write has cut off.
        while let Some(mut entry) = self.within.first_entry().filter(|e| *e.key() <= oldest) {
            let messages = std::mem::take(entry.get_mut());
            let segment = *entry.key();
            entry.remove();
            for message in messages {
                let Some(entry) = self.live.get_mut(&message).filter(|e| e.segment == Some(segment)) else {
                    continue;
                };
                entry.segment = None;
                self.batch.append(Kind::Live as u8, message, &ledger::put_live(message, &entry.live));
                self.unplaced.push(message);
            }
        }
        self.batch.drop_oldest();
    }
}

#[cfg(test)]
impl Journal {
    /// A journal in an empty folder whose commits end when the other side says so.
    pub fn by_hand(folder: &Path) -> io::Result<(Self, std::sync::mpsc::Receiver<Batch>, Tell)> {
        let keeping = Keeping { room: 3_000_000, durability: Durability::Power, refuse_damage: false };
        let (mut journal, _) = Journal::on(Folder::open(folder)?, Plan::of(keeping, 1), keeping.room)?;
        let (writer, batches, tell) = Writer::by_hand();
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
