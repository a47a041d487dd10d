//! A store of one record, with each version in a file of its own.

use std::io;

use thiserror::Error;

use super::directory::Directory;
use super::file_format::{decode_file, encode_file};

/// Suffix of the name of a file that is still being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Number of retained versions: the newest, and the one before as long as the disk has space.
const RETAINED_VERSIONS: usize = 2;

/// Why a version could not be saved or the store could not be opened.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("cannot {action}: {source}")]
    Disk {
        /// The operation.
        action: &'static str,
        /// The reason.
        #[source]
        source: io::Error,
    },
    /// The record does not fit the format.
    #[error("a record of {0} bytes is too long")]
    TooLong(usize),
}

/// The newest versions of one record, in a directory that other stores may share.
#[derive(Debug)]
pub struct VersionedStore {
    prefix: String,
    /// The highest version number that any file has or had.
    last_version: u64,
    /// Complete versions in the directory, oldest first.
    versions: Vec<u64>,
}

impl VersionedStore {
    /// Opens the record named `prefix` and returns its newest intact version. Temporary files are removed.
    ///
    /// The previous process may have died between renaming a version and syncing the directory. The directory is
    /// therefore synced before a version is returned, as the version could otherwise be lost after its use.
    ///
    /// # Errors
    /// If the directory or a file cannot be read, or the directory cannot be synced.
    pub fn open(directory: &mut dyn Directory, prefix: &str) -> Result<(Self, Option<Vec<u8>>), StoreError> {
        let mut store = Self { prefix: prefix.to_owned(), last_version: 0, versions: Vec::new() };
        for name in directory.list().map_err(disk_error("list the directory"))? {
            store.index_file(directory, &name)?;
        }
        store.versions.sort_unstable();
        if !store.versions.is_empty() {
            directory.sync().map_err(disk_error("sync the directory"))?;
        }
        let newest = store.newest(directory)?;
        Ok((store, newest))
    }

    /// Adds a file to the index if it belongs to this record; removes it if it is temporary.
    fn index_file(&mut self, directory: &mut dyn Directory, name: &str) -> Result<(), StoreError> {
        let (base, temporary) = match name.strip_suffix(TEMPORARY_SUFFIX) {
            Some(base) => (base, true),
            None => (name, false),
        };
        let Some(version) = self.version_of(base) else {
            return Ok(());
        };
        self.last_version = self.last_version.max(version);
        if temporary {
            return directory.remove(name).map_err(disk_error("remove an unfinished temporary file"));
        }
        self.versions.push(version);
        Ok(())
    }

    /// The newest intact version; damaged ones are skipped, and removed by later saves.
    fn newest(&self, directory: &mut dyn Directory) -> Result<Option<Vec<u8>>, StoreError> {
        for version in self.versions.iter().rev() {
            let bytes = directory.read(&self.name(*version)).map_err(disk_error("read a version"))?;
            if let Some(record) = decode_file(bytes, *version) {
                return Ok(Some(record));
            }
        }
        Ok(None)
    }

    /// Saves a new version. Once this returns without error the version survives a loss of power.
    ///
    /// # Errors
    /// If a file operation fails. The previous versions then still exist, and a later save may succeed.
    pub fn save(&mut self, directory: &mut dyn Directory, record: &[u8]) -> Result<(), StoreError> {
        self.last_version += 1;
        let version = self.last_version;
        let bytes = encode_file(record, version).ok_or(StoreError::TooLong(record.len()))?;
        let temporary = format!("{}{TEMPORARY_SUFFIX}", self.name(version));
        let name = self.name(version);
        let written = self.write_temporary(directory, &temporary, &bytes);
        let named = written
            .and_then(|()| directory.rename(&temporary, &name).map_err(disk_error("rename a version")));
        if let Err(error) = named {
            // If it cannot be removed now, it is removed when the store is opened again.
            let _ = directory.remove(&temporary);
            return Err(error);
        }
        self.versions.push(version);
        directory.sync().map_err(disk_error("sync the directory"))?;
        self.prune_versions(directory, RETAINED_VERSIONS);
        Ok(())
    }

    /// Writes the temporary file; if the disk is full, once more after pruning old versions.
    fn write_temporary(
        &mut self,
        directory: &mut dyn Directory,
        temporary: &str,
        bytes: &[u8],
    ) -> Result<(), StoreError> {
        let write = directory.write_new(temporary, bytes);
        let full = write.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::StorageFull);
        if !full || self.versions.len() < RETAINED_VERSIONS {
            return write.map_err(disk_error("write a version"));
        }
        self.prune_versions(directory, 1);
        directory.write_new(temporary, bytes).map_err(disk_error("write a version"))
    }

    /// Removes all but the newest `retained` versions. A removal that fails is retried at the next save.
    fn prune_versions(&mut self, directory: &mut dyn Directory, retained: usize) {
        let old = self.versions.len().saturating_sub(retained);
        let (old, newest) = self.versions.split_at(old);
        let undeleted: Vec<u64> =
            old.iter().copied().filter(|version| directory.remove(&self.name(*version)).is_err()).collect();
        self.versions = undeleted.into_iter().chain(newest.iter().copied()).collect();
    }

    fn name(&self, version: u64) -> String {
        format!("{}.{version:016x}", self.prefix)
    }

    fn version_of(&self, name: &str) -> Option<u64> {
        let digits = name.strip_prefix(&self.prefix)?.strip_prefix('.')?;
        u64::from_str_radix(digits, 16).ok().filter(|version| self.name(*version) == name)
    }
}

fn disk_error(action: &'static str) -> impl Fn(io::Error) -> StoreError {
    move |source| StoreError::Disk { action, source }
}
