//! Inspects and repairs the journal of a courier that is not running. `docs/on-call.md` tells when to use
//! which command.

use super::journal::{self, JournalContents, LiveMessage, NAME, Verdict, unix};
use super::old_journal::{self, NEW_FOLDER};
use crate::store::disk::{Disk, Folder};
use crate::store::lock::{Lock, LockState};
use serde::Serialize;
use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    Undamaged,
    Damaged,
    /// It was damaged and has been repaired.
    Repaired,
}

/// Why a command could not run.
#[derive(Debug)]
pub enum CommandError {
    /// A courier is running on this folder.
    InUse(PathBuf),
    NoJournal(PathBuf),
    Io(PathBuf, io::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CommandError::InUse(at) => write!(f, "{}: a courier runs on it; stop that first", at.display()),
            CommandError::NoJournal(at) => {
                write!(f, "{}: holds no journal; the folder that LB_STATE names is meant", at.display())
            }
            CommandError::Io(at, e) => write!(f, "{}: {e}", at.display()),
        }
    }
}

impl std::error::Error for CommandError {}

/// A state folder that no other process writes to while this value is held.
struct LockedFolder {
    folder: PathBuf,
    _lock: Option<Lock>,
}

impl LockedFolder {
    fn take(folder: &Path) -> Result<Self, CommandError> {
        let at = |e| CommandError::Io(folder.to_owned(), e);
        match Lock::probe(folder).map_err(at)? {
            LockState::InUse => Err(CommandError::InUse(folder.to_owned())),
            LockState::Free(_lock) => Ok(LockedFolder { folder: folder.to_owned(), _lock }),
        }
    }

    /// Reads the journal, in its current or its old format.
    fn read(&self) -> Result<JournalContents, CommandError> {
        let path = self.folder.join(NAME);
        let at = |e| CommandError::Io(path.clone(), e);
        match fs::metadata(&path) {
            Ok(found) if found.is_file() => {
                let bytes = fs::read(&path).map_err(at)?;
                let (live, valid_length) = old_journal::replay(&bytes);
                let mut recovery = journal::Recovery::default();
                if valid_length < bytes.len() {
                    recovery.damage.push(old_journal::unreadable_rest(&bytes, valid_length));
                }
                Ok(JournalContents { live, recovery, segments: 1, size: bytes.len() as u64 })
            }
            Ok(_) => journal::read(&path).map_err(at),
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                Err(CommandError::NoJournal(self.folder.clone()))
            }
            Err(e) => Err(at(e)),
        }
    }
}

/// Reports damage. Changes nothing.
pub fn check(folder: &Path, to: &mut impl Write) -> Result<Finding, CommandError> {
    let found = LockedFolder::take(folder)?.read()?;
    report(&found, to).map_err(|e| CommandError::Io(folder.to_owned(), e))
}

fn report(found: &JournalContents, to: &mut impl Write) -> io::Result<Finding> {
    let JournalContents { live, recovery, segments, size } = found;
    let decided = live.values().filter(|m| m.verdict.is_some()).count();
    writeln!(to, "{segments} segments, {size} bytes")?;
    writeln!(to, "{} messages live, {decided} of them decided and not yet told", live.len())?;
    if let Some(cut) = &recovery.cut {
        writeln!(to, "{cut}")?;
    }
    if recovery.damage.is_empty() {
        writeln!(to, "sound")?;
        return Ok(Finding::Undamaged);
    }
    for damage in &recovery.damage {
        writeln!(to, "damaged: {damage}")?;
    }
    if let Some(summary) = recovery.summary() {
        writeln!(to, "{summary}")?;
    }
    Ok(Finding::Damaged)
}

/// A message as `show --json` prints it: one object per line.
#[derive(Serialize)]
struct MessageRow<'a> {
    message: u64,
    id: &'a str,
    class: &'a str,
    tenant: &'a str,
    destination: u64,
    key: Option<&'a str>,
    bytes: usize,
    /// Unix time in seconds.
    taken: f64,
    until: f64,
    attempts: Vec<AttemptRow<'a>>,
    verdict: Option<&'static str>,
}

#[derive(Serialize)]
struct AttemptRow<'a> {
    host: &'a str,
    zone: &'a str,
    sent: f64,
    may_have_run: bool,
}

