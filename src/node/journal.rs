//! The record of what this courier has taken on, in the folder that lasts: which messages live, what was tried
//! and what was decided. `docs/recovery.md` tells what each kind of damage to it costs.

use super::ledger::{self, Kind};
use super::old_journal;
use crate::store::disk::{Disk, Folder};
use crate::store::frame::FRAME;
use crate::store::segments::{Damage, Plan, Read, Segments};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs;
use std::io;
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
const FULL_SHARE: f64 = 0.97;
const ASIDE_SHARE: f64 = 0.06;
/// So many times what lives may stand in the segments before the oldest is dropped, and so many segments.
const GARBAGE: u64 = 4;
const SEGMENTS_LEAST: u64 = 2;
/// A segment's part of the disk, and its bounds.
const SEGMENT_SHARE: f64 = 1.0 / 32.0;
const SEGMENT: (u64, u64) = (64 * 1024, 4 * 1024 * 1024);

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
}

pub struct Journal<D: Disk = Folder> {
    segments: Segments<D>,
    live: BTreeMap<u64, Entry>,
    /// By segment, the messages that were written whole to it.
    within: BTreeMap<u64, Vec<u64>>,
    weight: u64,
    room: u64,
    plan: Plan,
}

/// A message that lives, and the segment in which it was last written whole.
struct Entry {
    live: Live,
    segment: u64,
}

/// Messages as records tell them, while these are read.
#[derive(Default)]
struct Replay {
    live: BTreeMap<u64, Found>,
    recovery: Recovery,
    /// The segment that is being read.
    segment: u64,
}

/// A message as far as it has been read.
struct Found {
    live: Live,
    /// Records that may have been its own are lost.
    doubted: bool,
    /// Where it was last written whole.
    segment: u64,
}

