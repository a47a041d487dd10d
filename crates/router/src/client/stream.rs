//! The byte stream of a client connection: records its activity, and takes back bytes that were read too early.

use crate::client::activity::Activity;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The stream of a client, which records when bytes arrive and whether all bytes are written.
///
/// The HTTP library flushes a stream only once its own buffer is empty, so a flush that has completed means that no part
/// of an answer is left.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    activity: Rc<Activity>,
    /// Bytes that were read before and are to be read again.
    unread: Bytes,
}

impl ClientStream {
    /// Wraps `stream` and records its input in `activity`.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        ClientStream { stream, activity, unread: Bytes::new() }
    }

    /// Puts back bytes that were read and not used: they are read again before any others.
    pub fn unread(&mut self, bytes: Bytes) {
        let rest = std::mem::replace(&mut self.unread, bytes);
        if !rest.is_empty() {
            self.unread = [&self.unread[..], &rest[..]].concat().into();
        }
    }

    fn poll_read_bytes(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if !self.activity.is_reset() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::debug!("connection reset failed error={error}");
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = self.poll_read_bytes(cx, buffer);
        if buffer.filled().len() > before {
            self.activity.received(Instant::now());
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.activity.set_unwritten_bytes(true);
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.set_unwritten_bytes(true);
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.activity.set_unwritten_bytes(false);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
