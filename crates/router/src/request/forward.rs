//! Executes the decisions of the dispatcher for one request, up to the head of its answer.
//!
//! The highest of the layers `attempt` < `resume` < `stream` < `body` < `local_reply` < `forward`. A layer uses only layers to
//! its left.

use crate::client::body::RouterBody;
use crate::client::local_reply::LocalReply;
use crate::endpoint::answer::{EndpointAnswer, EndpointBody};
use crate::endpoint::attempt;
use crate::endpoint::outbound::{Destination, Outbound};
use crate::headers::remove_hop_by_hop;
use crate::request::event_splitter::EventSplitter;
use crate::request::handle::RequestHandle;
use crate::request::mailbox::Instruction;
use crate::request::outcome::Outcome;
use crate::request::stream::{AnswerKind, AnswerStream, StreamStart};
use bytes::{Bytes, BytesMut};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use lanegate_dispatch::interface::{AttemptEnd, Decision, FailReason, Progress};
use lanegate_invariants::Invariant;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Largest answer that is buffered before any of it is forwarded, bytes. While nothing has been forwarded, another attempt
/// can replace a broken one.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// `Retry-After` of a request that is refused because no endpoint executed it.
const UNSENT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `Retry-After` during shutdown.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Executes the decisions of the dispatcher until there is an answer for the client.
pub async fn forward(handle: Rc<RequestHandle>, request: Rc<Outbound>) -> Response<RouterBody> {
    let mut may_have_run = false;
    let mut instruction = handle.next().await;
    loop {
        let destination = match next_destination(&handle, &request, instruction, may_have_run) {
            Ok(destination) => destination,
            Err(answer) => return answer.into(),
        };
        let sent = Cell::new(false);
        instruction = match attempt_once(&handle, &request, &destination, &sent).await {
            AttemptResult::Answer(answer) => return answer,
            AttemptResult::Ended(end) => {
                may_have_run |= !proves_not_executed(end);
                handle.ended(destination.attempt, end);
                handle.next().await
            }
            AttemptResult::Superseded(instruction) => {
                may_have_run |= sent.get();
                instruction
            }
        };
    }
}

/// Whether the end of an attempt proves that the request did not run.
fn proves_not_executed(end: AttemptEnd) -> bool {
    matches!(end, AttemptEnd::NotExecuted { .. } | AttemptEnd::NotSent)
}

/// Where to send the request next, or the reply that ends it.
fn next_destination(
    handle: &RequestHandle,
    request: &Outbound,
    instruction: Instruction,
    may_have_run: bool,
) -> Result<Destination, LocalReply> {
    let refuse = |retry_after, unsent: Outcome, sent: Outcome| {
        if !may_have_run {
            handle.record_outcome(unsent);
            LocalReply::Refusal { retry_after }
        } else {
            handle.record_outcome(sent);
            LocalReply::Failure(StatusCode::BAD_GATEWAY)
        }
    };
    match instruction {
        Instruction::Shutdown => {
            Err(refuse(SHUTDOWN_RETRY_AFTER, Outcome::RefusedShutdown, Outcome::FailedShutdown))
        }
        Instruction::Decided(Decision::Refuse { retry_after, .. }) => {
            Err(refuse(retry_after, Outcome::RefusedNoCapacity, Outcome::FailedMayHaveRun))
        }
        Instruction::Decided(Decision::Fail { reason, .. }) if !may_have_run => {
            Err(refuse(UNSENT_RETRY_AFTER, Outcome::RefusedNotSent, outcome_of(reason)))
        }
        Instruction::Decided(Decision::Fail { reason, .. }) => {
            handle.record_outcome(outcome_of(reason));
            Err(LocalReply::Failure(status_of(reason)))
        }
        Instruction::Decided(decision @ Decision::Send { .. }) => match Destination::of(decision) {
            Some(destination) if request.retryable || !may_have_run => Ok(destination),
            _ => {
                log::error!(
                    "non-idempotent request may have run; not sent again attempt_id={:?}",
                    request.attempt_id
                );
                handle.state().violations.record(Invariant::NonIdempotentSentOnce);
                Err(refuse(UNSENT_RETRY_AFTER, Outcome::RefusedNotSent, Outcome::FailedMayHaveRun))
            }
        },
    }
}

fn outcome_of(reason: FailReason) -> Outcome {
    match reason {
        FailReason::Deadline => Outcome::FailedDeadline,
        FailReason::MayHaveRun => Outcome::FailedMayHaveRun,
        FailReason::Attempts => Outcome::FailedAttempts,
    }
}

fn status_of(reason: FailReason) -> StatusCode {
    match reason {
        FailReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        FailReason::MayHaveRun | FailReason::Attempts => StatusCode::BAD_GATEWAY,
    }
}

enum AttemptResult {
    Answer(Response<RouterBody>),
    Ended(AttemptEnd),
    /// A new instruction arrived before the attempt ended, so the attempt is cancelled.
    Superseded(Instruction),
}

async fn attempt_once(
    handle: &Rc<RequestHandle>,
    request: &Rc<Outbound>,
    destination: &Destination,
    sent: &Cell<bool>,
) -> AttemptResult {
    let mut opening = pin!(open(handle, request, destination, sent));
    let result = poll_fn(|cx| match opening.as_mut().poll(cx) {
        Poll::Ready(result) => Poll::Ready(Ok(result)),
        Poll::Pending => handle.poll_next(cx).map(Err),
    });
    match result.await {
        Ok(Ok(answer)) => AttemptResult::Answer(answer),
        Ok(Err(end)) => AttemptResult::Ended(end),
        Err(instruction) => AttemptResult::Superseded(instruction),
    }
}

