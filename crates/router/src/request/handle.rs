//! The handle through which a request task communicates with the dispatcher.

use crate::request::mailbox::Instruction;
use crate::request::open_request::OpenRequest;
use crate::request::outcome::Outcome;
use crate::state::RouterState;
use hyper::header::HeaderValue;
use lanegate_dispatch::interface::{AttemptEnd, Decision, Progress, Request, RequestId};
use lanegate_invariants::Invariant;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The handle of one request. Dropping it before the request has ended cancels the request at the dispatcher.
pub struct RequestHandle {
    state: Rc<RouterState>,
    id: RequestId,
    open: Rc<OpenRequest>,
    /// Whether the dispatcher considers the request ended, so that it need not be cancelled.
    has_ended: Cell<bool>,
    /// The outcome, once there is one.
    outcome: Cell<Option<Outcome>>,
}

impl RequestHandle {
    /// Submits a request to the dispatcher, with the `Attempt-Id` of the client.
    pub fn open(state: Rc<RouterState>, request: Request, attempt_id: Option<HeaderValue>) -> Self {
        let id = request.id;
        let open = Rc::new(OpenRequest::new(&request, attempt_id));
        state.requests.insert(id, open.clone());
        state.with_dispatcher(|dispatcher, now| dispatcher.submit(now, request));
        RequestHandle { state, id, open, has_ended: Cell::new(false), outcome: Cell::new(None) }
    }

    /// The state of the router.
    pub fn state(&self) -> &Rc<RouterState> {
        &self.state
    }

    /// Records and counts the outcome.
    pub fn record_outcome(&self, outcome: Outcome) {
        if self.state.violations.check(Invariant::OneOutcome, self.outcome.get().is_none()) {
            self.outcome.set(Some(outcome));
            self.state.counters.outcomes.count(outcome);
        }
    }

    /// Records that bytes of the answer are being forwarded to the client.
    pub fn record_forwarded(&self) {
        self.open.record_forwarded(self.state.now());
    }

    /// Reports the progress of an attempt.
    pub fn progress(&self, attempt: u32, progress: Progress) {
        self.state.with_dispatcher(|dispatcher, now| dispatcher.progress(now, self.id, attempt, progress));
    }

    /// Reports the end of an attempt.
    pub fn ended(&self, attempt: u32, end: AttemptEnd) {
        if matches!(end, AttemptEnd::Answered { .. }) {
            self.has_ended.set(true);
            self.open.record_completed();
        }
        self.state.with_dispatcher(|dispatcher, now| dispatcher.ended(now, self.id, attempt, end));
    }

    /// The next instruction; the task is woken when there is one.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Instruction> {
        let next = self.open.mailbox.poll_next(cx);
        if let Poll::Ready(Instruction::Decided(Decision::Refuse { .. } | Decision::Fail { .. })) = next {
            self.has_ended.set(true);
        }
        next
    }

    /// Waits for the next instruction.
    pub async fn next(&self) -> Instruction {
        poll_fn(|cx| self.poll_next(cx)).await
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.state.requests.remove(self.id);
        if !self.has_ended.get() {
            self.state.with_dispatcher(|dispatcher, now| dispatcher.cancel(now, self.id));
        }
        if self.outcome.get().is_none() {
            self.record_outcome(Outcome::ClientDisconnected);
        }
    }
}
