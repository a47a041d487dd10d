//! A client's socket as hyper reads and writes it.

use super::connection::Connection;
use bytes::Bytes;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client's socket, with its connection told what comes.
pub(super) struct ClientStream {
    connection: Rc<Connection>,
    /// What another process has read of it already.
    ahead: Bytes,
}

impl ClientStream {
    pub(super) fn new(connection: Rc<Connection>, ahead: Bytes) -> Self {
        ClientStream { connection, ahead }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let room = buf.remaining().min(self.ahead.len());
            let piece = self.ahead.split_to(room);
            self.connection.received(&piece);
            buf.put_slice(&piece);
            return Poll::Ready(Ok(()));
        }
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    let before = buf.filled().len();
                    buf.advance(n);
                    if n > 0 {
                        self.connection.received(&buf.filled()[before..]);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Asked once all that was to be written is.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.connection.answering.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.connection.stream).shutdown(Shutdown::Write))
    }
}
