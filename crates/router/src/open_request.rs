//! A request that has no end yet: its decisions and what the log tells of it when the process ends first.

use crate::mailbox::Mailbox;
use hyper::header::HeaderValue;
use lanegate_dispatch::interface::{Decision, Request};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// One open request. Times are on the process's steady clock.
#[derive(Debug)]
pub struct OpenRequest {
    pub mailbox: Mailbox,
    attempt_id: Option<HeaderValue>,
    route: Arc<str>,
    arrived: Duration,
    endpoint: RefCell<Option<Arc<str>>>,
    answer: Cell<AnswerState>,
    last_forwarded: Cell<Option<Duration>>,
}

/// How far the answer to a client has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// The client has got nothing.
    NotBegun,
    /// The head was passed on.
    Begun,
    /// All of it was passed on; the client has not taken all of it.
    Complete,
}

impl OpenRequest {
    /// A request that goes to the dispatcher; `attempt_id` is as the client sent it.
    pub fn new(request: &Request, attempt_id: Option<HeaderValue>) -> Self {
        OpenRequest {
            mailbox: Mailbox::default(),
            attempt_id,
            route: request.route.clone(),
            arrived: request.arrived,
            endpoint: RefCell::new(None),
            answer: Cell::new(AnswerState::NotBegun),
            last_forwarded: Cell::new(None),
        }
    }

    /// Hands a decision of the dispatcher over.
    pub fn on_decision(&self, decision: Decision) {
        if let Decision::Send { instance, .. } = &decision {
            *self.endpoint.borrow_mut() = Some(instance.clone());
        }
        self.mailbox.push(decision);
    }

    /// Notes that bytes of the answer were passed on at `now`.
    pub fn record_forwarded(&self, now: Duration) {
        self.answer.set(AnswerState::Begun);
        self.last_forwarded.set(Some(now));
    }

    /// Notes that the endpoint's answer is whole.
    pub fn record_completed(&self) {
        self.answer.set(AnswerState::Complete);
    }

    /// Whether the client has got some of the answer, and not all of it is there.
    pub fn has_begun(&self) -> bool {
        self.answer.get() == AnswerState::Begun
    }

    /// When the first byte of the request arrived.
    pub fn arrived(&self) -> Duration {
        self.arrived
    }

    /// What the log tells of the request at `now`; the process was asked to end at `ending_since`.
    pub fn summary(&self, now: Duration, ending_since: Duration) -> OpenRequestSummary<'_> {
        OpenRequestSummary { request: self, now, ending_since }
    }
}

/// One line of the log on an open request.
#[derive(Debug)]
pub struct OpenRequestSummary<'a> {
    request: &'a OpenRequest,
    now: Duration,
    ending_since: Duration,
}

impl fmt::Display for OpenRequestSummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = self.request;
        let endpoint = request.endpoint.borrow();
        write!(formatter, "attempt_id={}", text(request.attempt_id.as_ref()))?;
        write!(formatter, " route={}", request.route)?;
        write!(formatter, " endpoint={}", endpoint.as_deref().unwrap_or("none"))?;
        write!(formatter, " age_ms={}", self.milliseconds_since(request.arrived))?;
        write!(formatter, " since_sigterm_ms={}", self.milliseconds_since(self.ending_since))?;
        write!(formatter, " sent_before_sigterm={}", request.arrived <= self.ending_since)?;
        write!(formatter, " answer={}", request.answer.get())?;
        match request.last_forwarded.get() {
            Some(passed) => write!(formatter, " last_event_ms_ago={}", self.milliseconds_since(passed)),
            None => write!(formatter, " last_event_ms_ago=none"),
        }
    }
}

impl OpenRequestSummary<'_> {
    fn milliseconds_since(&self, time: Duration) -> u128 {
        self.now.saturating_sub(time).as_millis()
    }
}

impl fmt::Display for AnswerState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            AnswerState::NotBegun => "not_begun",
            AnswerState::Begun => "begun",
            AnswerState::Complete => "whole",
        })
    }
}

fn text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or("none")
}
