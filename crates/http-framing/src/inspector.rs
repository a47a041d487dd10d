//! Follows the responses on one connection.

use crate::chunks::ChunkScanner;
use crate::error::FramingError;
use crate::head::{BodyLength, read_head};
use crate::until_close::UntilClose;
use std::mem;

/// Largest head that is read, bytes. The HTTP library refuses shorter ones than this.
const MAX_HEAD_BYTES: usize = 512 * 1024;
/// How every response begins.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Follows the responses on one connection, one for each request.
///
/// Bytes after a response are accepted only if they begin another one: endpoints may answer twice. Those bytes are not
/// inspected, because the connection must not be used again.
#[derive(Debug, Default)]
pub struct ResponseInspector {
    state: State,
    /// Whether the request is a HEAD request, whose response has no body.
    answers_head: bool,
}

#[derive(Debug, Default)]
enum State {
    /// The response is complete, or none is expected yet.
    #[default]
    Complete,
    /// After a complete response, inside another one.
    Following,
    /// Inside the head of the response; the bytes that have arrived.
    Head(Vec<u8>),
    /// Inside a body of known length; number of bytes that remain.
    Bytes(u64),
    /// Inside a chunked body.
    Chunks(ChunkScanner),
    /// Inside a body that ends with its connection.
    UntilClose(UntilClose),
    /// The response was refused.
    Refused(FramingError),
}

impl ResponseInspector {
    /// Expects the response to a request that is about to be sent.
    pub fn expect(&mut self, answers_head: bool) {
        self.answers_head = answers_head;
        self.state = State::Head(Vec::new());
    }

    /// Expects a response if the last one is complete, because a request is being sent. Not for HEAD requests.
    pub fn on_request_bytes(&mut self) {
        if matches!(self.state, State::Complete) {
            self.expect(false);
        }
    }

    /// Inspects received bytes.
    ///
    /// # Errors
    /// If the response has to be refused. None of `bytes` may be used then, nor anything that follows.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), FramingError> {
        while !bytes.is_empty() {
            match self.step(bytes) {
                Ok((state, rest)) => (self.state, bytes) = (state, rest),
                Err(error) => {
                    self.state = State::Refused(error);
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    /// Handles the end of the connection. The HTTP library notices a response that is cut off.
    ///
    /// # Errors
    /// If the response would be complete now and has to be refused.
    pub fn end(&mut self) -> Result<(), FramingError> {
        let State::UntilClose(body) = &self.state else {
            return Ok(());
        };
        let result = body.end();
        if let Err(error) = result {
            self.state = State::Refused(error);
        }
        result
    }

    /// Inspects what was read from the connection; nothing means its end.
    ///
    /// # Errors
    /// As [`Self::push`] and [`Self::end`].
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        if bytes.is_empty() { self.end() } else { self.push(bytes) }
    }

    /// Whether the bytes so far end with a complete response. What follows can still show that its length is wrong.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete)
    }

    /// Why the response was refused, if it was.
    pub fn refusal(&self) -> Option<FramingError> {
        match self.state {
            State::Refused(error) => Some(error),
            _ => None,
        }
    }

    /// Inspects the beginning of bytes that have arrived and will be pushed later.
    ///
    /// # Errors
    /// [`FramingError::BytesAfterEnd`] if the last response is complete and these bytes do not begin another one.
    pub fn push_following(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        if !self.is_complete() || begins_response(bytes) {
            return Ok(());
        }
        self.state = State::Refused(FramingError::BytesAfterEnd);
        Err(FramingError::BytesAfterEnd)
    }

    fn step<'b>(&mut self, bytes: &'b [u8]) -> Result<(State, &'b [u8]), FramingError> {
        match mem::take(&mut self.state) {
            State::Complete if begins_response(bytes) => Ok((State::Following, &[])),
            State::Complete => Err(FramingError::BytesAfterEnd),
            State::Following => Ok((State::Following, &[])),
            State::Head(head) => self.read_head(head, bytes),
            State::Bytes(left) => {
                let taken = left.min(bytes.len() as u64);
                Ok((State::in_bytes(left - taken), &bytes[taken as usize..]))
            }
            State::Chunks(mut scanner) => {
                let taken = scanner.scan(bytes).map_err(|_| FramingError::Chunk)?;
                let state = if scanner.is_over() { State::Complete } else { State::Chunks(scanner) };
                Ok((state, &bytes[taken..]))
            }
            State::UntilClose(mut body) => {
                body.push(bytes)?;
                Ok((State::UntilClose(body), &[]))
            }
            State::Refused(error) => Err(error),
        }
    }

    /// Continues to read a head. A head that arrives in one piece is not copied.
    fn read_head<'b>(
        &self,
        mut partial: Vec<u8>,
        bytes: &'b [u8],
    ) -> Result<(State, &'b [u8]), FramingError> {
        let known = partial.len();
        let head = if partial.is_empty() {
            bytes
        } else {
            partial.extend_from_slice(bytes);
            &partial
        };
        let after_head = read_head(head, |head| {
            let body = head.body_length(self.answers_head)?;
            let state = match body {
                _ if head.is_informational() => State::Head(Vec::new()),
                BodyLength::Bytes(length) => State::in_bytes(length),
                BodyLength::Chunked => State::Chunks(ChunkScanner::default()),
                BodyLength::UntilClose => State::UntilClose(UntilClose::new(&head)),
            };
            Ok((state, head.length))
        })?;
        match after_head.transpose()? {
            Some((state, length)) => Ok((state, &bytes[length.saturating_sub(known)..])),
            None if head.len() > MAX_HEAD_BYTES => Err(FramingError::HeadTooLong),
            None if known == 0 => Ok((State::Head(bytes.to_vec()), &[])),
            None => Ok((State::Head(partial), &[])),
        }
    }
}

impl State {
    fn in_bytes(left: u64) -> State {
        if left == 0 { State::Complete } else { State::Bytes(left) }
    }
}

/// Whether the bytes begin a response, as far as they go.
fn begins_response(bytes: &[u8]) -> bool {
    let length = bytes.len().min(RESPONSE_START.len());
    bytes[..length] == RESPONSE_START[..length]
}
