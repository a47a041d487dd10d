//! A stream of tokio as `async-h1` wants it: with the traits of `futures`, and cloneable.

use futures_lite::io::{AsyncRead, AsyncWrite};
use parking_lot::Mutex;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead as TokioRead, AsyncWrite as TokioWrite, DuplexStream, ReadBuf};

#[derive(Clone)]
pub struct SharedIo {
    stream: Arc<Mutex<DuplexStream>>,
    writes: Arc<AtomicUsize>,
}

impl SharedIo {
    pub fn new(stream: DuplexStream) -> Self {
        SharedIo { stream: Arc::new(Mutex::new(stream)), writes: Arc::default() }
    }

    /// Writes so far; on a socket each is a system call.
    pub fn writes(&self) -> usize {
        self.writes.load(Ordering::Relaxed)
    }
}

impl AsyncRead for SharedIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut buf = ReadBuf::new(buf);
        ready!(Pin::new(&mut *self.stream.lock()).poll_read(cx, &mut buf))?;
        Poll::Ready(Ok(buf.filled().len()))
    }
}

impl AsyncWrite for SharedIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        Pin::new(&mut *self.stream.lock()).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.lock()).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.lock()).poll_shutdown(cx)
    }
}
