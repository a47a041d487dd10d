//! Why a response is refused.

use std::error::Error;
use std::io;

/// Why a response is refused: its bytes do not say without doubt where it ends, or are no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum FramingError {
    /// The status line is invalid, or other bytes come before it.
    #[error("invalid status line")]
    StatusLine,
    /// The status is not that of a response: 000 to 099, 101 (nobody asked for another protocol) or above 599.
    #[error("invalid status {0:03}")]
    StatusCode(u16),
    /// A carriage return or a line feed of the head stands alone.
    #[error("line of the head without a complete line end")]
    LineEnd,
    /// A line of the head is not a field: it has no colon, or a byte that a name or a value must not have.
    #[error("line of the head that is not a field")]
    Field,
    /// The head is longer, or has more fields, than is read.
    #[error("head too long")]
    HeadTooLong,
    /// The length is not a single decimal number.
    #[error("invalid Content-Length")]
    ContentLength,
    /// The encoding is not `chunked` alone.
    #[error("unsupported Transfer-Encoding")]
    TransferEncoding,
    /// The head has a length and an encoding.
    #[error("both Content-Length and Transfer-Encoding")]
    LengthAndEncoding,
    /// The body is not validly chunked.
    #[error("invalid chunked encoding")]
    Chunk,
    /// The body, which ends with its connection, begins with the rest of a head.
    #[error("the body begins with lines of a head")]
    HeadInBody,
    /// The body, which ends with its connection, is chunked, and the head does not say so.
    #[error("the body is chunked, which the head does not say")]
    ChunksInBody,
    /// Bytes follow the response that do not begin another one: the body is longer than its head says.
    #[error("bytes after the end of the response")]
    BytesAfterEnd,
}

impl FramingError {
    /// The reason as a value of a metric label.
    pub fn reason(self) -> &'static str {
        match self {
            FramingError::StatusLine => "status_line",
            FramingError::StatusCode(_) => "status_code",
            FramingError::LineEnd => "line_end",
            FramingError::Field => "field",
            FramingError::HeadTooLong => "head_too_long",
            FramingError::ContentLength => "content_length",
            FramingError::TransferEncoding => "transfer_encoding",
            FramingError::LengthAndEncoding => "length_and_encoding",
            FramingError::Chunk => "chunk",
            FramingError::HeadInBody => "head_in_body",
            FramingError::ChunksInBody => "chunks_in_body",
            FramingError::BytesAfterEnd => "bytes_after_end",
        }
    }

    /// The framing error that caused `error`, if one did: itself, its source, or what an I/O error among these wraps.
    pub fn cause_of(error: &(dyn Error + 'static)) -> Option<FramingError> {
        let mut current = Some(error);
        while let Some(error) = current {
            if let Some(found) = error.downcast_ref::<FramingError>() {
                return Some(*found);
            }
            let wrapped = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
            current = match wrapped {
                Some(wrapped) => Some(wrapped),
                None => error.source(),
            };
        }
        None
    }
}

impl From<FramingError> for io::Error {
    fn from(error: FramingError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
