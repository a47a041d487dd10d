//! The thread that writes records to disk, so that a slow write or sync does not block the event loop.

use crate::controller::event::Event;
use lanegate_coordination::register::{CodecError, Record};
use lanegate_coordination::storage::{FileDirectory, StoreError, VersionedStore};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A record to write.
struct Write {
    shard: u8,
    token: u64,
    record: Record,
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
    /// Starts the thread; the completion of each write arrives as [`Event::Written`].
    pub(crate) fn start(
        mut folder: FileDirectory,
        mut stores: BTreeMap<u8, VersionedStore>,
        events: mpsc::UnboundedSender<Event>,
        counts: Arc<DiskCounts>,
    ) -> std::io::Result<Disk> {
        let (writes, queue) = std::sync::mpsc::channel::<Write>();
        let ended = counts.clone();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
            for Write { shard, token, record } in queue {
                let began = Instant::now();
                let durable = write(&mut folder, &mut stores, shard, &record);
                let durable = durable
                    .inspect_err(|error| log::warn!("record not persisted shard={shard} error={error}"));
                ended.ended(durable.is_ok(), began.elapsed());
                if events.send(Event::Written { shard, token, durable: durable.is_ok() }).is_err() {
                    return;
                }
            }
        })?;
        Ok(Disk { writes, counts })
    }

    /// Queues a record for writing.
    pub(crate) fn write(&self, shard: u8, token: u64, record: Record) {
        self.counts.queued();
        let _ = self.writes.send(Write { shard, token, record });
    }
}

fn write(
    folder: &mut FileDirectory,
    stores: &mut BTreeMap<u8, VersionedStore>,
    shard: u8,
    record: &Record,
) -> Result<(), WriteError> {
    let bytes = record.encode()?;
    let store = stores.get_mut(&shard).expect("every shard has a store");
    Ok(store.save(folder, &bytes)?)
}

/// Why a record could not be written.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Encode(#[from] CodecError),
    #[error(transparent)]
    Store(#[from] StoreError),
}
