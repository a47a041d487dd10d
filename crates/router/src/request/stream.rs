//! An answer that is forwarded to the client as it arrives.
//!
//! In the layering, this is above `resume`, which begins another attempt, and below `body`, which passes the bytes to the HTTP
//! library.

use crate::endpoint::answer::EndpointBody;
use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::endpoint::outbound::Outbound;
use crate::fault::RouterFault;
use crate::headers::is_event_stream;
use crate::request::event_splitter::EventSplitter;
use crate::request::handle::RequestHandle;
use crate::request::outcome::Outcome;
use crate::request::resume::{self, Resumed};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use lanegate_dispatch::interface::{AttemptEnd, InstanceLoad};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The answer is incomplete. The HTTP library then aborts the client's connection, so that the answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer ended early")]
pub struct TruncatedAnswer;

/// The kind of an answer, by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream of server-sent events.
    Events,
    /// Any other answer with a status of success.
    Success,
    /// An answer with an error status.
    Failure,
}

impl AnswerKind {
    /// The kind of the answer with this head.
    pub fn of(head: &Parts) -> Self {
        match head.status.is_success() {
            true if is_event_stream(&head.headers) => AnswerKind::Events,
            true => AnswerKind::Success,
            false => AnswerKind::Failure,
        }
    }
}

/// The body of an answer, forwarded from an endpoint. A stream that breaks is resumed at another endpoint if its route allows
/// that.
pub struct AnswerStream {
    handle: Rc<RequestHandle>,
    request: Rc<Outbound>,
    attempt: u32,
    load: Option<InstanceLoad>,
    kind: AnswerKind,
    /// Bytes that arrived before the head was forwarded.
    first: Option<Bytes>,
    /// Present for event streams that may be resumed, and for those that end with their connection: if such a stream ends
    /// inside an event, it is incomplete.
    splitter: Option<EventSplitter>,
    source: Source,
}

enum Source {
    Endpoint(EndpointBody),
    Resuming(Pin<Box<dyn Future<Output = Result<Resumed, Outcome>>>>),
    Ended,
}

/// What an [`AnswerStream`] starts from: an answer whose first bytes have arrived.
pub struct StreamStart {
    /// Handle on the request.
    pub handle: Rc<RequestHandle>,
    /// The request.
    pub request: Rc<Outbound>,
    /// Number of the attempt.
    pub attempt: u32,
    /// The load that the endpoint reported.
    pub load: Option<InstanceLoad>,
    /// Kind of the answer.
    pub kind: AnswerKind,
    /// The first bytes of the body.
    pub first: Bytes,
    /// Splits the stream into events, if it has to be split.
    pub splitter: Option<EventSplitter>,
    /// The rest of the body.
    pub body: EndpointBody,
}

impl AnswerStream {
    /// Forwards `start.first` and the rest of the body.
    pub fn new(start: StreamStart) -> Self {
        start.handle.record_forwarded();
        AnswerStream {
            handle: start.handle,
            request: start.request,
            attempt: start.attempt,
            load: start.load,
            kind: start.kind,
            first: Some(start.first),
            splitter: start.splitter,
            source: Source::Endpoint(start.body),
        }
    }

    /// The next bytes for the client.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            match &mut self.source {
                Source::Endpoint(body) => match body.poll_data(cx) {
                    Poll::Ready(Some(Ok(data))) => {
                        let forwarded = self.split_events(data);
                        if !forwarded.is_empty() {
                            self.handle.record_forwarded();
                            return Poll::Ready(Some(Ok(forwarded)));
                        }
                    }
                    Poll::Ready(None) if body.ends_with_connection() && is_inside_event(&self.splitter) => {
                        if self.begin_resume().is_err() {
                            return self.truncate(Outcome::TruncatedEndpoint);
                        }
                    }
                    Poll::Ready(None) => {
                        let rest = self.finish();
                        return Poll::Ready((!rest.is_empty()).then_some(Ok(rest)));
                    }
                    Poll::Ready(Some(Err(error))) => {
                        log::debug!(
                            "answer of endpoint broke off attempt_id={:?} error={error}",
                            self.request.attempt_id
                        );
                        // What came before may not be the endpoint's events, so they cannot be continued.
                        let is_invalid = InvalidAnswer::in_framing(&error).is_some();
                        if is_invalid {
                            self.end_attempt();
                        }
                        if is_invalid || self.begin_resume().is_err() {
                            return self.truncate(Outcome::TruncatedEndpoint);
                        }
                    }
                    Poll::Pending => {
                        let instruction = ready!(self.handle.poll_next(cx));
                        return self.truncate(resume::truncation_outcome(&instruction));
                    }
                },
                Source::Resuming(resuming) => match ready!(resuming.as_mut().poll(cx)) {
                    Ok(resumed) => self.continue_with(resumed),
                    Err(outcome) => return self.truncate(outcome),
                },
                Source::Ended => return Poll::Ready(None),
            }
        }
    }

    fn split_events(&mut self, data: Bytes) -> Bytes {
        match &mut self.splitter {
            Some(splitter) => splitter.push(data),
            None => data,
        }
    }

    /// Records that the answer of the endpoint is complete; returns the bytes that the splitter still holds.
    fn finish(&mut self) -> Bytes {
        self.source = Source::Ended;
        let success = self.kind != AnswerKind::Failure;
        self.handle.record_outcome(if success { Outcome::Answered } else { Outcome::AnsweredWithError });
        self.handle.ended(self.attempt, AttemptEnd::Answered { success, load: self.load });
        self.splitter.as_mut().map(EventSplitter::finish).unwrap_or_default()
    }

    /// Reports that the answer of the endpoint broke off, and begins to wait for another attempt if the stream can be resumed.
    fn begin_resume(&mut self) -> Result<(), TruncatedAnswer> {
        self.end_attempt();
        let splitter = self.splitter.as_mut().filter(|_| self.request.resumable).ok_or(TruncatedAnswer)?;
        splitter.begin_resumed_stream();
        let last = splitter.last_id().ok_or(TruncatedAnswer)?;
        let last = HeaderValue::from_bytes(last).map_err(|_| TruncatedAnswer)?;
        self.source =
            Source::Resuming(Box::pin(resume::resume(self.handle.clone(), self.request.clone(), last)));
        Ok(())
    }

    /// Records that the answer of the endpoint broke off.
    fn end_attempt(&mut self) {
        self.source = Source::Ended;
        self.handle.ended(self.attempt, AttemptEnd::BrokenMidway);
    }

    fn continue_with(&mut self, resumed: Resumed) {
        self.handle.state().counters.resumed.increment();
        self.attempt = resumed.attempt;
        self.load = resumed.load;
        self.source = Source::Endpoint(resumed.body);
    }

    /// Ends the answer with an error, so that it does not look complete to the client.
    fn truncate(&mut self, outcome: Outcome) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        self.source = Source::Ended;
        self.handle.record_outcome(outcome);
        if self.handle.state().has_fault(RouterFault::HideTruncation) {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(TruncatedAnswer)))
    }
}

fn is_inside_event(splitter: &Option<EventSplitter>) -> bool {
    splitter.as_ref().is_some_and(EventSplitter::is_inside_event)
}
