//! Resumes a broken stream at another endpoint, within the same answer to the client.
//!
//! In the layering, this is above `attempt`, which sends requests, and below `stream`, which forwards the bytes.

use crate::endpoint::answer::{EndpointAnswer, EndpointBody};
use crate::endpoint::attempt;
use crate::endpoint::outbound::{Destination, Outbound};
use crate::headers::is_event_stream;
use crate::request::handle::RequestHandle;
use crate::request::mailbox::Instruction;
use crate::request::outcome::Outcome;
use hyper::header::HeaderValue;
use lanegate_dispatch::interface::{AttemptEnd, Decision, FailReason, InstanceLoad, Progress};
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

/// An attempt that continues after the last forwarded event.
pub struct Resumed {
    /// Number of the attempt.
    pub attempt: u32,
    /// The load that the endpoint reported.
    pub load: Option<InstanceLoad>,
    /// The rest of the stream.
    pub body: EndpointBody,
}

/// Executes the decisions of the dispatcher until another attempt has begun to answer.
///
/// # Errors
///
/// The outcome of the request, if its answer ends without another attempt.
pub async fn resume(
    handle: Rc<RequestHandle>,
    request: Rc<Outbound>,
    last_event: HeaderValue,
) -> Result<Resumed, Outcome> {
    let mut instruction = handle.next().await;
    loop {
        let outcome = truncation_outcome(&instruction);
        let Instruction::Decided(decision) = instruction else { return Err(outcome) };
        let destination = Destination::of(decision).ok_or(outcome)?;
        instruction = match send(&handle, &request, &destination, &last_event).await {
            ResumeResult::Resumed(resumed) => return Ok(resumed),
            ResumeResult::Ended(end) => {
                handle.ended(destination.attempt, end);
                handle.next().await
            }
            ResumeResult::Superseded(instruction) => instruction,
        };
    }
}

/// The outcome of a request whose answer has begun and is truncated by this instruction.
pub fn truncation_outcome(instruction: &Instruction) -> Outcome {
    match instruction {
        Instruction::Shutdown => Outcome::TruncatedShutdown,
        Instruction::Decided(Decision::Fail { reason: FailReason::Deadline, .. }) => {
            Outcome::TruncatedDeadline
        }
        Instruction::Decided(_) => Outcome::TruncatedEndpoint,
    }
}

enum ResumeResult {
    Resumed(Resumed),
    Ended(AttemptEnd),
    Superseded(Instruction),
}

async fn send(
    handle: &RequestHandle,
    request: &Outbound,
    destination: &Destination,
    last_event: &HeaderValue,
) -> ResumeResult {
    let sent = Cell::new(false);
    let last_event = Some(last_event.clone());
    let mut attempt = pin!(attempt::send(handle.state(), request, destination, last_event, &sent));
    let result = poll_fn(|cx| match attempt.as_mut().poll(cx) {
        Poll::Ready(result) => Poll::Ready(Ok(result)),
        Poll::Pending => handle.poll_next(cx).map(Err),
    });
    match result.await {
        Ok(Ok(answer)) => accept_resumed(handle, destination, answer),
        Ok(Err(end)) => ResumeResult::Ended(end),
        Err(instruction) => ResumeResult::Superseded(instruction),
    }
}

fn accept_resumed(handle: &RequestHandle, destination: &Destination, answer: EndpointAnswer) -> ResumeResult {
    if !answer.head.status.is_success() || !is_event_stream(&answer.head.headers) {
        return ResumeResult::Ended(AttemptEnd::Broken);
    }
    handle.progress(destination.attempt, Progress::Head { load: answer.load });
    ResumeResult::Resumed(Resumed { attempt: destination.attempt, load: answer.load, body: answer.body })
}
