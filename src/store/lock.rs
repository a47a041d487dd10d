//! The lock on a state folder: only the process that holds it writes there.

use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;

const NAME: &str = "lock";

/// Held until it is dropped or the process ends, however it ends.
pub struct Lock {
    _file: File,
}

fn try_lock(file: File) -> io::Result<Option<Lock>> {
    match file.try_lock() {
        Ok(()) => Ok(Some(Lock { _file: file })),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl Lock {
    /// None if another process holds it.
    pub fn take(folder: &Path) -> io::Result<Option<Self>> {
        try_lock(File::options().write(true).create(true).truncate(false).open(folder.join(NAME))?)
    }

    /// The same, but creates no lock file: if there is none, no process has ever held the lock.
    pub fn probe(folder: &Path) -> io::Result<LockState> {
        match File::open(folder.join(NAME)) {
            Ok(file) => Ok(try_lock(file)?.map_or(LockState::InUse, |lock| LockState::Free(Some(lock)))),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(LockState::Free(None)),
            Err(e) => Err(e),
        }
    }
}

/// Whether another process writes to a folder.
pub enum LockState {
    InUse,
    /// No other process writes to it while this value is held.
    Free(Option<Lock>),
}
