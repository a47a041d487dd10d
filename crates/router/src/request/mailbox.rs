//! The mailbox of a request task, into which the dispatcher's decisions are delivered.

use lanegate_dispatch::interface::Decision;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::{Context, Poll, Waker};

/// What a request task has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// Execute a decision of the dispatcher.
    Decided(Decision),
    /// Answer the client at once, because the process is shutting down.
    Shutdown,
}

/// Decisions that a request task has not received yet.
#[derive(Debug, Default)]
pub struct Mailbox {
    decisions: RefCell<VecDeque<Decision>>,
    shutting_down: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Mailbox {
    /// Delivers a decision.
    pub fn push(&self, decision: Decision) {
        self.decisions.borrow_mut().push_back(decision);
        self.wake();
    }

    /// Instructs the task to answer at once because of shutdown.
    pub fn shut_down(&self) {
        self.shutting_down.set(true);
        self.wake();
    }

    /// The next instruction. Pending decisions come before the instruction to shut down.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Instruction> {
        if let Some(decision) = self.decisions.borrow_mut().pop_front() {
            return Poll::Ready(Instruction::Decided(decision));
        }
        if self.shutting_down.get() {
            return Poll::Ready(Instruction::Shutdown);
        }
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|known| known.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
