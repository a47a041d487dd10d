//! The control interface: endpoints and operators over HTTP/1.1.

use super::event::{Answer, Call, Event, Method};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, IF_MATCH};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// Largest body that is read.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Longest wait for the head of a call, and for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves calls on `listener` for the life of the process. Must run inside a `LocalSet`.
pub async fn serve(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, events.clone()));
            }
            Err(error) => {
                log::warn!("control interface: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, events: mpsc::UnboundedSender<Event>) {
    if let Err(error) = crate::link::set_options(&stream) {
        log::debug!("options of a control connection: {error}");
    }
    let service = service_fn(|request| handle(request, events.clone()));
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(true)
        .header_read_timeout(READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("control connection: {error}");
    }
}

async fn handle(
    request: Request<Incoming>,
    events: mpsc::UnboundedSender<Event>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match call(request, events).await {
        Ok(answer) => answer,
        Err(answer) => answer,
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status.try_into().expect("answers have a status of three digits");
    response.headers_mut().insert(CONTENT_TYPE, "application/json".parse().expect("a media type"));
    Ok(response)
}

/// The answer to a call whose body was not read whole. One that broke off says nothing about the change that it
/// is part of, which may have been taken before, so it is no refusal.
fn unread_body(error: &(dyn std::error::Error + 'static)) -> Answer {
    if error.is::<LengthLimitError>() {
        return Answer::error(413, &format!("the body is longer than {MAX_BODY_BYTES} bytes"));
    }
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
    let body = tokio::time::timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect())
        .await
        .map_err(|_| Answer::error(408, "the body did not come in time"))?
        .map_err(|error| unread_body(error.as_ref()))?
        .to_bytes();
    let (reply, answer) = oneshot::channel();
    let call = Call { method, path: head.uri.path().to_owned(), if_match, body, reply };
    let _ = events.send(Event::Call(call));
    answer.await.map_err(|_| Answer::error(503, "no clear answer"))
}
