//! The TCP stream that the HTTP library reads and writes. In between are the filter of late responses and the inspector,
//! which refuses a response whose end is in doubt.

use crate::endpoint::late_responses::LateResponseFilter;
use crate::headers::ATTEMPT_ID;
use hyper::body::Body;
use hyper::{Method, Request};
use lanegate_http_framing::{ResponseInspector, inspect_received};
use socket2::SockRef;
use std::cell::{Cell, RefCell, RefMut};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that are read at a time while the filter examines the input.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// The stream that an [`EndpointConnection`](crate::endpoint::connection::EndpointConnection) shares with the HTTP library.
#[derive(Debug)]
pub(crate) struct SharedStream {
    stream: RefCell<TcpStream>,
    /// Bytes written to the kernel.
    written: Cell<u64>,
    /// Whether the last write is pending because the send buffer is full: the endpoint does not read.
    is_blocked: Cell<bool>,
    late_responses: RefCell<LateResponseFilter>,
    inspector: RefCell<ResponseInspector>,
}

impl SharedStream {
    /// Wraps a connected stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        SharedStream {
            stream: RefCell::new(stream),
            written: Cell::new(0),
            is_blocked: Cell::new(false),
            late_responses: RefCell::default(),
            inspector: RefCell::default(),
        }
    }

    /// Expects the response to a request that is about to be sent.
    pub(crate) fn expect_response(&self, request: &Request<impl Body>) {
        let (attempt_id, method) = (request.headers().get(&ATTEMPT_ID), request.method());
        self.late_responses.borrow_mut().expect(attempt_id, method);
        self.inspector.borrow_mut().expect(method == Method::HEAD);
    }

    /// Bytes written to the kernel so far.
    pub(crate) fn written_bytes(&self) -> u64 {
        self.written.get()
    }

    /// Whether the last write is pending because the send buffer is full: the endpoint does not read.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked.get()
    }

    /// The filter of late responses.
    pub(crate) fn late_responses(&self) -> RefMut<'_, LateResponseFilter> {
        self.late_responses.borrow_mut()
    }

    /// Peeks at one byte in the receive buffer of the kernel; returns 0 at the end of the stream.
    pub(crate) fn peek(&self) -> io::Result<usize> {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*stream).peek(&mut byte)
    }

    fn record_written(&self, result: &Poll<io::Result<usize>>) {
        self.is_blocked.set(result.is_pending());
        if let Poll::Ready(Ok(written)) = result {
            self.written.set(self.written.get().wrapping_add(*written as u64));
        }
    }

    /// Reads input for the HTTP library.
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.poll_read_filtered(cx, buffer))?;
        Poll::Ready(self.inspect(&buffer.filled()[before..]))
    }

    /// Reads input without late responses.
    fn poll_read_filtered(&self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.stream.borrow_mut();
        let mut late_responses = self.late_responses.borrow_mut();
        while !late_responses.is_forwarding() {
            if late_responses.read_ready(buffer) {
                return Poll::Ready(Ok(()));
            }
            let mut space = [MaybeUninit::uninit(); HEAD_READ_BYTES];
            let mut read = ReadBuf::uninit(&mut space);
            ready!(Pin::new(&mut *stream).poll_read(cx, &mut read))?;
            match read.filled() {
                [] => late_responses.end(),
                bytes => late_responses.push(bytes)?,
            }
        }
        Pin::new(&mut *stream).poll_read(cx, buffer)
    }

    /// Inspects what the HTTP library is about to get, and whether more has arrived than belongs to the response.
    fn inspect(&self, received: &[u8]) -> io::Result<()> {
        let late_responses = self.late_responses.borrow();
        let mut inspector = self.inspector.borrow_mut();
        inspect_received(&mut inspector, received, late_responses.ready(), &self.stream.borrow())
    }
}

/// The stream as the HTTP library sees it.
#[derive(Debug)]
pub(crate) struct EndpointStream(pub(crate) Rc<SharedStream>);

impl AsyncRead for EndpointStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buffer)
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, bytes);
        self.0.record_written(&result);
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, slices);
        self.0.record_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
