//! What is to be done for one request, handed from the dispatcher to the request's task.

use lanegate_dispatch::interface::Decision;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::task::{Context, Poll, Waker};

/// What a request's task is to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// What the dispatcher decided.
    Decided(Decision),
    /// The process ends: answer now.
    Shutdown,
}

/// Decisions that a request's task has not taken yet.
#[derive(Debug, Default)]
pub struct Mailbox {
    decisions: RefCell<VecDeque<Decision>>,
    shutting_down: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Mailbox {
    /// Hands a decision over.
    pub fn push(&self, decision: Decision) {
        self.decisions.borrow_mut().push_back(decision);
        self.wake();
    }

    /// Says that the process ends.
    pub fn shut_down(&self) {
        self.shutting_down.set(true);
        self.wake();
    }

    /// The next instruction, in order.
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
