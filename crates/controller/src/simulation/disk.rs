//! The simulated disk of a controller. It executes one write at a time, in order; writes take time, and may fail or
//! hang.

use crate::controller::{Event, Records, StoredState, Stores, TombstoneWrite, open_stores};
use lanegate_coordination::register::Record;
use lanegate_coordination::storage::SimulatedDirectory;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;
use std::path::Path;
use std::time::Duration;

/// Maximum duration of a write on a healthy disk.
const HEALTHY_WRITE_TIME: Duration = Duration::from_millis(2);
/// Number of file system steps of a save, from creating the file to removing old ones.
const SAVE_STEPS: u32 = 6;

/// What is to be written.
#[derive(Debug)]
pub(super) enum Write {
    /// The record of a shard.
    Shard { shard: u8, token: u64, record: Record },
    /// The tombstone log.
    Tombstones(TombstoneWrite),
}

/// A disk and the queue of its writes.
pub(super) struct Disk {
    directory: SimulatedDirectory,
    /// Present while a process has them open.
    stores: Option<Stores>,
    pub(super) longest_write: Duration,
    stalled: bool,
    queue: VecDeque<Write>,
    /// Whether the end of the first write in the queue is scheduled.
    pub(super) busy: bool,
}

impl Disk {
    pub(super) fn new() -> Self {
        Disk {
            directory: SimulatedDirectory::new(),
            stores: None,
            longest_write: HEALTHY_WRITE_TIME,
            stalled: false,
            queue: VecDeque::new(),
            busy: false,
        }
    }

    /// Opens the stores as a starting process does, and returns what they hold.
    pub(super) fn open(&mut self) -> Option<StoredState> {
        let (stores, stored) = open_stores(Path::new("data"), &mut self.directory).ok()?;
        self.stores = Some(stores);
        Some(stored)
    }

    /// The records that a process starting now would read. Leaves the disk unchanged.
    pub(super) fn peek(&self) -> Records {
        let mut copy = Disk::new();
        copy.directory = self.directory.clone();
        copy.directory.rejects_writes = false;
        copy.open().unwrap_or_default().records
    }

    pub(super) fn queue(&mut self, write: Write) {
        self.queue.push_back(write);
    }

    /// Whether a write could be started now.
    pub(super) fn is_ready(&self) -> bool {
        !self.busy && !self.stalled && !self.queue.is_empty()
    }

    /// Ends the first write in the queue, and returns the event that reports it; `None` if the disk hangs.
    pub(super) fn finish_write(&mut self) -> Option<Event> {
        self.busy = false;
        if self.stalled {
            return None;
        }
        let write = self.queue.pop_front()?;
        let durable = self.save(&write);
        Some(match write {
            Write::Shard { shard, token, .. } => Event::Written { shard, token, durable },
            Write::Tombstones(TombstoneWrite { version, .. }) => {
                Event::TombstonesWritten { version, durable }
            }
        })
    }

    fn save(&mut self, write: &Write) -> bool {
        let Some(stores) = &mut self.stores else { return false };
        match write {
            Write::Shard { shard, record, .. } => {
                let Ok(bytes) = record.encode() else { return false };
                let Some(store) = stores.shards.get_mut(shard) else { return false };
                store.save(&mut self.directory, &bytes).is_ok()
            }
            Write::Tombstones(write) => stores.tombstones.save(&mut self.directory, &write.record).is_ok(),
        }
    }

    /// The process is killed, possibly during a write.
    pub(super) fn interrupt(&mut self, random: &mut SmallRng) {
        self.directory.operations_until_crash = Some(random.random_range(0..=SAVE_STEPS));
        if let Some(write) = self.queue.pop_front() {
            self.save(&write);
        }
        self.directory.operations_until_crash = None;
        self.queue.clear();
        self.stores = None;
        self.busy = false;
    }

    pub(super) fn lose_power(&mut self, random: &mut SmallRng) {
        self.directory.lose_power(random);
    }

    pub(super) fn wipe(&mut self) {
        self.directory.wipe();
    }

    pub(super) fn stall(&mut self) {
        self.stalled = true;
    }

    pub(super) fn fill(&mut self) {
        self.directory.rejects_writes = true;
    }

    /// Ends all faults of the disk; its content stays as it is.
    pub(super) fn repair(&mut self) {
        self.longest_write = HEALTHY_WRITE_TIME;
        self.stalled = false;
        self.directory.rejects_writes = false;
    }

    /// Whether writes take longer than on a healthy disk, or hang.
    pub(super) fn is_slow(&self) -> bool {
        self.stalled || self.longest_write != HEALTHY_WRITE_TIME
    }

    pub(super) fn is_healthy(&self) -> bool {
        !self.is_slow() && !self.directory.rejects_writes
    }
}
