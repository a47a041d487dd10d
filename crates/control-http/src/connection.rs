//! One connection of the server.

use crate::activity::{Activity, WatchedStream};
use crate::body::{BodyEnd, read_body};
use crate::limits::ServerLimits;
use crate::message::{ControlRequest, ControlResponse, IfMatch};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, Sleep, sleep_until};

/// Limit on the bytes of heads and unread body that a connection buffers.
const BUFFER_BYTES: usize = 64 * 1024;

/// Serves one connection until it closes, times out, or is idle after `stop` is done.
///
/// A client that shuts down its sending side still gets its responses. A request that was read is handled to its end
/// even if the client has disconnected.
pub async fn serve_connection<S, H, F>(
    stream: S,
    remote: SocketAddr,
    limits: &ServerLimits,
    handler: Rc<H>,
    stop: impl Future<Output = ()>,
) where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(ControlRequest) -> F,
    F: Future<Output = ControlResponse>,
{
    let activity = Activity::new();
    let service = service_fn(|request| answer(request, remote, limits, &*handler, &activity));
    let stream = TokioIo::new(WatchedStream::new(stream, activity.clone()));
    let mut builder = http1::Builder::new();
    builder.half_close(true).max_buf_size(BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut stop = pin!(stop);
    let mut stopping = false;
    let mut timer = pin!(sleep_until(Instant::now() + limits.idle_timeout));
    poll_fn(|cx| {
        if !stopping && stop.as_mut().poll(cx).is_ready() {
            stopping = true;
            connection.as_mut().graceful_shutdown();
        }
        if let Poll::Ready(end) = connection.as_mut().poll(cx) {
            let _ =
                end.inspect_err(|error| log::debug!("connection failed remote={remote} error=\"{error}\""));
            return Poll::Ready(());
        }
        poll_timeout(timer.as_mut(), &activity, limits, cx)
    })
    .await;
}

/// Ready once the current phase of the connection has timed out.
///
/// To save work, the timer is reset only when it fires or would fire too late, not with every request.
fn poll_timeout(
    mut timer: Pin<&mut Sleep>,
    activity: &Activity,
    limits: &ServerLimits,
    cx: &mut Context<'_>,
) -> Poll<()> {
    loop {
        let deadline = activity.deadline(limits);
        if deadline.is_some_and(|deadline| deadline < timer.deadline()) {
            timer.as_mut().reset(deadline.unwrap_or_else(Instant::now));
        }
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let now = Instant::now();
        if deadline.is_some_and(|deadline| deadline <= now) {
            return Poll::Ready(());
        }
        timer.as_mut().reset(deadline.unwrap_or(now + limits.idle_timeout));
    }
}

/// Reads the body of a request and passes the request to the handler.
async fn answer<H, F>(
    request: Request<Incoming>,
    remote: SocketAddr,
    limits: &ServerLimits,
    handler: &H,
    activity: &Activity,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(ControlRequest) -> F,
    F: Future<Output = ControlResponse>,
{
    activity.head_arrived();
    let (head, body) = request.into_parts();
    let (body, complete) = match read_body(body, limits.max_body_bytes).await {
        BodyEnd::Complete(body) => (body, true),
        BodyEnd::Truncated(body) => (body, false),
        BodyEnd::TooLong => {
            activity.responded();
            return Ok(encode(too_long()));
        }
    };
    activity.body_ended();
    let request = ControlRequest {
        method: (&head.method).into(),
        path: head.uri.path().to_owned(),
        if_match: IfMatch::from_headers(&head.headers),
        body,
        complete,
        remote,
    };
    let response = handler(request).await;
    activity.responded();
    Ok(encode(response))
}

fn too_long() -> ControlResponse {
    ControlResponse { close: true, ..ControlResponse::status(StatusCode::PAYLOAD_TOO_LARGE.as_u16()) }
}

fn encode(response: ControlResponse) -> Response<Full<Bytes>> {
    let headers = response.headers();
    let mut encoded = Response::new(Full::new(response.body));
    *encoded.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *encoded.headers_mut() = headers;
    encoded
}
