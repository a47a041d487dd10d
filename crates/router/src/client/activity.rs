//! Tracks the activity of client connections, so that idle and stalled ones can be closed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::time::Instant;

/// What a client connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of the head of a request.
    Head,
    /// The rest of the body of a request.
    Body,
    /// The answer, or the client to read it.
    Answering,
}

/// Whether and how the task of a connection has to close it, from the weakest to the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// Keep the connection open.
    KeepOpen,
    /// Close once no request is in flight.
    Graceful,
    /// Close at once.
    Abort,
}

/// The state of one client connection, shared by its task, its stream and the maintenance task.
#[derive(Debug)]
pub struct Activity {
    phase: Cell<Phase>,
    /// When the current phase began; in [`Phase::Body`], when the last byte arrived.
    since: Cell<Instant>,
    /// When the first byte of the current request arrived.
    request_began: Cell<Instant>,
    /// Deadline of the current answer.
    answer_deadline: Cell<Instant>,
    close_mode: Cell<CloseMode>,
    /// Whether an answer without a length ends with the connection (HTTP/1.0).
    is_close_delimited: Cell<bool>,
    /// Whether the connection has to be reset when it is dropped, so that a truncated answer does not look complete.
    is_reset: Cell<bool>,
    /// Whether a part of the body of the last request has not been read.
    has_unread_body: Cell<bool>,
    /// Whether the HTTP library has bytes that it could not write to the socket yet.
    has_unwritten_bytes: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Activity {
    /// A connection that was just accepted.
    pub fn new(now: Instant) -> Rc<Self> {
        Rc::new(Activity {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            request_began: Cell::new(now),
            answer_deadline: Cell::new(now),
            close_mode: Cell::new(CloseMode::KeepOpen),
            is_close_delimited: Cell::new(false),
            is_reset: Cell::new(false),
            has_unread_body: Cell::new(false),
            has_unwritten_bytes: Cell::new(false),
            waker: RefCell::new(None),
        })
    }

    /// What the connection waits for.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the current phase began; in [`Phase::Body`], when the last byte arrived.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Records that bytes of the client arrived.
    pub fn received(&self, now: Instant) {
        match self.phase.get() {
            Phase::Idle => {
                self.phase.set(Phase::Head);
                self.request_began.set(now);
                self.since.set(now);
            }
            Phase::Body => self.since.set(now),
            Phase::Head | Phase::Answering => {}
        }
    }

    /// Records that a head is complete; returns when its first byte arrived.
    pub fn on_head_complete(&self, now: Instant) -> Instant {
        let began = match self.phase.get() {
            Phase::Head => self.request_began.get(),
            Phase::Idle | Phase::Body | Phase::Answering => now,
        };
        self.enter(Phase::Body, now);
        self.has_unread_body.set(true);
        began
    }

    /// Records that the body of a request was read to its end.
    pub fn on_body_complete(&self) {
        self.has_unread_body.set(false);
    }

    /// Records that an answer without a length ends with the connection (HTTP/1.0).
    pub fn mark_close_delimited(&self) {
        self.is_close_delimited.set(true);
    }

    /// Records that the connection broke during an answer. An answer without a length would look complete if the connection were
    /// closed regularly, so that connection is reset.
    pub fn mark_broken(&self) {
        self.is_reset.set(self.is_close_delimited.get());
    }

    /// Whether the connection has to be reset when it is dropped.
    pub fn is_reset(&self) -> bool {
        self.is_reset.get()
    }

    /// Records whether the HTTP library has bytes that it could not write to the socket yet.
    pub fn set_unwritten_bytes(&self, has_unwritten_bytes: bool) {
        self.has_unwritten_bytes.set(has_unwritten_bytes);
    }

    /// Whether nothing of the requests so far is left to be read or written, so that the next byte of the client begins a
    /// request or continues its head.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle | Phase::Head)
            && !self.has_unread_body.get()
            && !self.has_unwritten_bytes.get()
    }

    /// Sets the deadline of the current answer.
    pub fn set_answer_deadline(&self, deadline: Instant) {
        self.answer_deadline.set(deadline);
    }

    /// Deadline of the current answer.
    pub fn answer_deadline(&self) -> Instant {
        self.answer_deadline.get()
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase, now: Instant) {
        self.phase.set(phase);
        self.since.set(now);
    }

    /// Requests that the connection is closed. A weaker mode does not replace a stronger one.
    pub fn request_close(&self, close_mode: CloseMode) {
        if close_mode <= self.close_mode.get() {
            return;
        }
        self.close_mode.set(close_mode);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// The requested mode. The task of `cx` is woken when it changes.
    pub fn close_mode(&self, cx: &Context<'_>) -> CloseMode {
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|known| known.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        self.close_mode.get()
    }
}

/// Marks a connection as busy with an answer until it is dropped, which is when the answer was sent or abandoned.
#[derive(Debug)]
pub struct BusyGuard(Rc<Activity>);

impl BusyGuard {
    /// Marks the connection as busy with an answer.
    pub fn new(activity: Rc<Activity>) -> Self {
        activity.enter(Phase::Answering, Instant::now());
        BusyGuard(activity)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.enter(Phase::Idle, Instant::now());
    }
}
