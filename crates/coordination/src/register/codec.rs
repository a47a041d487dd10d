//! Parts of the binary encoding that messages and records share.

use std::io::{Read, Seek, Write};

use bytes::Bytes;
use deku::ctx::{Endian, Order};
use deku::prelude::*;
use thiserror::Error;

/// Largest state that is decoded, in bytes: a larger length is invalid, and must not make the receiver reserve
/// memory for it.
pub const MAX_STATE_BYTES: usize = 16 << 20;

/// Bytes reserved at once while reading, so that an invalid length costs little.
const READ_STEP_BYTES: usize = 64 << 10;

/// Why bytes could not be decoded as a message or a record, or one could not be encoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// A field is missing, is too long or has an unknown type number.
    #[error("malformed message or record: {0}")]
    Malformed(#[from] DekuError),
    /// The input continues after the last field.
    #[error("{0} unexpected bytes after the last field")]
    Trailing(usize),
}

/// Reads a 32-bit length and that many bytes.
pub(super) fn read_bytes<R: Read + Seek>(reader: &mut deku::reader::Reader<R>) -> Result<Bytes, DekuError> {
    let length = u32::from_reader_with_ctx(reader, Endian::Big)? as usize;
    if length > MAX_STATE_BYTES {
        return Err(DekuError::Parse("state too long".into()));
    }
    let mut bytes = Vec::with_capacity(length.min(READ_STEP_BYTES));
    while bytes.len() < length {
        let start = bytes.len();
        let step = (length - start).min(READ_STEP_BYTES);
        bytes.resize(start + step, 0);
        reader.read_bytes(step, &mut bytes[start..], Order::Lsb0)?;
    }
    Ok(Bytes::from(bytes))
}

/// Writes a 32-bit length and the bytes.
pub(super) fn write_bytes<W: Write + Seek>(writer: &mut Writer<W>, bytes: &Bytes) -> Result<(), DekuError> {
    let too_long = || DekuError::InvalidParam("state too long".into());
    let length = u32::try_from(bytes.len()).map_err(|_| too_long())?;
    length.to_writer(writer, Endian::Big)?;
    writer.write_bytes(bytes)
}

/// Decodes all of `bytes`.
pub(super) fn decode<'a, T: DekuContainerRead<'a>>(bytes: &'a [u8]) -> Result<T, CodecError> {
    let ((rest, _), decoded) = T::from_bytes((bytes, 0))?;
    if rest.is_empty() { Ok(decoded) } else { Err(CodecError::Trailing(rest.len())) }
}
