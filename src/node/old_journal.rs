//! The journal's old format: a single file of records, each with its length and checksum. It is read once and
//! migrated.

use super::journal::{Attempt, LiveMessage, Message, NAME};
use super::log::log_line;
use super::record_codec::FieldReader;
use crate::store::scan::Damage;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// The old file while it is being replaced, the new folder while it is being written, and the temporary file
/// of the old format's rewrites.
const OLD_FILE: &str = "journal.1";
pub const NEW_FOLDER: &str = "journal.2";
const OLD_REWRITE: &str = "journal.next";
const MAX_RECORD: usize = 128 * 1024;

pub fn remove(path: &Path) -> io::Result<()> {
    let gone = match fs::symlink_metadata(path) {
        Ok(found) if found.is_dir() => fs::remove_dir_all(path),
        Ok(_) => fs::remove_file(path),
        Err(e) => Err(e),
    };
    match gone {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Migrates an old journal, if there is one: `write` creates the new journal in the folder it is given. If
/// the process is killed at any point, the next start finds either the complete old journal or the complete
/// new one.
pub fn migrate(
    folder: &Path,
    write: impl FnOnce(&BTreeMap<u64, LiveMessage>, &Path) -> io::Result<()>,
) -> io::Result<()> {
    let [journal, old, new] = [NAME, OLD_FILE, NEW_FOLDER].map(|name| folder.join(name));
    if fs::symlink_metadata(&journal).is_ok_and(|found| found.is_file()) {
        remove(&folder.join(OLD_REWRITE))?;
        remove(&new)?;
        let bytes = fs::read(&journal)?;
        let (live, valid_length) = replay(&bytes);
        if valid_length < bytes.len() {
            log_line!("journal: {}", unreadable_rest(&bytes, valid_length));
        }
        log_line!("journal: {} messages are migrated from the old format", live.len());
        write(&live, &new)?;
        fs::rename(&journal, &old)?;
    }
    if fs::symlink_metadata(&journal).is_err() && new.is_dir() {
        fs::rename(&new, &journal)?;
    }
    // From here on the new journal is complete.
    if journal.is_dir() {
        remove(&old)?;
    }
    Ok(())
}

const ACCEPTED: u8 = 1;
const ATTEMPT: u8 = 2;
const OUTCOME: u8 = 3;
const VERDICT: u8 = 4;
const ENDED: u8 = 5;

/// Applies one record; None if it cannot be decoded.
fn apply(live: &mut BTreeMap<u64, LiveMessage>, record: &[u8]) -> Option<()> {
    let mut f = FieldReader(record);
    let (kind, message) = (f.u8()?, f.u64()?);
    match kind {
        ACCEPTED => {
            let (until, destination) = (f.time()?, f.u64()?);
            let (id, class, keyed, key) = (f.text()?, f.text()?, f.u8()? == 1, f.text()?);
            let body = Bytes::copy_from_slice(f.bytes()?);
            // Records of the earliest versions end here.
            let tenant = if f.0.is_empty() { String::new() } else { f.text()? };
            let submitted =
                Message { id, class, tenant, destination, key: keyed.then_some(key), until, body };
            live.insert(message, LiveMessage { submitted: Rc::new(submitted), ..LiveMessage::default() });
        }
        ATTEMPT => {
            let (sent, host, zone) = (f.time()?, f.text()?, f.text()?);
            if let Some(m) = live.get_mut(&message) {
                m.attempts.push(Attempt { host, zone, sent, may_have_run: true });
            }
        }
        OUTCOME => {
            let attempt = f.u32()? as usize;
            if let Some(a) = live.get_mut(&message).and_then(|m| m.attempts.get_mut(attempt)) {
                a.may_have_run = false;
            }
        }
        VERDICT => {
            let verdict = f.verdict()?;
            if let Some(m) = live.get_mut(&message) {
                m.verdict = Some(verdict);
            }
        }
        ENDED => drop(live.remove(&message)),
        _ => return None,
    }
    Some(())
}

/// Describes the part of an old journal behind its valid prefix.
pub fn unreadable_rest(bytes: &[u8], valid_length: usize) -> Damage {
    let what = "the old format cannot be read from here on";
    Damage {
        file: NAME.to_owned(),
        offset: valid_length,
        length: bytes.len() - valid_length,
        what,
        quarantined: false,
    }
}

/// Replays the valid prefix: returns the live messages and the prefix's length.
pub fn replay(bytes: &[u8]) -> (BTreeMap<u64, LiveMessage>, usize) {
    let (mut live, mut valid_length) = (BTreeMap::new(), 0);
    let mut f = FieldReader(bytes);
    while let (Some(len), Some(sum)) = (f.u32(), f.u32()) {
        let record = f.take(len as usize).filter(|r| r.len() <= MAX_RECORD && crc32fast::hash(r) == sum);
        if record.and_then(|r| apply(&mut live, r)).is_none() {
            break;
        }
        valid_length = bytes.len() - f.0.len();
    }
    (live, valid_length)
}
