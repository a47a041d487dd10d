//! Answers to clients as HTTP responses.

use super::submission::Reply;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// When to come again, where the module has not said it.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An answer with a text.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

/// An answer after which the connection is of no more use.
pub(super) fn closing(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer that tells when to come again.
fn retry_later(status: StatusCode, text: &'static str, wait: Option<Duration>) -> Response<Full<Bytes>> {
    let mut answer = plain(status, text);
    let wait = format!("{:.3}", wait.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&wait) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// The courier's reply to a submission.
pub(super) fn respond(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Taken => plain(StatusCode::ACCEPTED, ""),
        Reply::Refused { wait } => retry_later(StatusCode::TOO_MANY_REQUESTS, "refused\n", wait),
        Reply::Unavailable => retry_later(StatusCode::SERVICE_UNAVAILABLE, "not now\n", None),
        Reply::NoDestination => plain(StatusCode::NOT_FOUND, "no such destination\n"),
        Reply::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}
