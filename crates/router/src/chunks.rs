//! Finds the end of a body that comes in chunks, without keeping any of it.

/// Why bytes are no chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body is not in chunks")]
pub struct NotChunked;

/// How far a chunked body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkScanner {
    place: Place,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// In the length of a chunk, of which this much is read.
    Length(u64),
    /// Behind the length, on the same line.
    Extension(u64),
    /// In the data of a chunk: bytes left, its end of line included.
    Data(u64),
    /// In the lines behind the last chunk.
    Trailer {
        line_is_empty: bool,
    },
    End,
}

/// Bytes of the line end behind the data of a chunk.
const LINE_END: u64 = 2;

impl Default for ChunkScanner {
    fn default() -> Self {
        ChunkScanner { place: Place::Length(0) }
    }
}

impl ChunkScanner {
    /// Takes bytes in; tells how many of them belong to the body.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<usize, NotChunked> {
        let mut taken = 0;
        while taken < bytes.len() && !self.is_over() {
            taken += match self.place {
                Place::Data(left) => self.skip(left, bytes.len() - taken),
                _ => {
                    self.place = self.place.after(bytes[taken])?;
                    1
                }
            };
        }
        Ok(taken)
    }

    /// Whether the end of the body was reached.
    pub fn is_over(&self) -> bool {
        self.place == Place::End
    }

    fn skip(&mut self, left: u64, available: usize) -> usize {
        let skipped = left.min(available as u64);
        self.place = match left - skipped {
            0 => Place::Length(0),
            rest => Place::Data(rest),
        };
        skipped as usize
    }
}

impl Place {
    /// Where the reading stands after one byte outside of a chunk's data.
    fn after(self, byte: u8) -> Result<Place, NotChunked> {
        match (self, byte) {
            (Place::Length(length) | Place::Extension(length), b'\n') => Ok(Place::behind_length(length)),
            (Place::Length(length), b'\r' | b';' | b' ') => Ok(Place::Extension(length)),
            (Place::Length(length), digit) => Ok(Place::Length(with_digit(length, digit)?)),
            (Place::Extension(length), _) => Ok(Place::Extension(length)),
            (Place::Trailer { line_is_empty: true }, b'\n') => Ok(Place::End),
            (Place::Trailer { .. }, b'\n') => Ok(Place::Trailer { line_is_empty: true }),
            (Place::Trailer { line_is_empty }, b'\r') => Ok(Place::Trailer { line_is_empty }),
            (Place::Trailer { .. }, _) => Ok(Place::Trailer { line_is_empty: false }),
            (Place::Data(_) | Place::End, _) => Err(NotChunked),
        }
    }

    fn behind_length(length: u64) -> Place {
        match length {
            0 => Place::Trailer { line_is_empty: true },
            length => Place::Data(length.saturating_add(LINE_END)),
        }
    }
}

fn with_digit(length: u64, digit: u8) -> Result<u64, NotChunked> {
    let digit = char::from(digit).to_digit(16).ok_or(NotChunked)?;
    let longer = length.checked_mul(16).ok_or(NotChunked)?;
    Ok(longer | u64::from(digit))
}
