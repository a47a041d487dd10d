//! The format of the file of one version: a header with a checksum, then the record.

use deku::prelude::*;

/// First bytes of every version, which identify the format.
const MAGIC: u32 = 0x4c47_5631;

/// Length of the header in bytes.
const HEADER_BYTES: usize = 20;

/// Precedes the record in each file.
#[derive(Debug, Clone, Copy, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct Header {
    magic: u32,
    version: u64,
    length: u32,
    checksum: u32,
}

/// A version as the content of its file; `None` if the record is too long for the format.
pub(super) fn encode_file(record: &[u8], version: u64) -> Option<Vec<u8>> {
    let length = u32::try_from(record.len()).ok()?;
    let header = Header { magic: MAGIC, version, length, checksum: checksum(record, version) };
    let mut bytes = header.to_bytes().ok()?;
    bytes.extend_from_slice(record);
    Some(bytes)
}

/// The record in a file, if the file is intact.
pub(super) fn decode_file(mut bytes: Vec<u8>, version: u64) -> Option<Vec<u8>> {
    let (_, header) = Header::from_bytes((&bytes, 0)).ok()?;
    let record = bytes.split_off(HEADER_BYTES.min(bytes.len()));
    let intact = header.magic == MAGIC
        && header.version == version
        && header.length as usize == record.len()
        && header.checksum == checksum(&record, version);
    intact.then_some(record)
}

fn checksum(record: &[u8], version: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_be_bytes());
    hasher.update(record);
    hasher.finalize()
}
