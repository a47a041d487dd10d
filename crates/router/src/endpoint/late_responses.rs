//! A filter that discards late responses to earlier requests of a connection.
//!
//! An endpoint may answer a request a second time while the next request is in flight on the same connection. `Attempt-Id`
//! shows which request a response belongs to. A response to an earlier request of the connection is discarded here, before
//! the HTTP library parses it. Everything else is passed on to the library, and [`crate::endpoint::verify`] checks the result.
//!
//! The end of a response that is discarded has to be known without doubt: what follows it is taken for the response to the
//! current request. So a late response with an ambiguous length is refused, not skipped.

use crate::header_fields::MAX_ANSWER_HEAD_BYTES;
use crate::headers::ATTEMPT_ID;
use hyper::Method;
use hyper::header::HeaderValue;
use lanegate_http_framing::{BodyLength, ChunkScanner, FramingError, Head, read_head};
use std::collections::VecDeque;
use std::mem;
use tokio::io::ReadBuf;

/// Number of earlier requests of a connection whose late responses are recognised.
const MAX_REMEMBERED: usize = 8;

/// A request that was sent on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentRequest {
    attempt_id: HeaderValue,
    /// Whether it is a HEAD request, whose response has no body.
    is_head: bool,
}

/// The filter of one connection.
#[derive(Debug, Default)]
pub struct LateResponseFilter {
    current: Option<SentRequest>,
    earlier: VecDeque<SentRequest>,
    state: State,
    /// Bytes that the library may read.
    ready: VecDeque<u8>,
    discarded: u64,
    forwards_all: bool,
}

#[derive(Debug, Default)]
enum State {
    /// All input is forwarded to the library.
    #[default]
    Forwarding,
    /// Inside the head of a response; the bytes of the head that have arrived.
    Head(Vec<u8>),
    /// Inside the body of a response that is discarded.
    Discarding(Remainder),
}

/// The part of a body that has not arrived.
#[derive(Debug, Clone, Copy)]
enum Remainder {
    Bytes(u64),
    Chunks(ChunkScanner),
}

/// What happens to a response whose head is complete.
enum Disposition {
    Forward,
    Discard(Remainder),
}

impl LateResponseFilter {
    /// Records that a request is sent, to which the next response is expected to belong.
    pub fn expect(&mut self, attempt_id: Option<&HeaderValue>, method: &Method) {
        if let Some(before) = self.current.take() {
            self.earlier.push_back(before);
        }
        if self.earlier.len() > MAX_REMEMBERED {
            self.earlier.pop_front();
        }
        self.current =
            attempt_id.map(|id| SentRequest { attempt_id: id.clone(), is_head: method == Method::HEAD });
        if !self.earlier.is_empty() && !self.forwards_all {
            self.state = State::Head(Vec::new());
        }
    }

    /// Forwards everything from now on, for tests.
    #[doc(hidden)]
    pub fn forward_all(&mut self) {
        self.forwards_all = true;
    }

    /// Whether input can go to the library directly.
    pub fn is_forwarding(&self) -> bool {
        self.ready.is_empty() && matches!(self.state, State::Forwarding)
    }

    /// Number of discarded responses.
    pub fn discarded(&self) -> u64 {
        self.discarded
    }

    /// Filters received bytes.
    ///
    /// # Errors
    ///
    /// If a response cannot be told from what follows it.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), FramingError> {
        while !bytes.is_empty() {
            bytes = match mem::take(&mut self.state) {
                State::Forwarding => self.forward(bytes),
                State::Head(head) => self.read_head(head, bytes)?,
                State::Discarding(remainder) => self.discard_body(remainder, bytes)?,
            };
        }
        Ok(())
    }

    /// Handles the end of the connection: an incomplete head is passed on to the library.
    pub fn end(&mut self) {
        if let State::Head(head) = mem::take(&mut self.state) {
            self.ready.extend(head);
        }
    }

    /// Copies bytes for the library into `buffer`; returns whether there were any.
    pub fn read_ready(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let (front, _) = self.ready.as_slices();
        let length = front.len().min(buffer.remaining());
        buffer.put_slice(&front[..length]);
        self.ready.drain(..length);
        length > 0
    }

    /// The beginning of the bytes that the library may read.
    pub fn ready(&self) -> &[u8] {
        self.ready.as_slices().0
    }

    fn forward<'a>(&mut self, bytes: &[u8]) -> &'a [u8] {
        self.ready.extend(bytes);
        &[]
    }

    /// Continues to read a head; returns the bytes that are not consumed.
    fn read_head<'a>(&mut self, mut head: Vec<u8>, bytes: &'a [u8]) -> Result<&'a [u8], FramingError> {
        let known = head.len();
        head.extend_from_slice(bytes);
        let parsed = read_head(&head, |head| Ok((head.length, self.disposition(&head)?)))?;
        match parsed.transpose()? {
            None if head.len() <= MAX_ANSWER_HEAD_BYTES => {
                self.state = State::Head(head);
                Ok(&[])
            }
            None | Some((_, Disposition::Forward)) => Ok(self.forward(&head)),
            Some((length, Disposition::Discard(remainder))) => {
                self.discarded += 1;
                self.begin_discarding(remainder);
                Ok(&bytes[length.saturating_sub(known)..])
            }
        }
    }

    fn discard_body<'a>(&mut self, remainder: Remainder, bytes: &'a [u8]) -> Result<&'a [u8], FramingError> {
        let (taken, left) = match remainder {
            Remainder::Bytes(left) => {
                let taken = left.min(bytes.len() as u64);
                (taken as usize, Remainder::Bytes(left - taken))
            }
            Remainder::Chunks(mut scanner) => {
                let taken = scanner.scan(bytes).map_err(|_| FramingError::Chunk)?;
                (taken, Remainder::Chunks(scanner))
            }
        };
        self.begin_discarding(left);
        Ok(&bytes[taken..])
    }

    fn begin_discarding(&mut self, remainder: Remainder) {
        self.state = if remainder.is_over() { State::Head(Vec::new()) } else { State::Discarding(remainder) };
    }

    fn disposition(&self, head: &Head<'_>) -> Result<Disposition, FramingError> {
        let name = ATTEMPT_ID;
        let mut ids = head.values(name.as_str());
        let Some(id) = ids.next().filter(|_| ids.next().is_none()) else {
            return Ok(Disposition::Forward);
        };
        if self.current.as_ref().is_some_and(|current| current.attempt_id.as_bytes() == id) {
            return Ok(Disposition::Forward);
        }
        let Some(sent) = self.earlier.iter().find(|sent| sent.attempt_id.as_bytes() == id) else {
            return Ok(Disposition::Forward);
        };
        Ok(match head.body_length(sent.is_head)? {
            BodyLength::Bytes(length) => Disposition::Discard(Remainder::Bytes(length)),
            BodyLength::Chunked => Disposition::Discard(Remainder::Chunks(ChunkScanner::default())),
            // No other response can follow on this connection.
            BodyLength::UntilClose => Disposition::Forward,
        })
    }
}

impl Remainder {
    fn is_over(&self) -> bool {
        match self {
            Remainder::Bytes(left) => *left == 0,
            Remainder::Chunks(scanner) => scanner.is_over(),
        }
    }
}
