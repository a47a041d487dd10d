//! A client's socket whose responses are inspected before the HTTP library reads them.

use crate::inspector::ResponseInspector;
use rustix::net::{RecvFlags, recv};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that tell whether another response follows.
const FOLLOWING_BYTES: usize = 8;

/// Inspects what was read from `stream`; nothing means its end. If that ends with a complete response, the bytes that have
/// arrived behind it are inspected too: `pending`, which were taken from the stream and not read yet, and those that the
/// kernel holds. It is asked directly, because the runtime may not have processed the event yet.
///
/// # Errors
/// [`crate::FramingError`] if the response has to be refused. The bytes must not be used then.
pub fn inspect_received(
    inspector: &mut ResponseInspector,
    received: &[u8],
    pending: &[u8],
    stream: &TcpStream,
) -> io::Result<()> {
    inspector.read(received)?;
    if received.is_empty() || !inspector.is_complete() {
        return Ok(());
    }
    inspector.push_following(pending)?;
    let mut bytes = [0; FOLLOWING_BYTES];
    let peeked = recv(stream, &mut bytes[..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    // The reader of the stream gets the errors of the connection.
    let length = peeked.map_or(0, |(length, _)| length);
    Ok(inspector.push_following(&bytes[..length])?)
}

/// A connection to a server, for one request at a time, none of them a HEAD request.
#[derive(Debug)]
pub struct InspectedStream {
    stream: TcpStream,
    inspector: ResponseInspector,
}

impl InspectedStream {
    /// Inspects the responses that `stream` receives.
    pub fn new(stream: TcpStream) -> Self {
        InspectedStream { stream, inspector: ResponseInspector::default() }
    }

    /// The socket.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
        let received = &buffer.filled()[before..];
        Poll::Ready(inspect_received(&mut this.inspector, received, &[], &this.stream))
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.inspector.on_request_bytes();
        Pin::new(&mut this.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.inspector.on_request_bytes();
        Pin::new(&mut this.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
