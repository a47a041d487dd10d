//! One connection to an endpoint. It has no task of its own; the task that uses it polls it. So dropping the connection closes
//! it at once, and an idle connection needs no task.

use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::endpoint::lease::Lease;
use crate::endpoint::shared_stream::{EndpointStream, SharedStream};
use crate::header_fields::{MAX_ANSWER_HEAD_BYTES, max_fields};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time-out of a connection attempt. It allows for many round trips between regions, but is shorter than the second after
/// which the kernel retransmits a lost SYN.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// TCP user time-out: the connection is closed if the peer leaves sent data unacknowledged for this long. Clients abandon a
/// stream after 2 s without data.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// TCP keepalive time and interval; one second is the shortest that can be set.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing of the request was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection broke after some of the request was sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The received bytes are not a valid response.
    #[error("the response is invalid: {0}")]
    InvalidResponse(InvalidAnswer),
}

/// A connection to an endpoint, for one request at a time.
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Connection<TokioIo<EndpointStream>, Full<Bytes>>>>,
    connection_state: ConnectionState,
    shared: Rc<SharedStream>,
    lease: Lease,
    /// Until when the connection may be reused.
    reusable_until: Instant,
}

impl EndpointConnection {
    /// Opens a connection; `lease` counts it against the connection limit of the endpoint.
    ///
    /// # Errors
    ///
    /// If the connection is not established within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr, lease: Lease) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        configure(&stream)?;
        let shared = Rc::new(SharedStream::new(stream));
        let io = TokioIo::new(EndpointStream(shared.clone()));
        let mut builder = http1::Builder::new();
        builder.max_headers(max_fields(Some(MAX_ANSWER_HEAD_BYTES)));
        let (sender, connection) = builder.handshake(io).await.map_err(io::Error::other)?;
        let driver = Box::pin(connection);
        Ok(EndpointConnection {
            sender,
            driver,
            connection_state: ConnectionState::Open,
            shared,
            lease,
            reusable_until: Instant::now(),
        })
    }

    /// The lease of the connection.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Sets how long the connection may be reused while it is idle.
    pub fn set_reuse_period(&mut self, idle: Duration) {
        self.reusable_until = Instant::now() + idle;
    }

    /// Whether the connection may still be reused at `now`.
    pub fn is_unexpired(&self, now: Instant) -> bool {
        now < self.reusable_until
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If there is no valid answer; the variant says whether the request may have been sent.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let written_before = self.shared.written_bytes();
        self.shared.expect_response(&request);
        let mut answer = pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let connection_state = &mut self.connection_state;
        let result = poll_fn(|cx| {
            drive(driver, connection_state, cx);
            answer.as_mut().poll(cx)
        });
        result.await.map_err(|mut failed| match failed.take_message() {
            Some(_) => ExchangeError::NotSent,
            None if self.shared.written_bytes() == written_before => ExchangeError::NotSent,
            None => failure(failed.into_error()),
        })
    }

    /// The next bytes of the body.
    pub fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Bytes>>> {
        loop {
            drive(&mut self.driver, &mut self.connection_state, cx);
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Poll::Ready(Some(Ok(data))),
                    Ok(_) | Err(_) => continue,
                },
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => return Poll::Ready(None),
            }
        }
    }

    /// Whether another request may be sent: the last request was sent and answered completely, and since then neither have bytes
    /// arrived nor has the endpoint closed the connection.
    pub fn is_reusable(&mut self) -> bool {
        drive(&mut self.driver, &mut self.connection_state, &mut Context::from_waker(Waker::noop()));
        self.connection_state == ConnectionState::Open && self.sender.is_ready() && !self.shared.is_blocked()
    }

    /// Forwards late responses from now on instead of discarding them, for tests.
    #[doc(hidden)]
    pub fn forward_late_responses(&self) {
        self.shared.late_responses().forward_all();
    }

    /// Number of late responses to earlier requests that were discarded.
    pub fn discarded_responses(&self) -> u64 {
        self.shared.late_responses().discarded()
    }

    /// Whether the HTTP library reported an error: bytes arrived that belong to no request, or the connection broke.
    pub fn has_failed(&self) -> bool {
        self.connection_state == ConnectionState::Failed
    }

    /// Asks the kernel what the peer has done, because the runtime may not have processed the event yet.
    pub fn peer_state(&self) -> PeerState {
        match self.shared.peek() {
            Ok(0) => PeerState::Closed,
            Ok(_) => PeerState::Sending,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PeerState::Idle,
            Err(_) => PeerState::Closed,
        }
    }
}

/// The failure of an exchange whose request was sent.
fn failure(error: hyper::Error) -> ExchangeError {
    match InvalidAnswer::in_framing(&error) {
        Some(invalid) => ExchangeError::InvalidResponse(invalid),
        None if error.is_parse() => ExchangeError::InvalidResponse(InvalidAnswer::Unreadable),
        None => ExchangeError::Broken(error),
    }
}

/// What the peer of an idle connection has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing.
    Idle,
    /// It has sent bytes that belong to no request.
    Sending,
    /// It has closed the connection.
    Closed,
}

/// The state of a connection in the HTTP library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
    Failed,
}

/// Polls the connection. The HTTP library also reports its errors to the caller that waits for an answer, so only the state is
/// kept here.
fn drive(
    driver: &mut Pin<Box<Connection<TokioIo<EndpointStream>, Full<Bytes>>>>,
    connection_state: &mut ConnectionState,
    cx: &mut Context<'_>,
) {
    if *connection_state != ConnectionState::Open {
        return;
    }
    *connection_state = match driver.as_mut().poll(cx) {
        Poll::Pending => ConnectionState::Open,
        Poll::Ready(Ok(())) => ConnectionState::Closed,
        Poll::Ready(Err(_)) => ConnectionState::Failed,
    };
}

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE))
}
