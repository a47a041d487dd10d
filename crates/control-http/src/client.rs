//! The client: one call at a time on a connection that may be reused.

use crate::message::ControlMethod;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue, IF_MATCH, LOCATION};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lanegate_http_framing::{FramingError, InspectedStream};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Largest answer, bytes: a complete configuration.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Header that names the incarnation that a call is meant for; any other one at that address rejects the call.
const EXPECT_INSTANCE: &str = "expect-instance";

type HttpConnection = Connection<TokioIo<InspectedStream>, Full<Bytes>>;

/// A call; a body is JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// Method of the call.
    pub method: ControlMethod,
    /// Path, with its query.
    pub path: String,
    /// Body; may be empty.
    pub body: Bytes,
    /// Version of the configuration on which the call is based (`If-Match`).
    pub if_match: Option<u64>,
    /// The only incarnation that may accept the call.
    pub expect_instance: Option<String>,
}

impl ClientRequest {
    /// A call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        let path = path.into();
        ClientRequest {
            method: ControlMethod::Get,
            path,
            body: Bytes::new(),
            if_match: None,
            expect_instance: None,
        }
    }

    /// A call with a JSON body.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        ClientRequest { method: ControlMethod::Post, body: body.into(), ..Self::get(path) }
    }

    fn encode(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, CallError> {
        let method = self.method.to_http().ok_or(CallError::Malformed)?;
        let mut request = Request::builder().method(method).uri(&self.path).header(HOST, address.to_string());
        if !self.body.is_empty() {
            request = request.header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Some(version) = self.if_match {
            request = request.header(IF_MATCH, version);
        }
        if let Some(instance) = &self.expect_instance {
            request = request.header(EXPECT_INSTANCE, instance);
        }
        request.body(Full::new(self.body.clone())).map_err(|_| CallError::Malformed)
    }
}

/// The complete answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status of the answer.
    pub status: u16,
    /// `Location` of the answer.
    pub location: Option<String>,
    /// Body of the answer.
    pub body: Bytes,
}

/// Why a call has no complete answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// Method, path or a header is invalid; nothing was sent.
    #[error("the call has no valid method, path or header")]
    Malformed,
    /// The connection was refused, or failed.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection closed before the call was sent.
    #[error("the connection closed before the call was sent: {0}")]
    NotSent(#[source] hyper::Error),
    /// The answer was not complete in time.
    #[error("the answer was not complete in time")]
    Timeout,
    /// The connection broke before the answer was complete, or the answer is not a valid one.
    #[error("no complete answer: {}", cause(.0))]
    Broken(#[source] hyper::Error),
    /// The body of the answer is larger than 4 MiB.
    #[error("the answer is too long")]
    TooLong,
}

impl CallError {
    /// Whether the call may have been executed.
    pub fn may_have_run(&self) -> bool {
        matches!(self, CallError::Timeout | CallError::Broken(_) | CallError::TooLong)
    }
}

/// What is wrong with an answer: where it ends is in doubt, or else what the HTTP library reports.
fn cause(error: &hyper::Error) -> String {
    FramingError::cause_of(error).map_or_else(|| error.to_string(), |refused| refused.to_string())
}

/// Makes one call on a new connection.
///
/// # Errors
/// The call could not be made, or has no complete answer.
pub async fn call(
    address: SocketAddr,
    request: &ClientRequest,
    timeout: Duration,
) -> Result<ClientResponse, CallError> {
    let deadline = Instant::now() + timeout;
    let mut connection = ClientConnection::open_until(address, deadline).await?;
    connection.call_until(request, deadline).await
}

/// A connection for sequential calls. Its I/O only runs while a call is open. An answer whose end is in doubt is an error, and
/// ends the connection.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

impl ClientConnection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    /// [`CallError::Connect`], [`CallError::ConnectTimeout`] or [`CallError::NotSent`].
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        Self::open_until(address, Instant::now() + timeout).await
    }

    async fn open_until(address: SocketAddr, deadline: Instant) -> Result<Self, CallError> {
        let connecting = timeout_at(deadline, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| CallError::ConnectTimeout)?.map_err(CallError::Connect)?;
        let _ = stream
            .set_nodelay(true)
            .inspect_err(|error| log::debug!("TCP_NODELAY not set error=\"{error}\""));
        let handshake = http1::handshake(TokioIo::new(InspectedStream::new(stream))).await;
        let (sender, connection) = handshake.map_err(CallError::NotSent)?;
        Ok(ClientConnection { address, sender, driver: Driver { connection: Some(Box::pin(connection)) } })
    }

    /// Whether another call can be made. If the peer has closed the connection meanwhile, this is only noticed at the next
    /// call, which fails with `NotSent`.
    pub fn is_open(&self) -> bool {
        self.driver.connection.is_some() && !self.sender.is_closed()
    }

    /// Makes a call and waits for its complete answer for `timeout`. After any error the connection is closed.
    ///
    /// # Errors
    /// The call could not be made, or has no complete answer.
    pub async fn call(
        &mut self,
        request: &ClientRequest,
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        self.call_until(request, Instant::now() + timeout).await
    }

    async fn call_until(
        &mut self,
        request: &ClientRequest,
        deadline: Instant,
    ) -> Result<ClientResponse, CallError> {
        let request = request.encode(self.address)?;
        let (sender, driver) = (&mut self.sender, &mut self.driver);
        let exchange = timeout_at(deadline, driver.drive(exchange(sender, request))).await;
        let answer = exchange.unwrap_or(Err(CallError::Timeout));
        if answer.is_err() {
            self.driver.connection = None;
        }
        answer
    }
}

/// Drives the I/O of a connection while a call is open.
struct Driver {
    connection: Option<Pin<Box<HttpConnection>>>,
}

impl std::fmt::Debug for Driver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Driver").field("open", &self.connection.is_some()).finish()
    }
}

impl Driver {
    async fn drive<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|cx| {
            let ended =
                self.connection.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready());
            if ended {
                self.connection = None;
            }
            work.as_mut().poll(cx)
        })
        .await
    }
}

/// Sends a request once the connection is ready, and reads the complete answer.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<ClientResponse, CallError> {
    sender.ready().await.map_err(CallError::NotSent)?;
    let sent = sender.try_send_request(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => CallError::NotSent(error.into_error()),
        None => CallError::Broken(error.into_error()),
    })?;
    let status = response.status().as_u16();
    let location = response.headers().get(LOCATION).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = read_answer(response).await?;
    Ok(ClientResponse { status, location, body })
}

async fn read_answer(response: Response<hyper::body::Incoming>) -> Result<Bytes, CallError> {
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| match error.downcast::<hyper::Error>() {
        Ok(error) => CallError::Broken(*error),
        Err(other) => {
            debug_assert!(other.is::<LengthLimitError>());
            CallError::TooLong
        }
    })?;
    Ok(body.to_bytes())
}
