//! The body of an answer to a client: complete, or a stream.
//!
//! In the layering of `request::forward`, this is above `stream`; `local_reply` and `forward` create bodies.

use crate::client::activity::BusyGuard;
use crate::request::stream::{AnswerStream, TruncatedAnswer};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of an answer: either complete or forwarded as it arrives.
pub struct RouterBody {
    content: Content,
    _guard: Option<BusyGuard>,
}

enum Content {
    Complete(Bytes),
    Stream(Box<AnswerStream>),
}

impl RouterBody {
    /// A complete body.
    pub fn complete(bytes: Bytes) -> Self {
        RouterBody { content: Content::Complete(bytes), _guard: None }
    }

    /// A body that is forwarded as it arrives.
    pub fn stream(stream: AnswerStream) -> Self {
        RouterBody { content: Content::Stream(Box::new(stream)), _guard: None }
    }

    /// Keeps the connection of the client marked as busy until the HTTP library has taken the whole body.
    pub fn with_busy_guard(self, guard: BusyGuard) -> Self {
        RouterBody { _guard: Some(guard), ..self }
    }
}

impl Body for RouterBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match &mut self.content {
            Content::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Stream(stream) => {
                stream.poll_data(cx).map(|next| next.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
