//! Register records on disk.

use crate::controller::consensus::shards;
use crate::controller::error::ControllerError;
use lanegate_coordination::register::Record;
use lanegate_coordination::storage::{Directory, VersionedStore};
use std::collections::BTreeMap;
use std::path::Path;

/// The store of each shard.
pub(crate) type Stores = BTreeMap<u8, VersionedStore>;
/// The newest record of each shard that has one.
pub(crate) type Records = BTreeMap<u8, Record>;

/// Opens the store of each shard, and reads the newest record of each.
pub(crate) fn open_stores(
    path: &Path,
    folder: &mut dyn Directory,
) -> Result<(Stores, Records), ControllerError> {
    let data = |source| ControllerError::Data { folder: path.to_owned(), source };
    let (mut stores, mut records) = (Stores::new(), Records::new());
    for shard in shards::all() {
        let (store, newest) = VersionedStore::open(folder, &format!("shard-{shard}")).map_err(data)?;
        stores.insert(shard, store);
        match newest.as_deref().map(Record::decode) {
            Some(Ok(record)) => {
                records.insert(shard, record);
            }
            Some(Err(error)) => log::error!("newest record not decoded shard={shard} error={error}"),
            None => {}
        }
    }
    Ok((stores, records))
}
