//! A page: a small file that is replaced atomically. It carries a checksum of its contents, so that a corrupt
//! page is not taken for a valid one with other contents.

use super::Durability;
use super::disk::Disk;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;

#[derive(Serialize, Deserialize)]
struct Checked<T> {
    #[serde(flatten)]
    page: T,
    /// CRC-32 of the page written without this field. None in pages of earlier versions.
    check: Option<u32>,
}

fn sum(page: &impl Serialize) -> io::Result<u32> {
    Ok(crc32fast::hash(&serde_json::to_vec(page)?))
}

/// Reads the page of that name; None if there never was one.
///
/// # Errors
/// A corrupt page is an error: it must not be treated as absent.
pub fn read<T: Serialize + DeserializeOwned>(disk: &impl Disk, name: &str) -> io::Result<Option<T>> {
    let bytes = match disk.read(name) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let Checked { page, check } = serde_json::from_slice::<Checked<T>>(&bytes)?;
    let sound = check.is_none_or(|check| sum(&page).is_ok_and(|of| of == check));
    let corrupt = || io::Error::new(io::ErrorKind::InvalidData, format!("{name}: checksum mismatch"));
    sound.then_some(Some(page)).ok_or_else(corrupt)
}

/// Atomically replaces a page by one of at most `most` bytes: a reader finds either the old or the new page
/// whole, with `Power` also after a power loss.
pub fn replace<T: Serialize>(
    disk: &impl Disk,
    durability: Durability,
    (name, page): (&str, T),
    most: usize,
) -> io::Result<()> {
    let check = Some(sum(&page)?);
    let bytes = serde_json::to_vec(&Checked { page, check })?;
    if bytes.len() > most {
        return Err(io::ErrorKind::StorageFull.into());
    }
    let next = format!("{name}.next");
    disk.discard(&next)?;
    let mut file = disk.create(&next)?;
    disk.write(&mut file, &bytes)?;
    if durability.syncs() {
        // Before the rename: otherwise the name could be on disk before the contents.
        disk.sync(&mut file)?;
    }
    disk.rename(&next, name)?;
    if durability.syncs() { disk.sync_folder() } else { Ok(()) }
}
