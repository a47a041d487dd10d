//! Answers of the router's own: refusals and failures. Above `body`, below `carry` and `frontend`.

use crate::body::RouterBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// An answer that no endpoint gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnAnswer {
    /// The request has not run and never will; says when to come back.
    Refusal { retry_after: Duration },
    /// The request cannot be served, or may have run.
    Failure(StatusCode),
    /// The same, and the connection is closed: the rest of the request stays unread.
    Closing(StatusCode),
}

impl From<OwnAnswer> for Response<RouterBody> {
    fn from(answer: OwnAnswer) -> Self {
        match answer {
            OwnAnswer::Refusal { retry_after } => refusal(retry_after),
            OwnAnswer::Failure(status) => empty(status),
            OwnAnswer::Closing(status) => closing(status),
        }
    }
}

fn empty(status: StatusCode) -> Response<RouterBody> {
    let mut answer = Response::new(RouterBody::whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

fn closing(status: StatusCode) -> Response<RouterBody> {
    let mut answer = empty(status);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn refusal(retry_after: Duration) -> Response<RouterBody> {
    let mut answer = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
