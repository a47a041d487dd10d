//! Reading a body whole, within a limit.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// How the reading of a body ended.
#[derive(Debug)]
pub(crate) enum BodyEnd {
    Whole(Bytes),
    /// The stream ended or broke before the body did; here is its beginning.
    Cut(Bytes),
    /// The body is longer than the limit; its rest was dropped as far as that is worth it.
    TooLong,
}

/// Reads a body of at most `limit` bytes.
///
/// Up to as much again is read and dropped, so that the caller reads the refusal before it meets a reset.
pub(crate) async fn read_body(mut body: Incoming, limit: usize) -> BodyEnd {
    let mut collected = Collected::default();
    loop {
        if collected.length > 2 * limit {
            return BodyEnd::TooLong;
        }
        match body.frame().await {
            None if collected.length > limit => return BodyEnd::TooLong,
            None => return BodyEnd::Whole(collected.into_bytes()),
            Some(Err(_)) => return BodyEnd::Cut(collected.into_bytes()),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                collected.add(data, limit, expected_rest(&body));
            }
        }
    }
}

/// Bytes that the body says are still to come.
fn expected_rest(body: &Incoming) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}

/// The pieces of a body; a body that came in one piece is never copied.
#[derive(Debug, Default)]
struct Collected {
    length: usize,
    first: Bytes,
    all: BytesMut,
}

impl Collected {
    fn add(&mut self, data: Bytes, limit: usize, rest: usize) {
        self.length = self.length.saturating_add(data.remaining());
        if self.length > limit {
            self.first = Bytes::new();
            self.all = BytesMut::new();
            return;
        }
        if self.first.is_empty() && self.all.is_empty() {
            self.first = data;
            return;
        }
        if self.all.is_empty() {
            self.all.reserve(self.length + rest.min(limit - self.length));
            self.all.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.all.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.all.is_empty() { self.first } else { self.all.freeze() }
    }
}
