//! A filter that discards late responses to earlier requests of a connection.
//!
//! An endpoint may answer a request a second time while the next request is in flight on the same connection. `Attempt-Id`
//! shows which request a response belongs to. A response to an earlier request of the connection is discarded here, before
//! the HTTP library parses it. Everything else is passed on to the library, and [`crate::endpoint::verify`] checks the result.

use crate::endpoint::chunk_scanner::ChunkScanner;
use crate::header_fields::{MAX_ANSWER_HEAD_BYTES, max_fields};
use crate::headers::ATTEMPT_ID;
use hyper::Method;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use std::collections::VecDeque;
use std::mem;
use tokio::io::ReadBuf;

/// Number of earlier requests of a connection whose late responses are recognised.
const MAX_REMEMBERED: usize = 8;
/// Number of header fields for which there is room without an allocation.
const USUAL_FIELDS: usize = 64;

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

/// What is known of a head.
enum Parsed {
    /// A part of it has not arrived.
    Incomplete,
    /// It has `length` bytes.
    Complete { length: usize, disposition: Disposition },
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
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match mem::take(&mut self.state) {
                State::Forwarding => self.forward(bytes),
                State::Head(head) => self.read_head(head, bytes),
                State::Discarding(remainder) => self.discard_body(remainder, bytes),
            };
        }
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
    fn read_head<'a>(&mut self, mut head: Vec<u8>, bytes: &'a [u8]) -> &'a [u8] {
        let known = head.len();
        head.extend_from_slice(bytes);
        match self.parse(&head) {
            Parsed::Incomplete if head.len() <= MAX_ANSWER_HEAD_BYTES => {
                self.state = State::Head(head);
                &[]
            }
            Parsed::Incomplete | Parsed::Complete { disposition: Disposition::Forward, .. } => {
                self.forward(&head)
            }
            Parsed::Complete { length, disposition: Disposition::Discard(remainder) } => {
                self.discarded += 1;
                self.begin_discarding(remainder);
                &bytes[length.saturating_sub(known)..]
            }
        }
    }

    fn parse(&self, head: &[u8]) -> Parsed {
        match self.parse_into(head, &mut [httparse::EMPTY_HEADER; USUAL_FIELDS]) {
            Err(httparse::Error::TooManyHeaders) => {
                let mut fields = vec![httparse::EMPTY_HEADER; max_fields(Some(MAX_ANSWER_HEAD_BYTES))];
                self.parse_into(head, &mut fields)
            }
            parsed => parsed,
        }
        // The library reports what is wrong with the head.
        .unwrap_or(Parsed::Complete { length: head.len(), disposition: Disposition::Forward })
    }

    fn parse_into<'h>(
        &self,
        head: &'h [u8],
        fields: &mut [httparse::Header<'h>],
    ) -> Result<Parsed, httparse::Error> {
        let mut answer = httparse::Response::new(fields);
        match answer.parse(head)? {
            httparse::Status::Complete(length) => {
                Ok(Parsed::Complete { length, disposition: self.disposition(&answer) })
            }
            httparse::Status::Partial => Ok(Parsed::Incomplete),
        }
    }

    fn discard_body<'a>(&mut self, remainder: Remainder, bytes: &'a [u8]) -> &'a [u8] {
        let (taken, left) = match remainder {
            Remainder::Bytes(left) => {
                let taken = left.min(bytes.len() as u64);
                (taken as usize, Remainder::Bytes(left - taken))
            }
            Remainder::Chunks(mut scanner) => match scanner.scan(bytes) {
                Ok(taken) => (taken, Remainder::Chunks(scanner)),
                // The library reports the error.
                Err(_) => return self.forward(bytes),
            },
        };
        self.begin_discarding(left);
        &bytes[taken..]
    }

    fn begin_discarding(&mut self, remainder: Remainder) {
        self.state = if remainder.is_over() { State::Head(Vec::new()) } else { State::Discarding(remainder) };
    }

    fn disposition(&self, answer: &httparse::Response<'_, '_>) -> Disposition {
        let mut ids =
            answer.headers.iter().filter(|field| field.name.eq_ignore_ascii_case(ATTEMPT_ID.as_str()));
        let Some(id) = ids.next().map(|field| field.value).filter(|_| ids.next().is_none()) else {
            return Disposition::Forward;
        };
        if self.current.as_ref().is_some_and(|current| current.attempt_id.as_bytes() == id) {
            return Disposition::Forward;
        }
        let sent = self.earlier.iter().find(|sent| sent.attempt_id.as_bytes() == id);
        let remainder = sent.and_then(|sent| remainder(answer, sent.is_head));
        remainder.map_or(Disposition::Forward, Disposition::Discard)
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

/// How much of the response follows its head; `None` if only the end of the connection delimits the body or its framing is
/// invalid.
fn remainder(answer: &httparse::Response<'_, '_>, is_head: bool) -> Option<Remainder> {
    if is_head || matches!(answer.code, Some(100..=199 | 204 | 304)) {
        return Some(Remainder::Bytes(0));
    }
    let values = |name: &str| -> Vec<&str> {
        let fields = answer.headers.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
        fields.map(|field| std::str::from_utf8(field.value).unwrap_or_default().trim()).collect()
    };
    match (&values(TRANSFER_ENCODING.as_str())[..], &values(CONTENT_LENGTH.as_str())[..]) {
        ([], [length]) => length.parse().ok().map(Remainder::Bytes),
        ([encoding], _) if encoding.eq_ignore_ascii_case("chunked") => {
            Some(Remainder::Chunks(ChunkScanner::default()))
        }
        _ => None,
    }
}
