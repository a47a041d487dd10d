//! The disk's own thread: a write or a sync that takes seconds holds up nothing else.

use super::event::Event;
use lanegate_coordination::register::{CodecError, Record};
use lanegate_coordination::storage::{Folder, StoreError, VersionedStore};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// A record to write.
struct Write {
    shard: u8,
    token: u64,
    record: Record,
}

/// Hands records to the disk's thread.
#[derive(Debug, Clone)]
pub struct Disk {
    writes: std::sync::mpsc::Sender<Write>,
}

impl Disk {
    /// Starts the thread; the end of each write comes as [`Event::Written`].
    pub fn start(
        mut folder: Folder,
        mut stores: BTreeMap<u8, VersionedStore>,
        events: mpsc::UnboundedSender<Event>,
    ) -> std::io::Result<Disk> {
        let (writes, queue) = std::sync::mpsc::channel::<Write>();
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
            for Write { shard, token, record } in queue {
                let durable = write(&mut folder, &mut stores, shard, &record);
                let durable = durable.inspect_err(|error| log::warn!("record of shard {shard}: {error}"));
                if events.send(Event::Written { shard, token, durable: durable.is_ok() }).is_err() {
                    return;
                }
            }
        })?;
        Ok(Disk { writes })
    }

    /// Queues a record.
    pub fn write(&self, shard: u8, token: u64, record: Record) {
        let _ = self.writes.send(Write { shard, token, record });
    }
}

fn write(
    folder: &mut Folder,
    stores: &mut BTreeMap<u8, VersionedStore>,
    shard: u8,
    record: &Record,
) -> Result<(), WriteError> {
    let bytes = record.encode()?;
    let store = stores.get_mut(&shard).expect("every shard has a store");
    Ok(store.save(folder, &bytes)?)
}

/// Why a record is not on disk.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Encode(#[from] CodecError),
    #[error(transparent)]
    Store(#[from] StoreError),
}
