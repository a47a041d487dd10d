//! Replies that the router generates itself: refusals and failures. In the layering of `request::forward`, this is above `body`
//! and below `forward` and `frontend`.

use crate::client::body::RouterBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A reply that does not come from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalReply {
    /// 503 with `Retry-After`: the request did not run, and the router will not send it any more.
    Refusal {
        /// When the client should retry.
        retry_after: Duration,
    },
    /// An error status: the request cannot be served, or it may have run.
    Failure(StatusCode),
    /// An error status after which the connection is closed, because the rest of the request is not read.
    FailureAndClose(StatusCode),
}

impl From<LocalReply> for Response<RouterBody> {
    fn from(answer: LocalReply) -> Self {
        match answer {
            LocalReply::Refusal { retry_after } => refusal(retry_after),
            LocalReply::Failure(status) => empty(status),
            LocalReply::FailureAndClose(status) => closing(status),
        }
    }
}

fn empty(status: StatusCode) -> Response<RouterBody> {
    let mut answer = Response::new(RouterBody::complete(Bytes::new()));
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
