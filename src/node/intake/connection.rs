//! One client's connection: where its request stands, and until when it is waited for.

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

/// Bytes of a request that are kept for another process to read on from.
const MAX_RECEIVED: usize = MAX_HEAD + MAX_BODY;

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Nothing has come on it yet.
    Silent,
    /// Part of a head has come.
    Head,
    /// A request is being read.
    Reading,
    /// All of it is here, and it waits to be offered to the courier.
    Received,
    /// It is with the courier, or its answer is on its way.
    Submitted,
    /// Between requests; `well` if the last one was not at fault.
    Idle { well: bool },
    /// Its last answer is out, and it waits for the client to go.
    Closing,
}

/// One client's connection.
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) stage: Cell<Stage>,
    /// Since when it stands there.
    pub(super) since: Cell<Instant>,
    /// When something last came on it.
    pub(super) last: Cell<Instant>,
    /// In how many pieces the request has come so far.
    pub(super) pieces: Cell<u32>,
    /// When the request counts as begun.
    pub(super) begun: Cell<Instant>,
    /// Nothing is waited for after this, whatever has begun.
    ends: Cell<Option<Instant>>,
    /// An answer has gone out on it.
    pub(super) served: Cell<bool>,
    /// An answer is not wholly written.
    pub(super) answering: Cell<bool>,
    pub(super) framing: RefCell<Framing>,
    /// What has come of a request that has no answer yet, for another process to read on from; none once it
    /// is longer than any that is taken.
    pub(super) unanswered: RefCell<Option<Vec<u8>>>,
    pub(super) close: Notify,
    /// Closes it whatever has come on it.
    pub(super) evict: Notify,
    /// Another process goes on with it.
    pub(super) pass: Notify,
}

impl Connection {
    /// For a connection that came so long ago, or stood for so long where it stands.
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

    /// Goes on to another stage.
    pub(super) fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// Whether nothing has come that is not read. Asks the kernel: the runtime may not have heard of it yet.
    pub(super) fn nothing_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether a request is under way that has no answer yet, and of which nothing is written. Empty lines between
    /// two requests are none.
    pub(super) fn has_unanswered_request(&self) -> bool {
        let begun = match self.stage.get() {
            Stage::Head => self.framing.borrow().begun,
            Stage::Reading | Stage::Received => true,
            Stage::Silent | Stage::Submitted | Stage::Idle { .. } | Stage::Closing => false,
        };
        begun && !self.answering.get()
    }

    /// Bytes of a request have come.
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

    /// The answer is decided: what follows is another request.
    pub(super) fn answered(&self, well: bool) {
        *self.framing.borrow_mut() = Framing::default();
        *self.unanswered.borrow_mut() = Some(Vec::new());
        self.pieces.set(0);
        self.answering.set(true);
        self.served.set(true);
        self.enter(Stage::Idle { well });
    }

    /// When the request that is being read must be there.
    pub(super) fn request_due(&self) -> Instant {
        self.begun.get() + REQUEST_TIMEOUT
    }

    /// Whatever has not come whole by then is not waited for.
    pub(super) fn end_by(&self, at: Instant) {
        self.ends.set(Some(at));
    }

    /// When it is closed for want of a request.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Silent | Stage::Head | Stage::Reading if self.ends.get().is_some() => self.ends.get(),
            Stage::Silent => Some(self.since.get() + SILENT_TIMEOUT),
            Stage::Head => Some(self.request_due()),
            Stage::Reading | Stage::Received | Stage::Submitted | Stage::Idle { .. } | Stage::Closing => None,
        }
    }
}
