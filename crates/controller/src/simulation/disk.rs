//! The simulated disk of a controller. It executes one write at a time, in order; writes take time, and may fail or
//! hang.

use crate::controller::{Records, Stores, open_stores};
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

/// A record that is to be written.
#[derive(Debug)]
pub(super) struct Write {
    pub(super) shard: u8,
    pub(super) token: u64,
    pub(super) record: Record,
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct Written {
    pub(super) shard: u8,
    pub(super) token: u64,
    pub(super) durable: bool,
}

/// A disk and the queue of its writes.
pub(super) struct Disk {
    directory: SimulatedDirectory,
    stores: Stores,
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
            stores: Stores::new(),
            longest_write: HEALTHY_WRITE_TIME,
            stalled: false,
            queue: VecDeque::new(),
            busy: false,
        }
    }

    /// Opens the stores as a starting process does, and returns their records.
    pub(super) fn open(&mut self) -> Option<Records> {
        let (stores, records) = open_stores(Path::new("data"), &mut self.directory).ok()?;
        self.stores = stores;
        Some(records)
    }

    /// The records that a process starting now would read. Leaves the disk unchanged.
    pub(super) fn peek(&self) -> Records {
        let mut copy = Disk::new();
        copy.directory = self.directory.clone();
        copy.directory.rejects_writes = false;
        copy.open().unwrap_or_default()
    }

    pub(super) fn queue(&mut self, write: Write) {
        self.queue.push_back(write);
    }

    /// Whether a write could be started now.
    pub(super) fn is_ready(&self) -> bool {
        !self.busy && !self.stalled && !self.queue.is_empty()
    }

    /// Ends the first write in the queue; `None` if the disk hangs.
    pub(super) fn finish_write(&mut self) -> Option<Written> {
        self.busy = false;
        if self.stalled {
            return None;
        }
        let Write { shard, token, record } = self.queue.pop_front()?;
        let durable = self.save(shard, &record);
        Some(Written { shard, token, durable })
    }

    fn save(&mut self, shard: u8, record: &Record) -> bool {
        let Ok(bytes) = record.encode() else { return false };
        let Some(store) = self.stores.get_mut(&shard) else { return false };
        store.save(&mut self.directory, &bytes).is_ok()
    }

    /// The process is killed, possibly during a write.
    pub(super) fn interrupt(&mut self, random: &mut SmallRng) {
        self.directory.operations_until_crash = Some(random.random_range(0..=SAVE_STEPS));
        if let Some(write) = self.queue.pop_front() {
            self.save(write.shard, &write.record);
        }
        self.directory.operations_until_crash = None;
        self.queue.clear();
        self.stores = Stores::new();
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
