//! The simulated disk of a machine: one write at a time, which takes some time, fails or stalls.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::storage::{SimulatedDirectory, StoreError, VersionedStore};

/// Longest duration of a write on a healthy disk.
const HEALTHY_MAX_WRITE_TIME: Duration = Duration::from_millis(2);

/// Number of file operations of a save, from creating the file to removing old versions.
const SAVE_STEPS: u32 = 6;

/// The record's name in the directory.
const RECORD_NAME: &str = "register";

/// A write that is not finished.
pub(super) struct Write {
    pub(super) token: u64,
    pub(super) bytes: Vec<u8>,
}

pub(super) struct Disk {
    pub(super) directory: SimulatedDirectory,
    pub(super) max_write_time: Duration,
    pub(super) stalled: bool,
    store: Option<VersionedStore>,
    /// The write in flight, if any.
    pub(super) write: Option<Write>,
}

impl Disk {
    pub(super) fn new() -> Self {
        Self {
            directory: SimulatedDirectory::new(),
            max_write_time: HEALTHY_MAX_WRITE_TIME,
            stalled: false,
            store: None,
            write: None,
        }
    }

    /// The record that a starting process finds.
    pub(super) fn open(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        let (store, record) = VersionedStore::open(&mut self.directory, RECORD_NAME)?;
        self.store = Some(store);
        Ok(record)
    }

    /// Completes the write in flight; returns its token and whether it succeeded.
    pub(super) fn finish_write(&mut self) -> Option<(u64, bool)> {
        let write = self.write.take()?;
        let store = self.store.as_mut()?;
        let saved = store.save(&mut self.directory, &write.bytes);
        Some((write.token, saved.is_ok()))
    }

    /// The process dies. A write in flight is executed up to a random file operation.
    pub(super) fn interrupt(&mut self, random: &mut SmallRng) {
        self.directory.operations_until_crash = Some(random.random_range(0..=SAVE_STEPS));
        let _ = self.finish_write();
        self.directory.operations_until_crash = None;
        self.store = None;
    }

    /// Ends all faults of the disk; its content stays.
    pub(super) fn repair(&mut self) {
        self.max_write_time = HEALTHY_MAX_WRITE_TIME;
        self.stalled = false;
        self.directory.rejects_writes = false;
    }
}
