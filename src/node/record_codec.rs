//! Binary encoding of the journal's records: message snapshots, attempts and verdicts.

use super::journal::{Attempt, LiveMessage, Message, Verdict};
use bytes::{BufMut, Bytes};
use std::rc::Rc;
use std::time::Duration;

/// Kinds of records; the numbers are part of the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// A whole message with all that is known of it. Replaces all earlier records of the message.
    Snapshot = 1,
    /// An attempt, with its number.
    Attempt = 2,
    /// An attempt is known not to have run.
    NeverRan = 3,
    Verdict = 4,
    Ended = 5,
    /// Records that may belong to this message are lost: one more attempt is assumed that may have run.
    AssumedAttempt = 6,
}

impl RecordKind {
    pub fn of(kind: u8) -> Option<Self> {
        let all = [
            RecordKind::Snapshot,
            RecordKind::Attempt,
            RecordKind::NeverRan,
            RecordKind::Verdict,
            RecordKind::Ended,
            RecordKind::AssumedAttempt,
        ];
        all.into_iter().find(|k| *k as u8 == kind)
    }
}

fn put_text(to: &mut Vec<u8>, text: &[u8]) {
    to.put_u32_le(text.len() as u32);
    to.put_slice(text);
}

/// Approximate encoded size of a message without attempts, in bytes.
pub fn approximate_size(l: &Message) -> usize {
    let texts =
        [l.id.len(), l.class.len(), l.tenant.len(), l.key.as_deref().map_or(0, str::len), l.body.len()];
    texts.iter().map(|t| t + 4).sum::<usize>() + 42
}

/// Checksum of the id field. It covers the message's number, so that it fails if the payload stands behind
/// the header of another message's record.
fn id_check(message: u64, field: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&message.to_le_bytes());
    hasher.update(field);
    hasher.finalize()
}

/// Encodes a whole message.
pub fn encode_snapshot(message: u64, live: &LiveMessage) -> Vec<u8> {
    let submitted = &live.submitted;
    let mut to = Vec::with_capacity(approximate_size(submitted) + live.attempts.len() * 64);
    put_text(&mut to, submitted.id.as_bytes());
    // The id has its own checksum: if the rest is corrupt, the client can still be notified.
    to.put_u32_le(id_check(message, &to));
    to.put_u64_le(live.taken.as_micros() as u64);
    to.put_u64_le(submitted.until.as_micros() as u64);
    to.put_u64_le(submitted.destination);
    put_text(&mut to, submitted.class.as_bytes());
    put_text(&mut to, submitted.tenant.as_bytes());
    to.put_u8(u8::from(submitted.key.is_some()));
    put_text(&mut to, submitted.key.as_deref().unwrap_or_default().as_bytes());
    put_text(&mut to, &submitted.body);
    to.put_u8(u8::from(live.verdict.is_some()));
    to.extend(live.verdict.map(encode_verdict).unwrap_or_default());
    to.put_u32_le(live.attempts.len() as u32);
    for attempt in &live.attempts {
        to.put_u8(u8::from(attempt.may_have_run));
        encode_attempt_fields(&mut to, attempt);
    }
    to
}

fn encode_attempt_fields(to: &mut Vec<u8>, attempt: &Attempt) {
    to.put_u64_le(attempt.sent.as_micros() as u64);
    put_text(to, attempt.host.as_bytes());
    put_text(to, attempt.zone.as_bytes());
}

pub fn encode_attempt(number: u32, attempt: &Attempt) -> Vec<u8> {
    let mut to = Vec::with_capacity(64);
    to.put_u32_le(number);
    encode_attempt_fields(&mut to, attempt);
    to
}

pub fn encode_verdict(verdict: Verdict) -> Vec<u8> {
    let (bounced, wait) = match verdict {
        Verdict::Dead => (false, None),
        Verdict::Bounced { wait } => (true, wait),
    };
    let mut to = vec![u8::from(bounced)];
    to.put_u64_le(wait.map_or(0, |w| w.as_micros() as u64));
    to
}

/// Decodes fields in sequence; None as soon as one does not fit.
pub struct FieldReader<'a>(pub &'a [u8]);

impl<'a> FieldReader<'a> {
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.take(4)?.try_into().ok().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Option<u64> {
        self.take(8)?.try_into().ok().map(u64::from_le_bytes)
    }

    pub fn bytes(&mut self) -> Option<&'a [u8]> {
        let n = self.u32()?;
        self.take(n as usize)
    }

    pub fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?.to_vec()).ok()
    }

    pub fn time(&mut self) -> Option<Duration> {
        self.u64().map(Duration::from_micros)
    }

    pub fn verdict(&mut self) -> Option<Verdict> {
        let (bounced, wait) = (self.u8()? == 1, self.time()?);
        let wait = Some(wait).filter(|w| !w.is_zero());
        Some(if bounced { Verdict::Bounced { wait } } else { Verdict::Dead })
    }

    fn attempt_fields(&mut self, may_have_run: bool) -> Option<Attempt> {
        let (sent, host, zone) = (self.time()?, self.text()?, self.text()?);
        Some(Attempt { host, zone, sent, may_have_run })
    }
}

/// The id from a snapshot whose other fields may be corrupt.
pub fn decode_id(message: u64, payload: &[u8]) -> Option<String> {
    let mut f = FieldReader(payload);
    let id = f.text()?;
    let field = &payload[..payload.len() - f.0.len()];
    let check = f.u32()?;
    // Earlier versions did not include the message's number in the checksum.
    let sound = check == id_check(message, field) || check == crc32fast::hash(field);
    sound.then_some(id)
}

pub fn decode_snapshot(payload: &[u8]) -> Option<LiveMessage> {
    let mut f = FieldReader(payload);
    let (id, _check) = (f.text()?, f.u32()?);
    let (taken, until, destination) = (f.time()?, f.time()?, f.u64()?);
    let (class, tenant, keyed, key) = (f.text()?, f.text()?, f.u8()? == 1, f.text()?);
    let body = Bytes::copy_from_slice(f.bytes()?);
    let verdict = if f.u8()? == 1 { Some(f.verdict()?) } else { None };
    let mut attempts = Vec::new();
    for _ in 0..f.u32()? {
        let may_have_run = f.u8()? == 1;
        attempts.push(f.attempt_fields(may_have_run)?);
    }
    let submitted = Message { id, class, tenant, destination, key: keyed.then_some(key), until, body };
    Some(LiveMessage { submitted: Rc::new(submitted), taken, attempts, verdict })
}

/// An attempt's number, and the attempt.
pub fn decode_attempt(payload: &[u8]) -> Option<(usize, Attempt)> {
    let mut f = FieldReader(payload);
    Some((f.u32()? as usize, f.attempt_fields(true)?))
}

pub fn decode_never_ran(payload: &[u8]) -> Option<usize> {
    FieldReader(payload).u32().map(|n| n as usize)
}

pub fn decode_verdict(payload: &[u8]) -> Option<Verdict> {
    FieldReader(payload).verdict()
}
