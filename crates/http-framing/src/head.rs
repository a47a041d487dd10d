//! Heads of responses, and what they say of the length of their bodies.

use crate::error::FramingError;

/// Number of header fields for which there is room without an allocation.
const USUAL_FIELDS: usize = 64;
/// Largest number of header fields that are read.
const MAX_FIELDS: usize = 24_576;
/// The status with which a server changes to another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has so many bytes, possibly none.
    Bytes(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

/// The complete head of a response.
#[derive(Debug, Clone, Copy)]
pub struct Head<'a> {
    /// Length of the head, bytes.
    pub length: usize,
    /// Status of the response: 100, 102 to 599.
    pub status: u16,
    /// Whether the version is HTTP/1.0, which has no transfer encodings.
    is_http_10: bool,
    fields: &'a [httparse::Header<'a>],
}

impl<'a> Head<'a> {
    /// The values of the fields with this name, in any case.
    pub fn values<'n>(&self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        let fields = self.fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name));
        fields.map(|field| trim_blanks(field.value))
    }

    /// Whether another head follows for the same request.
    pub fn is_informational(&self) -> bool {
        self.status < 200
    }

    /// How the end of the body is found; `answers_head` says that the request was a HEAD request.
    ///
    /// # Errors
    /// If the fields contradict each other, or one of them has no single meaning.
    pub fn body_length(&self, answers_head: bool) -> Result<BodyLength, FramingError> {
        let declared = self.declared_length()?;
        let has_no_body = answers_head || self.is_informational() || matches!(self.status, 204 | 304);
        Ok(if has_no_body { BodyLength::Bytes(0) } else { declared })
    }

    fn declared_length(&self) -> Result<BodyLength, FramingError> {
        let (length, length_repeated) = first_and_more(self.values("content-length"));
        let (encoding, encoding_repeated) = first_and_more(self.values("transfer-encoding"));
        match (encoding, length) {
            (None, None) => Ok(BodyLength::UntilClose),
            (Some(_), Some(_)) => Err(FramingError::LengthAndEncoding),
            (None, Some(_)) if length_repeated => Err(FramingError::ContentLength),
            (None, Some(length)) => decimal(length).map(BodyLength::Bytes).ok_or(FramingError::ContentLength),
            (Some(encoding), None) => {
                let is_chunked = encoding.eq_ignore_ascii_case(b"chunked");
                let is_supported = is_chunked && !encoding_repeated && !self.is_http_10;
                is_supported.then_some(BodyLength::Chunked).ok_or(FramingError::TransferEncoding)
            }
        }
    }
}

/// Reads the head at the beginning of `bytes` and passes it to `inspect`; `None` if a part of it has not arrived.
///
/// # Errors
/// If the bytes are not the head of a response, also if that shows before it is complete.
pub fn read_head<T>(bytes: &[u8], inspect: impl FnOnce(Head<'_>) -> T) -> Result<Option<T>, FramingError> {
    check_line_ends(bytes)?;
    let mut usual = [httparse::EMPTY_HEADER; USUAL_FIELDS];
    let mut more;
    let mut response = httparse::Response::new(&mut usual);
    let mut parsed = response.parse(bytes);
    if parsed == Err(httparse::Error::TooManyHeaders) {
        more = vec![httparse::EMPTY_HEADER; MAX_FIELDS];
        response = httparse::Response::new(&mut more);
        parsed = response.parse(bytes);
    }
    let status = response.code.map(check_status).transpose()?;
    match (parsed.map_err(error_of)?, status) {
        (httparse::Status::Complete(length), Some(status)) => {
            let is_http_10 = response.version == Some(0);
            Ok(Some(inspect(Head { length, status, is_http_10, fields: response.headers })))
        }
        _ => Ok(None),
    }
}

/// The parser accepts a line feed alone as the end of a line, and empty lines before the head. Checks lines up to the end of
/// the head.
fn check_line_ends(bytes: &[u8]) -> Result<(), FramingError> {
    if matches!(bytes.first(), Some(b'\r' | b'\n')) {
        return Err(FramingError::StatusLine);
    }
    let mut line_start = 0;
    while let Some(offset) = bytes[line_start..].iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
        let line_end = line_start + offset;
        match &bytes[line_end..] {
            [b'\r', b'\n', ..] if offset == 0 => return Ok(()),
            [b'\r', b'\n', ..] => line_start = line_end + 2,
            [b'\r'] => return Ok(()),
            _ => return Err(FramingError::LineEnd),
        }
    }
    Ok(())
}

fn check_status(status: u16) -> Result<u16, FramingError> {
    match status {
        SWITCHING_PROTOCOLS => Err(FramingError::StatusCode(status)),
        100..=599 => Ok(status),
        _ => Err(FramingError::StatusCode(status)),
    }
}

fn error_of(error: httparse::Error) -> FramingError {
    match error {
        httparse::Error::HeaderName | httparse::Error::HeaderValue => FramingError::Field,
        httparse::Error::NewLine => FramingError::LineEnd,
        httparse::Error::TooManyHeaders => FramingError::HeadTooLong,
        httparse::Error::Status | httparse::Error::Token | httparse::Error::Version => {
            FramingError::StatusLine
        }
    }
}

/// The first item, and whether there are more.
fn first_and_more<T>(mut items: impl Iterator<Item = T>) -> (Option<T>, bool) {
    let first = items.next();
    (first, items.next().is_some())
}

/// A number of decimal digits alone; `None` if it is too large.
fn decimal(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

fn trim_blanks(mut value: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = value {
        value = rest;
    }
    value
}
