//! An answer that is passed on to the client as it arrives.
//!
//! Above `resume`, which finds another run, and below `body`, which hands the bytes to the HTTP library.

use crate::attempt::{EndpointBody, Outbound};
use crate::event_splitter::EventSplitter;
use crate::fault::RouterFault;
use crate::headers::is_event_stream;
use crate::outcome::Outcome;
use crate::request_handle::RequestHandle;
use crate::resume::{self, Resumed};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use lanegate_dispatch::interface::{AttemptEnd, InstanceLoad};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The answer ends here though it is not whole; the client's connection is to be broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer ended early")]
pub struct TruncatedAnswer;

/// What the head of an endpoint's answer tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A stream of events, each of which comes as soon as it is made.
    Events,
    /// Any other success.
    Success,
    /// The endpoint failed.
    Failure,
}

impl AnswerKind {
    /// Reads it from the head.
    pub fn of(head: &Parts) -> Self {
        match head.status.is_success() {
            true if is_event_stream(&head.headers) => AnswerKind::Events,
            true => AnswerKind::Success,
            false => AnswerKind::Failure,
        }
    }
}

/// Passes the bytes of an endpoint on; takes the answer up at another endpoint where the route allows that.
pub struct AnswerStream {
    handle: Rc<RequestHandle>,
    request: Rc<Outbound>,
    attempt: u32,
    load: Option<InstanceLoad>,
    kind: AnswerKind,
    /// Bytes that arrived before the head was passed on.
    first: Option<Bytes>,
    /// Present on streams that may be taken up elsewhere, and on those whose end alone does not show that they
    /// are whole.
    splitter: Option<EventSplitter>,
    source: Source,
}

enum Source {
    Endpoint(EndpointBody),
    Resuming(Pin<Box<dyn Future<Output = Result<Resumed, Outcome>>>>),
    Ended,
}

/// An answer of which the first bytes are there.
pub struct Opened {
    pub handle: Rc<RequestHandle>,
    pub request: Rc<Outbound>,
    pub attempt: u32,
    pub load: Option<InstanceLoad>,
    pub kind: AnswerKind,
    pub first: Bytes,
    pub splitter: Option<EventSplitter>,
    pub body: EndpointBody,
}

impl AnswerStream {
    /// Passes on `opened.first` and what follows.
    pub fn new(opened: Opened) -> Self {
        opened.handle.record_forwarded();
        AnswerStream {
            handle: opened.handle,
            request: opened.request,
            attempt: opened.attempt,
            load: opened.load,
            kind: opened.kind,
            first: Some(opened.first),
            splitter: opened.splitter,
            source: Source::Endpoint(opened.body),
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
                        log::debug!("answer to {:?} broke off: {error}", self.request.attempt_id);
                        if self.begin_resume().is_err() {
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

    /// The endpoint's answer is whole.
    fn finish(&mut self) -> Bytes {
        self.source = Source::Ended;
        let success = self.kind != AnswerKind::Failure;
        self.handle.record_outcome(if success { Outcome::Answered } else { Outcome::AnsweredWithError });
        self.handle.ended(self.attempt, AttemptEnd::Answered { success, load: self.load });
        self.splitter.as_mut().map(EventSplitter::finish).unwrap_or_default()
    }

    /// The endpoint's answer broke off: looks for another run where that is allowed.
    fn begin_resume(&mut self) -> Result<(), TruncatedAnswer> {
        self.source = Source::Ended;
        self.handle.ended(self.attempt, AttemptEnd::BrokenMidway);
        let splitter = self.splitter.as_mut().filter(|_| self.request.resumable).ok_or(TruncatedAnswer)?;
        splitter.begin_resumed_run();
        let last = splitter.last_id().ok_or(TruncatedAnswer)?;
        let last = HeaderValue::from_bytes(last).map_err(|_| TruncatedAnswer)?;
        self.source =
            Source::Resuming(Box::pin(resume::resume(self.handle.clone(), self.request.clone(), last)));
        Ok(())
    }

    fn continue_with(&mut self, resumed: Resumed) {
        self.handle.state().counters.resumed.increment();
        self.attempt = resumed.attempt;
        self.load = resumed.load;
        self.source = Source::Endpoint(resumed.body);
    }

    /// Ends the answer so that it does not look whole.
    fn truncate(&mut self, outcome: Outcome) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        self.source = Source::Ended;
        self.handle.record_outcome(outcome);
        if self.handle.state().has_fault(RouterFault::EndCut) {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Err(TruncatedAnswer)))
    }
}

fn is_inside_event(splitter: &Option<EventSplitter>) -> bool {
    splitter.as_ref().is_some_and(EventSplitter::is_inside_event)
}
