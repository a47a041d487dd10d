//! Finds the rest of a head at the beginning of a body that ends with its connection.
//!
//! A damaged head may end early, at an empty line that its sender did not mean. If the line with the length comes after
//! it, the response seems to have no length: the rest of the head, the real end of the head and the real body become its
//! body. Such a body begins with fields up to an empty line, one of which is a field of heads that the head lacks. The
//! early end may also cut a line in two, so the first line may be anything.

use crate::chunks::is_token;
use crate::error::FramingError;
use crate::head::Head;

/// Fields that describe a response or its connection, and are not found at the beginning of a text with a length of its own.
const FIELDS_OF_HEADS: [&str; 10] = [
    "content-length",
    "transfer-encoding",
    "connection",
    "keep-alive",
    "content-type",
    "attempt-id",
    "server-signature",
    "instance-id",
    "instance-load",
    "not-executed",
];
/// Longest rest of a head that is found, bytes.
const MAX_BYTES: usize = 4 * 1024;

/// What is known of the beginning of a body.
enum Verdict {
    Undecided,
    Body,
    RestOfHead,
}

/// The search in one body.
#[derive(Debug)]
pub(crate) struct LeakedHead {
    /// Which of [`FIELDS_OF_HEADS`] the head has.
    present: [bool; FIELDS_OF_HEADS.len()],
    /// The beginning of the body; `None` once it is known not to be the rest of a head.
    beginning: Option<Vec<u8>>,
}

impl LeakedHead {
    pub(crate) fn new(head: &Head<'_>) -> Self {
        let present = FIELDS_OF_HEADS.map(|name| head.values(name).next().is_some());
        LeakedHead { present, beginning: Some(Vec::new()) }
    }

    /// Examines the next bytes of the body.
    ///
    /// # Errors
    /// [`FramingError::HeadInBody`] if the body begins with the rest of a head.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        let Some(beginning) = &mut self.beginning else {
            return Ok(());
        };
        let room = MAX_BYTES - beginning.len();
        beginning.extend_from_slice(&bytes[..bytes.len().min(room)]);
        match examine(beginning, &self.present) {
            Verdict::RestOfHead => return Err(FramingError::HeadInBody),
            Verdict::Undecided if beginning.len() < MAX_BYTES => {}
            Verdict::Undecided | Verdict::Body => self.beginning = None,
        }
        Ok(())
    }
}

fn examine(beginning: &[u8], present: &[bool]) -> Verdict {
    let mut names_field_of_head = false;
    let mut rest = beginning;
    for number in 0.. {
        let Some(feed) = rest.iter().position(|&byte| byte == b'\n') else {
            return Verdict::Undecided;
        };
        let Some(line) = rest[..feed].strip_suffix(b"\r") else {
            return Verdict::Body;
        };
        rest = &rest[feed + 1..];
        match field_name(line) {
            _ if line.is_empty() && names_field_of_head => return Verdict::RestOfHead,
            Some(name) => names_field_of_head |= is_missing_field(name, present),
            None if number == 0 && !line.is_empty() => {}
            None => return Verdict::Body,
        }
    }
    Verdict::Undecided
}

fn is_missing_field(name: &[u8], present: &[bool]) -> bool {
    let known = FIELDS_OF_HEADS.iter().position(|known| name.eq_ignore_ascii_case(known.as_bytes()));
    known.is_some_and(|index| !present[index])
}

/// The name of the field on a line; `None` if the line is not a field.
fn field_name(line: &[u8]) -> Option<&[u8]> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let name = &line[..colon];
    (!name.is_empty() && name.iter().copied().all(is_token)).then_some(name)
}