impl<'a> MessageRow<'a> {
    fn of(message: u64, live: &'a LiveMessage) -> Self {
        let tried = |a: &'a journal::Attempt| AttemptRow {
            host: &a.host,
            zone: &a.zone,
            sent: a.sent.as_secs_f64(),
            may_have_run: a.may_have_run,
        };
        let submitted = &live.submitted;
        MessageRow {
            message,
            id: &submitted.id,
            class: &submitted.class,
            tenant: &submitted.tenant,
            destination: submitted.destination,
            key: submitted.key.as_deref(),
            bytes: submitted.body.len(),
            taken: live.taken.as_secs_f64(),
            until: submitted.until.as_secs_f64(),
            attempts: live.attempts.iter().map(tried).collect(),
            verdict: live.verdict.map(|v| match v {
                Verdict::Dead => "dead",
                Verdict::Bounced { .. } => "bounced",
            }),
        }
    }
}

/// Prints all live messages, or the one with this id. Changes nothing.
pub fn show(
    folder: &Path,
    id: Option<&str>,
    json: bool,
    to: &mut impl Write,
) -> Result<Finding, CommandError> {
    let found = LockedFolder::take(folder)?.read()?;
    let now = unix().as_secs_f64();
    let mut print = || -> io::Result<()> {
        let of = |live: &&LiveMessage| id.is_none_or(|id| live.submitted.id == id);
        for (message, live) in found.live.iter().filter(|(_, live)| of(live)) {
            let shown = MessageRow::of(*message, live);
            if json {
                writeln!(to, "{}", serde_json::to_string(&shown)?)?;
                continue;
            }
            let MessageRow { id, class, destination, until, attempts, verdict, .. } = &shown;
            let ran = attempts.iter().filter(|a| a.may_have_run).count();
            let state = verdict.unwrap_or(if *until > now { "waits" } else { "out of time" });
            let (tried, left) = (attempts.len(), until - now);
            writeln!(
                to,
                "{id}: {class} for {destination}, {state}, {left:.1} s left, {tried} attempts, {ran} may have run"
            )?;
            for a in attempts {
                let (host, ago) = (if a.host.is_empty() { "unknown" } else { a.host }, now - a.sent);
                let ran = if a.may_have_run { "may have run" } else { "did not run" };
                writeln!(to, "  to {host} {ago:.1} s ago: {ran}")?;
            }
        }
        Ok(())
    };
    print().map_err(|e| CommandError::Io(folder.to_owned(), e))?;
    Ok(if found.recovery.damage.is_empty() { Finding::Undamaged } else { Finding::Damaged })
}

/// Rewrites a damaged journal from what can be read of it. The new journal is written beside it and verified
/// before it takes its place; the damaged one is kept under another name.
pub fn repair(folder: &Path, seed: u64, to: &mut impl Write) -> Result<Finding, CommandError> {
    let locked = LockedFolder::take(folder)?;
    let found = locked.read()?;
    let at = |e| CommandError::Io(folder.to_owned(), e);
    if report(&found, to).map_err(at)? == Finding::Undamaged {
        return Ok(Finding::Undamaged);
    }
    let (journal, new) = (folder.join(NAME), folder.join(NEW_FOLDER));
    let rewrite = || -> io::Result<PathBuf> {
        old_journal::remove(&new)?;
        journal::write(&new, &found.live, seed)?;
        let written = journal::read(&new)?;
        if written.live != found.live || !written.recovery.damage.is_empty() {
            return Err(io::Error::other("verification of the new journal failed; nothing was changed"));
        }
        let quarantined =
            (1..).map(|n| folder.join(format!("{NAME}.damaged-{n}"))).find(|path| !path.exists());
        let quarantined = quarantined.unwrap_or_default();
        fs::rename(&journal, &quarantined)?;
        // If this process ends here, a start also finds the new journal under the name `journal.2`.
        fs::rename(&new, &journal)?;
        Folder::at(folder).sync_folder()?;
        Ok(quarantined)
    };
    let quarantined = rewrite().map_err(at)?;
    writeln!(
        to,
        "repaired: {} messages live; the damaged journal is kept in {}",
        found.live.len(),
        quarantined.display()
    )
    .map_err(at)?;
    Ok(Finding::Repaired)
}
