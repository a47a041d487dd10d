//! A body that ends with its connection, because the head has neither a length nor an encoding.
//!
//! Nothing in such a response tells whether the body is complete, and a damaged head can make any response look like this:
//! it ends early, ahead of the line with the length, or the name of that line is no longer known. So the body is searched
//! for what the head has lost: lines of a head at its beginning, or chunks from its beginning to its end.

use crate::chunks::ChunkScanner;
use crate::error::FramingError;
use crate::head::Head;
use crate::leaked_head::LeakedHead;

/// The search in one body.
#[derive(Debug)]
pub(crate) struct UntilClose {
    leaked_head: LeakedHead,
    /// Scans the body as if it were chunked; `None` once it is known not to be.
    chunks: Option<ChunkScanner>,
    /// Whether the body is a stream of server-sent events. Its first line is never a number alone, and its reader must not
    /// get an event before it is known that the body is not chunked.
    is_event_stream: bool,
}

impl UntilClose {
    pub(crate) fn new(head: &Head<'_>) -> Self {
        let kind = head.values("content-type").next().unwrap_or_default();
        let media_type = kind.split(|&byte| byte == b';').next().unwrap_or_default();
        UntilClose {
            leaked_head: LeakedHead::new(head),
            chunks: Some(ChunkScanner::default()),
            is_event_stream: media_type.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"),
        }
    }

    /// Searches the next bytes of the body.
    ///
    /// # Errors
    /// [`FramingError::HeadInBody`] or [`FramingError::ChunksInBody`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        self.leaked_head.push(bytes)?;
        let Some(scanner) = &mut self.chunks else {
            return Ok(());
        };
        let is_chunked = scanner.scan(bytes) == Ok(bytes.len());
        if self.is_event_stream && scanner.has_size() {
            return Err(FramingError::ChunksInBody);
        }
        if !is_chunked {
            self.chunks = None;
        }
        Ok(())
    }

    /// Ends the body.
    ///
    /// # Errors
    /// [`FramingError::ChunksInBody`] if the whole body is chunked.
    pub(crate) fn end(&self) -> Result<(), FramingError> {
        match self.chunks {
            Some(scanner) if scanner.is_over() => Err(FramingError::ChunksInBody),
            _ => Ok(()),
        }
    }
}
