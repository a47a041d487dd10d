//! Finds the end of a chunked body without storing it.

/// The bytes are not a valid chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("invalid chunked encoding")]
pub struct NotChunked;

/// The state of the scan of one chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkScanner {
    position: Position,
    has_size: bool,
}

/// The part of the body to which the next byte belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// The size of a chunk, of which no digit has arrived.
    FirstSizeDigit,
    /// The size of a chunk; the value read so far.
    Size(u64),
    /// The extensions after the size.
    Extension(u64),
    /// The line feed after the size and its extensions.
    SizeLineFeed(u64),
    /// The data of a chunk; number of bytes that remain.
    Data(u64),
    /// The carriage return after the data of a chunk.
    DataCarriageReturn,
    /// The line feed after the data of a chunk.
    DataLineFeed,
    /// The beginning of a trailer field, or of the line end that ends the body.
    TrailerStart,
    /// The name of a trailer field.
    TrailerName,
    /// The value of a trailer field.
    TrailerValue,
    /// The line feed after a trailer field.
    TrailerLineFeed,
    /// The line feed that ends the body.
    LastLineFeed,
    /// No byte: the body is over.
    End,
}

impl Default for ChunkScanner {
    fn default() -> Self {
        ChunkScanner { position: Position::FirstSizeDigit, has_size: false }
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
                    self.has_size |= matches!(self.position, Position::SizeLineFeed(_));
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

    /// Whether the size of the first chunk was read, with its line end.
    pub(crate) fn has_size(&self) -> bool {
        self.has_size
    }

    fn skip(&mut self, left: u64, available: usize) -> usize {
        let skipped = left.min(available as u64);
        self.position = match left - skipped {
            0 => Position::DataCarriageReturn,
            rest => Position::Data(rest),
        };
        skipped as usize
    }
}

impl Position {
    /// The position after one byte outside the data of a chunk.
    fn next(self, byte: u8) -> Result<Position, NotChunked> {
        match (self, byte) {
            (Position::FirstSizeDigit, digit) => Ok(Position::Size(with_digit(0, digit)?)),
            (Position::Size(size) | Position::Extension(size), b'\r') => Ok(Position::SizeLineFeed(size)),
            (Position::Size(size), b';') => Ok(Position::Extension(size)),
            (Position::Size(size), digit) => Ok(Position::Size(with_digit(size, digit)?)),
            (Position::Extension(size), byte) if is_text(byte) => Ok(Position::Extension(size)),
            (Position::SizeLineFeed(0), b'\n') => Ok(Position::TrailerStart),
            (Position::SizeLineFeed(size), b'\n') => Ok(Position::Data(size)),
            (Position::DataCarriageReturn, b'\r') => Ok(Position::DataLineFeed),
            (Position::DataLineFeed, b'\n') => Ok(Position::FirstSizeDigit),
            (Position::TrailerStart, b'\r') => Ok(Position::LastLineFeed),
            (Position::TrailerStart | Position::TrailerName, byte) if is_token(byte) => {
                Ok(Position::TrailerName)
            }
            (Position::TrailerName, b':') => Ok(Position::TrailerValue),
            (Position::TrailerValue, b'\r') => Ok(Position::TrailerLineFeed),
            (Position::TrailerValue, byte) if is_text(byte) => Ok(Position::TrailerValue),
            (Position::TrailerLineFeed, b'\n') => Ok(Position::TrailerStart),
            (Position::LastLineFeed, b'\n') => Ok(Position::End),
            _ => Err(NotChunked),
        }
    }
}

fn with_digit(size: u64, digit: u8) -> Result<u64, NotChunked> {
    let digit = char::from(digit).to_digit(16).ok_or(NotChunked)?;
    let larger = size.checked_mul(16).ok_or(NotChunked)?;
    Ok(larger | u64::from(digit))
}

/// Whether the byte may stand in the value of a field.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Whether the byte may stand in the name of a field.
pub(crate) fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
