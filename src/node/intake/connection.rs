//! State and time-outs of one client connection.

use super::framing::Framing;
use super::limits::{MAX_BODY, MAX_HEAD, REQUEST_TIMEOUT, SILENT_TIMEOUT};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Most bytes of a request kept so that another process can continue reading it.
const MAX_RECEIVED: usize = MAX_HEAD + MAX_BODY;

/// Stage of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Nothing received yet.
    Silent,
    /// Part of a request head received.
    Head,
    /// The request's body is being read.
    Reading,
    /// Received whole, waiting to be offered to the courier.
    Received,
    /// Submitted to the courier, or its response is being sent.
    Submitted,
    /// Between requests; `well` if the last one was valid.
    Idle { well: bool },
    /// The last response is sent; waiting for the client to close.
    Closing,
}

/// One client's connection.
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) stage: Cell<Stage>,
    /// When it entered this stage.
    pub(super) since: Cell<Instant>,
    /// When bytes were last received.
    pub(super) last: Cell<Instant>,
    /// Number of reads that the request has taken so far.
    pub(super) pieces: Cell<u32>,
    /// When the request counts as started.
    pub(super) begun: Cell<Instant>,
    /// Overrides the stage's time-out, even for a partly received request.
    ends: Cell<Option<Instant>>,
    /// A response was sent on it.
    pub(super) served: Cell<bool>,
    /// A response is partly written.
    pub(super) answering: Cell<bool>,
    pub(super) framing: RefCell<Framing>,
    /// Received bytes of a request without a response, so that another process can continue; `None` once they exceed
    /// the longest request that is accepted.
    pub(super) unanswered: RefCell<Option<Vec<u8>>>,
    pub(super) close: Notify,
    /// Closes it in any stage.
    pub(super) evict: Notify,
    /// Passes it to another process.
    pub(super) pass: Notify,
}

impl Connection {
    /// `age` is the time since the connection was accepted, or since it entered its present stage.
    pub(super) fn new(stream: TcpStream, age: Duration, served: bool) -> Self {
        let since = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
        Connection {
            stream,
            stage: Cell::new(if served { Stage::Idle { well: true } } else { Stage::Silent }),
            since: Cell::new(since),
            last: Cell::new(since),
            pieces: Cell::new(0),
            begun: Cell::new(since),
            ends: Cell::new(None),
            served: Cell::new(served),
            answering: Cell::new(false),
            framing: RefCell::default(),
            unanswered: RefCell::new(Some(Vec::new())),
            close: Notify::new(),
            evict: Notify::new(),
            pass: Notify::new(),
        }
    }

    /// Enters another stage.
    pub(super) fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// Whether there are no unread bytes. Asks the kernel, as the runtime may not have been notified yet.
    pub(super) fn nothing_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether a request was started of whose response nothing is written. Empty lines between two requests do not
    /// count as one.
    pub(super) fn has_unanswered_request(&self) -> bool {
        let begun = match self.stage.get() {
            Stage::Head => self.framing.borrow().begun,
            Stage::Reading | Stage::Received => true,
            Stage::Silent | Stage::Submitted | Stage::Idle { .. } | Stage::Closing => false,
        };
        begun && !self.answering.get()
    }

    /// Handles received bytes of a request.
    pub(super) fn received(&self, bytes: &[u8]) {
        self.framing.borrow_mut().hear(bytes);
        self.last.set(Instant::now());
        self.pieces.set(self.pieces.get() + 1);
        self.keep_unanswered(bytes);
        if let Stage::Idle { .. } = self.stage.get() {
            self.begun.set(Instant::now());
        }
        if matches!(self.stage.get(), Stage::Silent | Stage::Idle { .. }) {
            self.enter(Stage::Head);
        }
    }

    fn keep_unanswered(&self, bytes: &[u8]) {
        let mut unanswered = self.unanswered.borrow_mut();
        let kept = unanswered.take().filter(|kept| kept.len() + bytes.len() <= MAX_RECEIVED);
        *unanswered = kept.map(|mut kept| {
            kept.extend_from_slice(bytes);
            kept
        });
    }

    /// The response is decided: later bytes belong to the next request.
    pub(super) fn answered(&self, well: bool) {
        *self.framing.borrow_mut() = Framing::default();
        *self.unanswered.borrow_mut() = Some(Vec::new());
        self.pieces.set(0);
        self.answering.set(true);
        self.served.set(true);
        self.enter(Stage::Idle { well });
    }

    /// Deadline for the request being read.
    pub(super) fn request_due(&self) -> Instant {
        self.begun.get() + REQUEST_TIMEOUT
    }

    /// Sets a deadline for an incomplete request, whatever its stage.
    pub(super) fn end_by(&self, at: Instant) {
        self.ends.set(Some(at));
    }

    /// When it is closed if no complete request arrives.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Silent | Stage::Head | Stage::Reading if self.ends.get().is_some() => self.ends.get(),
            Stage::Silent => Some(self.since.get() + SILENT_TIMEOUT),
            Stage::Head => Some(self.request_due()),
            Stage::Reading | Stage::Received | Stage::Submitted | Stage::Idle { .. } | Stage::Closing => None,
        }
    }
}