impl Replay {
    fn take(&mut self, read: Read) {
        match read {
            Read::Record { label, payload } => {
                self.recovery.last = self.recovery.last.max(label.message);
                if self.record(label.kind, label.message, payload).is_none() {
                    self.spoilt(label.kind, label.message, payload);
                }
            }
            Read::Spoilt { label, payload } => {
                self.recovery.last = self.recovery.last.max(label.message);
                self.spoilt(label.kind, label.message, payload);
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
                self.live.insert(message, Found { live, doubted: false, segment });
            }
            Kind::Attempt => {
                let (number, attempt) = ledger::attempt(payload)?;
                let Some(Found { live, .. }) = of else { return Some(()) };
                // The records of those between are lost.
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
                    doubt(&mut found.live);
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
            (Some(Kind::Live), None) => match ledger::id(payload) {
                Some(id) => {
                    let letter = Rc::new(Letter { id, ..Letter::default() });
                    let ghost = Live { letter, verdict: Some(Verdict::Dead), ..Live::default() };
                    self.recovery.ghosts += 1;
                    let segment = self.segment;
                    self.live.insert(message, Found { live: ghost, doubted: false, segment });
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
fn doubt(live: &mut Live) {
    let sent = live.taken;
    live.attempts.push(Attempt { sent, may_have_run: true, ..Attempt::default() });
}

impl Journal {
    /// Opens the record in the folder that lasts. `seed` is new with each start.
    pub fn open(folder: &Path, disk: u64, seed: u64) -> io::Result<(Self, Recovery)> {
        old_journal::carry_over(folder, |live, to| {
            let segments = Folder::open(to)?;
            let (mut journal, _) = Journal::on(segments, disk, seed)?;
            live.into_iter().for_each(|(message, live)| journal.keep(message, live));
            journal.flush()
        })?;
        let path = folder.join(NAME);
        match fs::symlink_metadata(&path) {
            Ok(found) if !found.is_dir() => Err(io::Error::other(format!("{} is no folder", path.display()))),
            _ => Journal::on(Folder::open(&path)?, disk, seed),
        }
    }
}

impl<D: Disk> Journal<D> {
    fn on(folder: D, room: u64, seed: u64) -> io::Result<(Self, Recovery)> {
        let part = |share: f64| (room as f64 * share) as u64;
        let size = part(SEGMENT_SHARE).clamp(SEGMENT.0, SEGMENT.1);
        let plan = Plan { size, seed, aside: part(ASIDE_SHARE) };
        let mut replay = Replay::default();
        let (segments, damage) = Segments::open(folder, &plan, |read| replay.take(read))?;
        let Replay { live, mut recovery, .. } = replay;
        recovery.damage = damage;
        let mut journal =
            Journal { segments, live: BTreeMap::new(), within: BTreeMap::new(), weight: 0, room, plan };
        for (message, Found { mut live, doubted, segment }) in live {
            if doubted && live.verdict.is_none() {
                // On record, so that the next start finds the same and does not doubt once more.
                journal.segments.append(Kind::Doubted as u8, message, &[]);
                doubt(&mut live);
                recovery.doubted += 1;
            }
            journal.weight += live.weight();
            journal.within.entry(segment).or_default().push(message);
            journal.live.insert(message, Entry { live, segment });
        }
        journal.flush()?;
        Ok((journal, recovery))
    }

    pub fn live(&self) -> impl Iterator<Item = (u64, &Live)> {
        self.live.iter().map(|(message, entry)| (*message, &entry.live))
    }

    pub fn get(&self, message: u64) -> Option<&Live> {
        self.live.get(&message).map(|entry| &entry.live)
    }

    pub fn len(&self) -> usize {
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
        self.segments.append(Kind::Live as u8, message, &ledger::put_live(&live));
        self.weight += live.weight();
        let segment = self.segments.number();
        self.within.entry(segment).or_default().push(message);
        if let Some(before) = self.live.insert(message, Entry { live, segment }) {
            self.weight -= before.live.weight();
        }
    }

    pub fn attempt(&mut self, message: u64, attempt: Attempt) {
        if let Some(entry) = self.live.get_mut(&message) {
            let number = entry.live.attempts.len() as u32;
            self.segments.append(Kind::Attempt as u8, message, &ledger::put_attempt(number, &attempt));
            entry.live.attempts.push(attempt);
        }
    }

    /// The outcome of an attempt. One that may have run needs no record: that is what is assumed.
    pub fn never_ran(&mut self, message: u64, attempt: u32) {
        let entry = self.live.get_mut(&message);
        if let Some(a) = entry.and_then(|e| e.live.attempts.get_mut(attempt as usize)) {
            a.may_have_run = false;
            self.segments.append(Kind::NeverRan as u8, message, &attempt.to_le_bytes());
        }
    }

    pub fn judge(&mut self, message: u64, verdict: Verdict) {
        if let Some(entry) = self.live.get_mut(&message) {
            entry.live.verdict = Some(verdict);
            self.segments.append(Kind::Verdict as u8, message, &ledger::put_verdict(verdict));
        }
    }

    pub fn end(&mut self, message: u64) {
        if let Some(entry) = self.live.remove(&message) {
            self.weight -= entry.live.weight();
            self.segments.append(Kind::Ended as u8, message, &[]);
        }
    }

    /// Brings all records into the file. After an error they stay here and go first the next time.
    pub fn flush(&mut self) -> io::Result<()> {
        let full = (self.room as f64 * FULL_SHARE) as u64;
        while self.segments.total() + self.segments.waiting() > full && self.segments.oldest().is_some() {
            self.drop_oldest()?;
        }
        if self.segments.total() + self.segments.waiting() > full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.segments.flush()?;
        let most = (self.weight * GARBAGE).max(self.plan.size * SEGMENTS_LEAST);
        let most = most.min((self.room as f64 * FILE_SHARE) as u64);
        // The records are on disk: that an old segment could not be dropped is not their failure.
        while self.segments.total() > most && self.segments.oldest().is_some() {
            if self.drop_oldest().is_err() {
                break;
            }
        }
        Ok(())
    }

    /// Writes anew what lives of the oldest segment, and drops it.
    fn drop_oldest(&mut self) -> io::Result<()> {
        let Some(oldest) = self.segments.oldest() else { return Ok(()) };
        let to = self.segments.number();
        // Also what was written to one before that a failed write has cut off.
        while let Some(mut entry) = self.within.first_entry().filter(|e| *e.key() <= oldest) {
            let messages = std::mem::take(entry.get_mut());
            let segment = *entry.key();
            entry.remove();
            for message in messages {
                let Some(entry) = self.live.get_mut(&message).filter(|e| e.segment == segment) else {
                    continue;
                };
                entry.segment = to;
                self.segments.append(Kind::Live as u8, message, &ledger::put_live(&entry.live));
                self.within.entry(to).or_default().push(message);
            }
        }
        self.segments.drop_oldest()
    }
}

#[cfg(test)]
#[path = "journal_test.rs"]
mod tests;
