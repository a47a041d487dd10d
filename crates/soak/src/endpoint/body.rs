//! The body of a stream that is written while it runs.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc;

/// The answer ends here though it is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the endpoint broke off")]
pub struct BrokenOff;

/// Bytes from whoever holds the sender; whole when that is dropped.
#[derive(Debug)]
pub struct AnswerBody(mpsc::Receiver<Result<Bytes, BrokenOff>>);

impl AnswerBody {
    /// A body and the sender of its pieces.
    pub fn channel(room: usize) -> (mpsc::Sender<Result<Bytes, BrokenOff>>, Self) {
        let (sender, receiver) = mpsc::channel(room);
        (sender, AnswerBody(receiver))
    }

    /// A body that is there already.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let (sender, body) = Self::channel(1);
        // There is room for one piece.
        let _ = sender.try_send(Ok(bytes.into()));
        body
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.0.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
