//! Reads a body completely, within a limit.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// How the reading of a body ended.
#[derive(Debug)]
pub(crate) enum BodyEnd {
    Complete(Bytes),
    /// The stream ended or failed before the body was complete; holds its beginning.
    Truncated(Bytes),
    /// The body is longer than the limit; a part of the rest was dropped.
    TooLong,
}

/// Reads a body of at most `limit` bytes.
///
/// Up to as many more bytes are read and dropped, so that the client reads the rejection before its connection is
/// reset.
pub(crate) async fn read_body(mut body: Incoming, limit: usize) -> BodyEnd {
    let mut collected = Collected::default();
    loop {
        if collected.length > 2 * limit {
            return BodyEnd::TooLong;
        }
        match body.frame().await {
            None if collected.length > limit => return BodyEnd::TooLong,
            None => return BodyEnd::Complete(collected.into_bytes()),
            Some(Err(_)) => return BodyEnd::Truncated(collected.into_bytes()),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                collected.add(data, limit, expected_rest(&body));
            }
        }
    }
}

/// Bytes of the body that are still expected, by its declared length.
fn expected_rest(body: &Incoming) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}

/// The chunks of a body; a body that arrives in one chunk is not copied.
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
