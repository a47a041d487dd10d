//! One attempt: sends the request and reads the answer for as long as a client would.

use super::pool::Connection;
use super::request::Wish;
use crate::answer::{EventReader, plain_body};
use crate::journal::{Answer, AttemptEnd};
use crate::names::AttemptId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time after its deadline for which a client still waits, so that a busy machine is not taken for a router
/// that has forgotten a request.
pub const OVERDUE_SLACK: Duration = Duration::from_millis(1_500);
/// Silence in a stream after which a client leaves.
const SILENCE: Duration = Duration::from_secs(4);

/// What became of an attempt.
pub struct Outcome {
    pub end: AttemptEnd,
    /// When the router wants the client to come back.
    pub retry_after: Option<Duration>,
    /// Whether the connection can take another request.
    pub can_be_kept: bool,
}

impl Outcome {
    /// An attempt that ended without an answer.
    pub fn without_answer(end: AttemptEnd) -> Self {
        Outcome { end, retry_after: None, can_be_kept: false }
    }
}

/// Makes an attempt on a connection.
pub async fn exchange(
    connection: &mut Connection,
    wish: &Wish,
    attempt: AttemptId,
    left: Duration,
) -> Outcome {
    let until = Instant::now() + left + OVERDUE_SLACK;
    let Ok(request) = wish.request(attempt, left) else {
        return Outcome::without_answer(AttemptEnd::NotSent);
    };
    let head = timeout_at(until, connection.sender.try_send_request(request)).await;
    let response = match head {
        Err(_) => return Outcome::without_answer(AttemptEnd::Overdue { events: 0 }),
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            let end = if is_unsent { AttemptEnd::NotSent } else { AttemptEnd::Cut { events: 0 } };
            return Outcome::without_answer(end);
        }
        Ok(Ok(response)) => response,
    };
    read(response, wish, attempt, until).await
}

async fn read(response: Response<Incoming>, wish: &Wish, attempt: AttemptId, until: Instant) -> Outcome {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let is_stream = wish.route.is_stream() && head.status.is_success();
    let mut reader = BodyReader { is_stream, ..BodyReader::default() };
    if let Err(end) = reader.read(body, attempt, until).await {
        return Outcome::without_answer(end);
    }
    let signature = text(&head.headers, "server-signature").map(str::to_owned);
    let body_matches = reader.matches(attempt, signature.as_deref(), head.status.is_success());
    let answer = Answer {
        status,
        attempt: text(&head.headers, "attempt-id").and_then(|id| id.parse().ok()),
        signature,
        body_matches,
        event_ids: reader.events.ids,
    };
    let seconds = text(&head.headers, "retry-after").and_then(|seconds| seconds.parse().ok());
    let closes = head.headers.get(CONNECTION).is_some_and(|value| value.as_bytes() == b"close");
    Outcome {
        end: AttemptEnd::Answered(answer),
        retry_after: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        can_be_kept: !closes,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The bytes of an answer, as they come.
#[derive(Default)]
struct BodyReader {
    is_stream: bool,
    events: EventReader,
    plain: Vec<u8>,
}

impl BodyReader {
    async fn read(
        &mut self,
        mut body: Incoming,
        attempt: AttemptId,
        until: Instant,
    ) -> Result<(), AttemptEnd> {
        loop {
            let silent_at = Instant::now() + SILENCE;
            let limit = if self.is_stream { silent_at.min(until) } else { until };
            let frame = timeout_at(limit, body.frame()).await;
            let events = self.events.ids.len() as u32;
            match frame {
                Err(_) if limit < until => return Err(AttemptEnd::Silent { events }),
                Err(_) => return Err(AttemptEnd::Overdue { events }),
                Ok(None) => return Ok(()),
                Ok(Some(Err(_))) => return Err(AttemptEnd::Cut { events }),
                Ok(Some(Ok(frame))) => self.take(frame.into_data().unwrap_or_default(), attempt),
            }
        }
    }

    fn take(&mut self, data: Bytes, attempt: AttemptId) {
        if self.is_stream {
            self.events.push(attempt, &data);
        } else {
            self.plain.extend_from_slice(&data);
        }
    }

    /// Whether this is the body of the endpoint that signed; a router's own failure has none to compare.
    fn matches(&self, attempt: AttemptId, signature: Option<&str>, is_success: bool) -> bool {
        match (self.is_stream, signature) {
            (true, _) => !self.events.is_foreign && !self.events.is_inside_event(),
            (false, Some(signature)) if is_success => self.plain == plain_body(attempt, signature).as_bytes(),
            (false, _) => !is_success,
        }
    }
}
