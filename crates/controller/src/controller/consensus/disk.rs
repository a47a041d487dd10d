//! The thread that writes records to disk, so that a slow write or sync does not block the event loop.

use crate::controller::consensus::records::Stores;
use crate::controller::endpoints::tombstone_log::TombstoneWrite;
use crate::controller::event::Event;
use lanegate_coordination::register::{CodecError, Record};
use lanegate_coordination::storage::{FileDirectory, StoreError};
use parking_lot::Mutex;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// What is to be written.
enum Write {
    /// The record of a shard.
    Shard { shard: u8, token: u64, record: Record },
    /// The tombstone log.
    Tombstones(TombstoneWrite),
}

impl Write {
    fn save(&self, folder: &mut FileDirectory, stores: &mut Stores) -> Result<(), WriteError> {
        match self {
            Write::Shard { shard, record, .. } => {
                let bytes = record.encode()?;
                let store = stores.shards.get_mut(shard).expect("every shard has a store");
                Ok(store.save(folder, &bytes)?)
            }
            Write::Tombstones(write) => Ok(stores.tombstones.save(folder, &write.record)?),
        }
    }

    /// The event that reports the end of the write.
    fn ended(&self, durable: bool) -> Event {
        match *self {
            Write::Shard { shard, token, .. } => Event::Written { shard, token, durable },
            Write::Tombstones(TombstoneWrite { version, .. }) => {
                Event::TombstonesWritten { version, durable }
            }
        }
    }
}

impl fmt::Display for Write {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Write::Shard { shard, .. } => write!(formatter, "shard={shard}"),
            Write::Tombstones(_) => formatter.write_str("tombstones"),
        }
    }
}

/// Statistics of disk writes since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct DiskUse {
    /// Records that are on disk.
    pub written: u64,
    /// Records that could not be written.
    pub failed: u64,
    /// Records that wait to be written, or are being written.
    pub waiting: u64,
    /// Total time of all writes.
    pub time: Duration,
    /// Time of the longest write.
    pub longest: Duration,
}

/// Statistics shared between the disk thread and the code that queues records.
#[derive(Debug, Default)]
pub(crate) struct DiskCounts(Mutex<DiskUse>);

impl DiskCounts {
    /// A copy of the current statistics.
    pub(crate) fn snapshot(&self) -> DiskUse {
        *self.0.lock()
    }

    fn queued(&self) {
        self.0.lock().waiting += 1;
    }

    fn ended(&self, is_written: bool, time: Duration) {
        let mut counts = self.0.lock();
        counts.waiting = counts.waiting.saturating_sub(1);
        counts.written += u64::from(is_written);
        counts.failed += u64::from(!is_written);
        counts.time += time;
        counts.longest = counts.longest.max(time);
    }
}

/// Handle that queues records for the disk thread.
#[derive(Debug, Clone)]
pub(crate) struct Disk {
    writes: std::sync::mpsc::Sender<Write>,
    counts: Arc<DiskCounts>,
}

impl Disk {
    /// Starts the thread; the completion of each write arrives as [`Event::Written`] or [`Event::TombstonesWritten`].
    pub(crate) fn start(
        mut folder: FileDirectory,
        mut stores: Stores,
        events: mpsc::UnboundedSender<Event>,
        counts: Arc<DiskCounts>,
    ) -> std::io::Result<Disk> {
        let (writes, queue) = std::sync::mpsc::channel::<Write>();
        let ended = counts.clone();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
            for write in queue {
                let began = Instant::now();
                let durable = write.save(&mut folder, &mut stores);
                let durable =
                    durable.inspect_err(|error| log::warn!("record not persisted {write} error={error}"));
                ended.ended(durable.is_ok(), began.elapsed());
                if events.send(write.ended(durable.is_ok())).is_err() {
                    return;
                }
            }
        })?;
        Ok(Disk { writes, counts })
    }

    /// Queues a record for writing.
    pub(crate) fn write(&self, shard: u8, token: u64, record: Record) {
        self.queue(Write::Shard { shard, token, record });
    }

    /// Queues the tombstone log for writing.
    pub(crate) fn write_tombstones(&self, write: TombstoneWrite) {
        self.queue(Write::Tombstones(write));
    }

    fn queue(&self, write: Write) {
        self.counts.queued();
        let _ = self.writes.send(write);
    }
}

/// Why a record could not be written.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Encode(#[from] CodecError),
    #[error(transparent)]
    Store(#[from] StoreError),
}
