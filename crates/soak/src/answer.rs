//! What endpoints answer, so that clients can tell whether an answer is theirs.

use crate::names::AttemptId;
use std::str;

/// Lines of a plain answer.
const LINES: usize = 12;

/// The body of a plain answer of the endpoint that signs so.
pub fn plain_body(attempt: AttemptId, signature: &str) -> String {
    format!("{attempt} by {signature}\n").repeat(LINES)
}

/// One event of a stream.
pub fn event(attempt: AttemptId, id: u32) -> String {
    format!("id: {id}\ndata: {attempt} {id}\n\n")
}

/// The events of an answer, read as they come.
#[derive(Debug, Default)]
pub struct EventReader {
    rest: Vec<u8>,
    /// Ids of the events so far.
    pub ids: Vec<u32>,
    /// Whether something came that is no event of this attempt.
    pub is_foreign: bool,
}

impl EventReader {
    /// Takes bytes of the answer to `attempt` in.
    pub fn push(&mut self, attempt: AttemptId, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
        while let Some(end) = self.rest.windows(2).position(|pair| pair == b"\n\n") {
            let text: Vec<u8> = self.rest.drain(..end + 2).collect();
            match str::from_utf8(&text).ok().and_then(id_of) {
                Some(id) if event(attempt, id).as_bytes() == text => self.ids.push(id),
                _ => self.is_foreign = true,
            }
        }
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        !self.rest.is_empty()
    }
}

fn id_of(event: &str) -> Option<u32> {
    event.strip_prefix("id: ")?.lines().next()?.parse().ok()
}
