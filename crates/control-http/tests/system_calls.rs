//! Bounds the reads and writes that one request takes; on a socket each is a system call.

use lanegate_control_http::{ControlRequest, ControlResponse, ServerLimits, serve_connection};
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex};

/// A stream that counts its calls.
struct CountedStream {
    stream: DuplexStream,
    reads: Rc<Cell<u32>>,
    writes: Rc<Cell<u32>>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.reads.set(self.reads.get() + 1);
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.writes.set(self.writes.get() + 1);
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

async fn answer(_: ControlRequest) -> ControlResponse {
    ControlResponse::json(200, "{}")
}

/// Serves one request that arrives in one read, after which the client disconnects.
async fn calls_for(request: &str) -> (u32, u32) {
    let (mut client, stream) = duplex(1 << 16);
    let (reads, writes) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let stream = CountedStream { stream, reads: reads.clone(), writes: writes.clone() };
    client.write_all(request.as_bytes()).await.expect("a pipe with room");
    client.shutdown().await.expect("an open pipe");
    let remote = SocketAddr::from(([10, 0, 0, 9], 4000));
    serve_connection(stream, remote, &ServerLimits::default(), Rc::new(answer), pending()).await;
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.expect("text");
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("{}"), "{answer}");
    (reads.get(), writes.get())
}

#[tokio::test]
async fn small_request_takes_two_reads_and_one_write() {
    let put = "PUT /instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    assert_eq!(calls_for(put).await, (2, 1));
    assert_eq!(calls_for("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n").await, (2, 1));
}
