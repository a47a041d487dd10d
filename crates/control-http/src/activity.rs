//! What a connection is doing, for its timeouts.

use crate::limits::ServerLimits;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// What a connection is doing, and since when.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// Nothing has arrived since the last response.
    Idle(Instant),
    /// A head has begun to arrive.
    Head(Instant),
    /// A body is arriving; its newest bytes came at this time.
    Body(Instant),
    /// The handler is running.
    Handling,
}

/// The phase of one connection, shared by its stream, its service and its timeouts.
#[derive(Debug, Clone)]
pub(crate) struct Activity(Rc<Cell<Phase>>);

impl Activity {
    pub(crate) fn new() -> Self {
        Activity(Rc::new(Cell::new(Phase::Idle(Instant::now()))))
    }

    /// The head is complete.
    pub(crate) fn head_arrived(&self) {
        self.0.set(Phase::Body(Instant::now()));
    }

    /// The body is complete, or ended early.
    pub(crate) fn body_ended(&self) {
        self.0.set(Phase::Handling);
    }

    /// The response is ready to be sent.
    pub(crate) fn responded(&self) {
        self.0.set(Phase::Idle(Instant::now()));
    }

    /// When the connection times out, unless its phase changes before.
    pub(crate) fn deadline(&self, limits: &ServerLimits) -> Option<Instant> {
        match self.0.get() {
            Phase::Idle(since) | Phase::Body(since) => Some(since + limits.idle_timeout),
            Phase::Head(since) => Some(since + limits.header_timeout),
            Phase::Handling => None,
        }
    }

    fn bytes_arrived(&self) {
        match self.0.get() {
            Phase::Idle(_) => self.0.set(Phase::Head(Instant::now())),
            Phase::Body(_) => self.0.set(Phase::Body(Instant::now())),
            Phase::Head(_) | Phase::Handling => {}
        }
    }
}

/// A stream that reports to the connection's [`Activity`] when bytes arrive.
pub(crate) struct WatchedStream<S> {
    stream: S,
    activity: Activity,
}

impl<S> WatchedStream<S> {
    pub(crate) fn new(stream: S, activity: Activity) -> Self {
        WatchedStream { stream, activity }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.activity.bytes_arrived();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
