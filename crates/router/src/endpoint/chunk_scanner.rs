//! Finds the end of a chunked body without storing it.

/// The bytes are not a valid chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid chunked encoding")]
pub struct NotChunked;

/// The state of the scan of one chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkScanner {
    position: Position,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In the length of a chunk; the value read so far.
    Length(u64),
    /// In the rest of the line with the length, which may hold chunk extensions; the length.
    Extension(u64),
    /// In the data of a chunk; number of bytes that remain, including the line end.
    Data(u64),
    /// In the trailer lines after the last chunk.
    Trailer {
        line_is_empty: bool,
    },
    End,
}

/// Length of the line end (CR LF) after the data of a chunk, bytes.
const LINE_END: u64 = 2;

impl Default for ChunkScanner {
    fn default() -> Self {
        ChunkScanner { position: Position::Length(0) }
    }
}

impl ChunkScanner {
    /// Scans bytes; returns how many of them belong to the body.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid chunked body.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<usize, NotChunked> {
        let mut taken = 0;
        while taken < bytes.len() && !self.is_over() {
            taken += match self.position {
                Position::Data(left) => self.skip(left, bytes.len() - taken),
                _ => {
                    self.position = self.position.next(bytes[taken])?;
                    1
                }
            };
        }
        Ok(taken)
    }

    /// Whether the end of the body was reached.
    pub fn is_over(&self) -> bool {
        self.position == Position::End
    }

    fn skip(&mut self, left: u64, available: usize) -> usize {
        let skipped = left.min(available as u64);
        self.position = match left - skipped {
            0 => Position::Length(0),
            rest => Position::Data(rest),
        };
        skipped as usize
    }
}

impl Position {
    /// The position after one byte outside the data of a chunk.
    fn next(self, byte: u8) -> Result<Position, NotChunked> {
        match (self, byte) {
            (Position::Length(length) | Position::Extension(length), b'\n') => {
                Ok(Position::after_length(length))
            }
            (Position::Length(length), b'\r' | b';' | b' ') => Ok(Position::Extension(length)),
            (Position::Length(length), digit) => Ok(Position::Length(with_digit(length, digit)?)),
            (Position::Extension(length), _) => Ok(Position::Extension(length)),
            (Position::Trailer { line_is_empty: true }, b'\n') => Ok(Position::End),
            (Position::Trailer { .. }, b'\n') => Ok(Position::Trailer { line_is_empty: true }),
            (Position::Trailer { line_is_empty }, b'\r') => Ok(Position::Trailer { line_is_empty }),
            (Position::Trailer { .. }, _) => Ok(Position::Trailer { line_is_empty: false }),
            (Position::Data(_) | Position::End, _) => Err(NotChunked),
        }
    }

    fn after_length(length: u64) -> Position {
        match length {
            0 => Position::Trailer { line_is_empty: true },
            length => Position::Data(length.saturating_add(LINE_END)),
        }
    }
}

fn with_digit(length: u64, digit: u8) -> Result<u64, NotChunked> {
    let digit = char::from(digit).to_digit(16).ok_or(NotChunked)?;
    let longer = length.checked_mul(16).ok_or(NotChunked)?;
    Ok(longer | u64::from(digit))
}
