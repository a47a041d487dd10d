//! Answers one request: a probe of readiness, or a message that is read whole and offered to the courier.

use super::Intake;
use super::connection::{Connection, Stage};
use super::guards::{BodyReservation, PendingSubmission};
use super::limits::{MAX_BODY, MAX_DRAINED_BODY, UNREAD_GRACE};
use super::message::ReadMessage;
use super::response::{closing, plain, respond};
use super::submission::{Answer, Reply, Submission};
use crate::node::input::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// How long the courier may take to accept a submission; well under the clients' own timeout.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);

const TOO_LARGE: &str = "over 64 KiB\n";

impl Intake {
    /// Answers a request; where clients are to go elsewhere, the connection closes behind the answer.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Response<Full<Bytes>> {
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => {
                match self.intake_state.ready.get() && !self.intake_state.sends_away() {
                    true => plain(StatusCode::OK, "ready\n"),
                    false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                }
            }
            (&Method::POST, _) => self.take(request, connection).await,
            _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if self.intake_state.sends_away() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// Takes a message in.
    async fn take(&self, request: Request<Incoming>, connection: &Connection) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let length = match declared_length(&body, connection) {
            Ok(length) => length,
            Err((status, why)) => return closing(status, why),
        };
        // Many large bodies at once must not take the memory: together they have a fixed room.
        let kept = if length > MAX_BODY as u64 { 0 } else { length as usize };
        let Some(_reservation) = BodyReservation::take(&self.intake_state, kept, self.bodies) else {
            return respond(Reply::Unavailable);
        };
        // Read even if the head is at fault, so that the connection can go on.
        let body = match receive(body, connection).await {
            Ok(body) => body,
            Err(fault) => return fault.response(),
        };
        // Once more: what is behind the body may have come with it.
        if let Some((status, why)) = connection.framing.borrow().fault(Some(length)) {
            return closing(status, why);
        }
        let at = Instant::now();
        match self.read_message(parts.uri.path(), &parts.headers, body) {
            Ok(message) => self.submit(message, at, connection).await,
            Err(why) => plain(StatusCode::BAD_REQUEST, why),
        }
    }

    /// Offers a message, which was whole at `at`, to the courier and waits for its reply.
    async fn submit(
        &self,
        message: ReadMessage,
        at: Instant,
        connection: &Connection,
    ) -> Response<Full<Bytes>> {
        connection.enter(Stage::Received);
        // While a successor is being let in; most often it is there that this is read again.
        self.intake_state.until_released().await;
        connection.enter(Stage::Submitted);
        let _pending = PendingSubmission::new(&self.intake_state);
        let (reply, answered) = Answer::new();
        let ReadMessage { submitted, class, tenant, time_left } = message;
        let submission = Submission { submitted: Rc::new(submitted), class, tenant, time_left, at, reply };
        let reply = match timeout(OFFER_TIMEOUT, self.inputs.send(Input::Submitted(submission))).await {
            Ok(Ok(())) => answered.await.unwrap_or(Reply::Unavailable),
            _ => Reply::Unavailable,
        };
        respond(reply)
    }
}

/// The length that a request's head gives for its body. An error costs its connection.
fn declared_length(body: &Incoming, connection: &Connection) -> Result<u64, (StatusCode, &'static str)> {
    let length = body.size_hint().exact();
    if let Some(fault) = connection.framing.borrow().fault(length) {
        return Err(fault);
    }
    let length = length.unwrap_or_default();
    if length > MAX_DRAINED_BODY as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE));
    }
    Ok(length)
}

/// Why there is no body.
enum BodyFault {
    TooLarge,
    Broken,
    Late,
}

impl BodyFault {
    fn response(&self) -> Response<Full<Bytes>> {
        match self {
            BodyFault::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE),
            BodyFault::Broken => closing(StatusCode::BAD_REQUEST, "the body broke off\n"),
            BodyFault::Late => closing(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        }
    }
}

/// Reads a body within the request's time; bytes that wait unread then are read for a short while yet.
async fn receive(body: Incoming, connection: &Connection) -> Result<Bytes, BodyFault> {
    let mut body = pin!(read(body));
    let mut come = timeout_at(connection.request_due(), &mut body).await;
    if come.is_err() && !connection.nothing_unread() {
        come = timeout(UNREAD_GRACE, &mut body).await;
    }
    come.unwrap_or(Err(BodyFault::Late))
}

async fn read(mut body: Incoming) -> Result<Bytes, BodyFault> {
    let (mut kept, mut seen) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyFault::Broken)?.into_data() else { continue };
        seen += data.len();
        if seen > MAX_DRAINED_BODY {
            break;
        }
        if seen <= MAX_BODY {
            kept.extend_from_slice(&data);
        } else {
            kept = Vec::new();
        }
    }
    if seen > MAX_BODY { Err(BodyFault::TooLarge) } else { Ok(kept.into()) }
}
