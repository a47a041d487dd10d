//! The HTTP/1.1 server of the control interface, for endpoints and operators.

use crate::controller::event::{Answer, Call, Event, Method};
use crate::controller::operator::unavailable::{Unavailable, UnavailableCounts};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, IF_MATCH};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Maximum length of a body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of bytes beyond [`MAX_BODY_BYTES`] that are read and discarded before the answer.
const MAX_DROPPED_BYTES: usize = 8 * 1024 * 1024;
/// Longest wait for the head of a call, and for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves calls on `listener` until the process exits. Must run inside a `LocalSet`.
pub(crate) async fn serve(
    listener: TcpListener,
    events: mpsc::UnboundedSender<Event>,
    unavailable: Rc<UnavailableCounts>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, events.clone(), unavailable.clone()));
            }
            Err(error) => {
                log::warn!("connection not accepted interface=control error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    events: mpsc::UnboundedSender<Event>,
    unavailable: Rc<UnavailableCounts>,
) {
    if let Err(error) = crate::link::set_options(&stream) {
        log::debug!("socket options not set interface=control error={error}");
    }
    let service = service_fn(|request| handle(request, events.clone(), unavailable.clone()));
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(true)
        .header_read_timeout(READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection failed interface=control error={error}");
    }
}

async fn handle(
    request: Request<Incoming>,
    events: mpsc::UnboundedSender<Event>,
    unavailable: Rc<UnavailableCounts>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match call(request, events).await {
        Ok(answer) => answer,
        Err(answer) => answer,
    };
    if let Some(reason) = answer.unavailable {
        unavailable.count(reason);
    }
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status.try_into().expect("answers have a valid status code");
    response
        .headers_mut()
        .insert(CONTENT_TYPE, "application/json".parse().expect("the media type is a valid header value"));
    Ok(response)
}

/// Reads a complete body. The rest of a body that is too long is read up to a limit and discarded: closing a connection
/// with unread bytes resets it, and the caller would lose the answer.
async fn read_body(mut body: Incoming) -> Result<Bytes, Answer> {
    let mut bytes = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| incomplete_body(&error))?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length <= MAX_BODY_BYTES {
            bytes.extend_from_slice(&data);
        } else if length > MAX_BODY_BYTES + MAX_DROPPED_BYTES {
            return Err(body_too_long());
        }
    }
    if length > MAX_BODY_BYTES { Err(body_too_long()) } else { Ok(bytes.freeze()) }
}

fn body_too_long() -> Answer {
    Answer::error(413, &format!("the body is longer than {MAX_BODY_BYTES} bytes"))
}

/// The answer to a call whose body ended early. It must not mean that the change was refused, as an earlier call may
/// have committed the same change.
fn incomplete_body(error: &hyper::Error) -> Answer {
    Answer::error(408, &format!("the body did not come whole: {error}"))
}

async fn call(request: Request<Incoming>, events: mpsc::UnboundedSender<Event>) -> Result<Answer, Answer> {
    let (head, body) = request.into_parts();
    let method = match head.method {
        hyper::Method::GET => Method::Get,
        hyper::Method::PUT => Method::Put,
        hyper::Method::PATCH => Method::Patch,
        hyper::Method::DELETE => Method::Delete,
        _ => Method::Other,
    };
    let if_match = head.headers.get(IF_MATCH).map(|value| {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        text.trim().trim_matches('"').parse().map_err(|_| text)
    });
    let body = tokio::time::timeout(READ_TIMEOUT, read_body(body))
        .await
        .map_err(|_| Answer::error(408, "the body did not come in time"))??;
    let (reply, answer) = oneshot::channel();
    let call = Call { method, path: head.uri.path().to_owned(), if_match, body, reply };
    let _ = events.send(Event::Call(call));
    answer.await.map_err(|_| Answer::unavailable(Unavailable::Dropped))
}
