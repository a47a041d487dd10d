//! An open request: its mailbox, and the state that is logged if shutdown aborts it.

use crate::request::mailbox::Mailbox;
use hyper::header::HeaderValue;
use lanegate_dispatch::interface::{Decision, Request};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// An open request. Times are on the monotonic clock of the process.
#[derive(Debug)]
pub struct OpenRequest {
    /// The mailbox of its task.
    pub mailbox: Mailbox,
    attempt_id: Option<HeaderValue>,
    route: Arc<str>,
    arrived: Duration,
    endpoint: RefCell<Option<Arc<str>>>,
    answer: Cell<AnswerState>,
    last_forwarded: Cell<Option<Duration>>,
}

/// Progress of the answer to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerState {
    /// Nothing was forwarded.
    NotStarted,
    /// Some of it was forwarded.
    Started,
    /// All of it was forwarded; the client has not read all of it.
    Complete,
}

impl OpenRequest {
    /// A request that is submitted to the dispatcher, with the `Attempt-Id` of the client.
    pub fn new(request: &Request, attempt_id: Option<HeaderValue>) -> Self {
        OpenRequest {
            mailbox: Mailbox::default(),
            attempt_id,
            route: request.route.clone(),
            arrived: request.arrived,
            endpoint: RefCell::new(None),
            answer: Cell::new(AnswerState::NotStarted),
            last_forwarded: Cell::new(None),
        }
    }

    /// Delivers a decision of the dispatcher.
    pub fn on_decision(&self, decision: Decision) {
        if let Decision::Send { instance, .. } = &decision {
            *self.endpoint.borrow_mut() = Some(instance.clone());
        }
        self.mailbox.push(decision);
    }

    /// Records that bytes of the answer were forwarded at `now`.
    pub fn record_forwarded(&self, now: Duration) {
        self.answer.set(AnswerState::Started);
        self.last_forwarded.set(Some(now));
    }

    /// Records that the answer of the endpoint is complete.
    pub fn record_completed(&self) {
        self.answer.set(AnswerState::Complete);
    }

    /// Whether some of the answer was forwarded and the rest has not arrived.
    pub fn has_started(&self) -> bool {
        self.answer.get() == AnswerState::Started
    }

    /// When the first byte of the request arrived.
    pub fn arrived(&self) -> Duration {
        self.arrived
    }

    /// The state of the request at `now` for the log line of an aborted request; shutdown began at `shutdown_since`.
    pub fn summary(&self, now: Duration, shutdown_since: Duration) -> OpenRequestSummary<'_> {
        OpenRequestSummary { request: self, now, shutdown_since }
    }
}

/// The state of an open request for the log.
#[derive(Debug)]
pub struct OpenRequestSummary<'a> {
    request: &'a OpenRequest,
    now: Duration,
    shutdown_since: Duration,
}

impl fmt::Display for OpenRequestSummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = self.request;
        let endpoint = request.endpoint.borrow();
        write!(formatter, "attempt_id={}", text(request.attempt_id.as_ref()))?;
        write!(formatter, " route={}", request.route)?;
        write!(formatter, " endpoint={}", endpoint.as_deref().unwrap_or("none"))?;
        write!(formatter, " age_ms={}", self.milliseconds_since(request.arrived))?;
        write!(formatter, " since_sigterm_ms={}", self.milliseconds_since(self.shutdown_since))?;
        write!(formatter, " sent_before_sigterm={}", request.arrived <= self.shutdown_since)?;
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
            AnswerState::NotStarted => "not_begun",
            AnswerState::Started => "begun",
            AnswerState::Complete => "complete",
        })
    }
}

fn text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or("none")
}
