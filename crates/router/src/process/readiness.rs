//! The HTTP endpoint at which the platform checks whether the router is ready.

use crate::state::RouterState;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Path of the readiness check.
const READY_PATH: &str = "/readyz";
/// Longest lifetime of a connection to the readiness endpoint.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(60);
/// Wait after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Serves readiness checks; never returns.
pub async fn accept(listener: TcpListener, state: Rc<RouterState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream, state.clone()));
            }
            Err(error) => {
                log::warn!("readiness accept failed error={error}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Rc<RouterState>) {
    let service = service_fn(|request| {
        let answer = answer(&state, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut builder = Builder::new();
    let connection = builder.auto_date_header(false).serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = timeout(MAX_CONNECTION_TIME, connection).await {
        log::debug!("readiness connection failed error={error}");
    }
}

fn answer(state: &RouterState, request: &Request<Incoming>) -> Response<Empty<Bytes>> {
    let status = match (request.method(), request.uri().path()) {
        (&Method::GET | &Method::HEAD, READY_PATH) if state.is_ready() => StatusCode::OK,
        (&Method::GET | &Method::HEAD, READY_PATH) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut answer = Response::new(Empty::new());
    *answer.status_mut() = status;
    answer
}
