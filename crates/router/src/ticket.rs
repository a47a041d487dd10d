//! A request that the dispatcher knows, for as long as its task cares.

use crate::mailbox::{Instruction, Mailbox};
use crate::state::RouterState;
use lanegate_dispatch::interface::{AttemptEnd, Decision, Progress, Request, RequestId};
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Stands for one request at the dispatcher; the request is cancelled there when this is dropped early.
pub struct Ticket {
    state: Rc<RouterState>,
    id: RequestId,
    mailbox: Rc<Mailbox>,
    /// Whether nothing more will be decided for the request.
    settled: Cell<bool>,
}

impl Ticket {
    /// Hands the request to the dispatcher.
    pub fn open(state: Rc<RouterState>, request: Request) -> Self {
        let id = request.id;
        let mailbox = Rc::new(Mailbox::default());
        state.register(id, mailbox.clone());
        state.decide(|dispatcher, now| dispatcher.submit(now, request));
        Ticket { state, id, mailbox, settled: Cell::new(false) }
    }

    /// The router that the request belongs to.
    pub fn state(&self) -> &Rc<RouterState> {
        &self.state
    }

    /// Reports news of an attempt.
    pub fn progress(&self, attempt: u32, progress: Progress) {
        self.state.decide(|dispatcher, now| dispatcher.progress(now, self.id, attempt, progress));
    }

    /// Reports the end of an attempt.
    pub fn ended(&self, attempt: u32, end: AttemptEnd) {
        if matches!(end, AttemptEnd::Answered { .. }) {
            self.settled.set(true);
        }
        self.state.decide(|dispatcher, now| dispatcher.ended(now, self.id, attempt, end));
    }

    /// The next instruction; the task is woken when there is one.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Instruction> {
        let next = self.mailbox.poll_next(cx);
        if let Poll::Ready(Instruction::Decided(Decision::Refuse { .. } | Decision::Fail { .. })) = next {
            self.settled.set(true);
        }
        next
    }

    /// Waits for the next instruction.
    pub async fn next(&self) -> Instruction {
        poll_fn(|cx| self.poll_next(cx)).await
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.unregister(self.id);
        if !self.settled.get() {
            self.state.counters.cancelled.increment();
            self.state.decide(|dispatcher, now| dispatcher.cancel(now, self.id));
        }
    }
}
