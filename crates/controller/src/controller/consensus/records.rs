//! What a controller has on disk: the register record of each shard, and the tombstone log.

use crate::controller::consensus::shards::all as all_shards;
use crate::controller::error::ControllerError;
use lanegate_coordination::register::Record;
use lanegate_coordination::storage::{Directory, VersionedStore};
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the record of the tombstone log.
const TOMBSTONES: &str = "tombstones";

/// The stores of a controller.
#[derive(Debug)]
pub(crate) struct Stores {
    /// The store of each shard.
    pub shards: BTreeMap<u8, VersionedStore>,
    /// The store of the tombstone log.
    pub tombstones: VersionedStore,
}

/// What a process finds on disk when it starts.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    /// The newest record of each shard that has one.
    pub records: Records,
    /// The newest record of the tombstone log.
    pub tombstones: Option<Vec<u8>>,
}

/// The newest record of each shard that has one.
pub(crate) type Records = BTreeMap<u8, Record>;

/// Opens all stores, and reads the newest record of each.
pub(crate) fn open_stores(
    path: &Path,
    folder: &mut dyn Directory,
) -> Result<(Stores, StoredState), ControllerError> {
    let data = |source| ControllerError::Data { folder: path.to_owned(), source };
    let (mut shards, mut records) = (BTreeMap::new(), Records::new());
    for shard in all_shards() {
        let (store, newest) = VersionedStore::open(folder, &format!("shard-{shard}")).map_err(data)?;
        shards.insert(shard, store);
        match newest.as_deref().map(Record::decode) {
            Some(Ok(record)) => {
                records.insert(shard, record);
            }
            Some(Err(error)) => log::error!("newest record not decoded shard={shard} error={error}"),
            None => {}
        }
    }
    let (store, tombstones) = VersionedStore::open(folder, TOMBSTONES).map_err(data)?;
    Ok((Stores { shards, tombstones: store }, StoredState { records, tombstones }))
}