/// Sends the request and waits until the answer can be forwarded. A small answer is buffered completely; of a stream or a
/// large answer, the first bytes are enough.
async fn open(
    handle: &Rc<RequestHandle>,
    request: &Rc<Outbound>,
    destination: &Destination,
    sent: &Cell<bool>,
) -> Result<Response<RouterBody>, AttemptEnd> {
    let answer = attempt::send(handle.state(), request, destination, None, sent).await?;
    handle.progress(destination.attempt, Progress::Head { load: answer.load });
    if AnswerKind::of(&answer.head) == AnswerKind::Events || !is_buffered(&answer.body) {
        begin_stream(handle, request, destination, answer).await
    } else {
        buffer_answer(handle, request, destination, answer).await
    }
}

/// Whether the answer is to be buffered before any of it is forwarded. A body that ends with its connection has an unknown
/// length and is streamed after all once it exceeds [`MAX_BUFFERED_BYTES`].
fn is_buffered(body: &EndpointBody) -> bool {
    match body.exact_length() {
        Some(length) => length <= MAX_BUFFERED_BYTES,
        None => body.ends_with_connection(),
    }
}

async fn buffer_answer(
    handle: &Rc<RequestHandle>,
    request: &Rc<Outbound>,
    destination: &Destination,
    mut answer: EndpointAnswer,
) -> Result<Response<RouterBody>, AttemptEnd> {
    let first = answer.body.next().await.transpose().map_err(|_| AttemptEnd::Broken)?.unwrap_or_default();
    handle.progress(destination.attempt, Progress::FirstByte);
    match read_rest(first, &mut answer.body).await.map_err(|_| AttemptEnd::Broken)? {
        Buffered::Complete(body) => Ok(complete_answer(handle, destination, answer, body)),
        Buffered::Prefix(first) => Ok(streaming_answer(handle, request, destination, answer, first, None)),
    }
}

/// What was buffered of a body before any of it is forwarded.
enum Buffered {
    Complete(Bytes),
    /// The beginning of a body that is too long to be buffered.
    Prefix(Bytes),
}

/// Buffers the rest of a body of which `first` has already been read.
async fn read_rest(first: Bytes, body: &mut EndpointBody) -> hyper::Result<Buffered> {
    let mut buffered = BytesMut::new();
    while let Some(more) = body.next().await.transpose()? {
        if buffered.is_empty() {
            buffered.extend_from_slice(&first);
        }
        buffered.extend_from_slice(&more);
        if buffered.len() as u64 > MAX_BUFFERED_BYTES {
            return Ok(Buffered::Prefix(buffered.freeze()));
        }
    }
    Ok(Buffered::Complete(if buffered.is_empty() { first } else { buffered.freeze() }))
}

async fn begin_stream(
    handle: &Rc<RequestHandle>,
    request: &Rc<Outbound>,
    destination: &Destination,
    mut answer: EndpointAnswer,
) -> Result<Response<RouterBody>, AttemptEnd> {
    let is_split = AnswerKind::of(&answer.head) == AnswerKind::Events
        && (request.resumable || answer.body.ends_with_connection());
    let mut splitter = is_split.then(EventSplitter::default);
    let mut reported = false;
    let first = loop {
        let Some(data) = answer.body.next().await.transpose().map_err(|_| AttemptEnd::Broken)? else {
            let rest = splitter.as_mut().map(EventSplitter::finish).unwrap_or_default();
            if answer.body.ends_with_connection() && !rest.is_empty() {
                return Err(AttemptEnd::Broken);
            }
            return Ok(complete_answer(handle, destination, answer, rest));
        };
        if !std::mem::replace(&mut reported, true) {
            handle.progress(destination.attempt, Progress::FirstByte);
        }
        let forwarded = match &mut splitter {
            Some(splitter) => splitter.push(data),
            None => data,
        };
        if !forwarded.is_empty() {
            break forwarded;
        }
    };
    Ok(streaming_answer(handle, request, destination, answer, first, splitter))
}

/// An answer to the client whose body begins with `first` and continues as the endpoint sends it.
fn streaming_answer(
    handle: &Rc<RequestHandle>,
    request: &Rc<Outbound>,
    destination: &Destination,
    answer: EndpointAnswer,
    first: Bytes,
    splitter: Option<EventSplitter>,
) -> Response<RouterBody> {
    let start = StreamStart {
        handle: handle.clone(),
        request: request.clone(),
        attempt: destination.attempt,
        load: answer.load,
        kind: AnswerKind::of(&answer.head),
        first,
        splitter,
        body: answer.body,
    };
    compose(answer.head, RouterBody::stream(AnswerStream::new(start)))
}

/// An answer to the client with the complete body of the endpoint's answer.
fn complete_answer(
    handle: &RequestHandle,
    destination: &Destination,
    answer: EndpointAnswer,
    body: Bytes,
) -> Response<RouterBody> {
    let success = answer.head.status.is_success();
    handle.record_outcome(if success { Outcome::Answered } else { Outcome::AnsweredWithError });
    handle.ended(destination.attempt, AttemptEnd::Answered { success, load: answer.load });
    compose(answer.head, RouterBody::complete(body))
}

fn compose(mut head: Parts, body: RouterBody) -> Response<RouterBody> {
    remove_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    Response::from_parts(head, body)
}
