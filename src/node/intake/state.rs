//! State of the intake: readiness, shutdown and handover, and the clients' connections.

use super::connection::{Connection, Stage};
use crate::node::register::Register;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// Readiness, shutdown and handover state, shared by all client connections.
pub struct IntakeState {
    /// What operators have set.
    pub register: Arc<Register>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Incomplete requests are no longer waited for.
    pub(super) closing: Cell<bool>,
    /// Asks to close the listening socket once its backlog is empty.
    pub(super) shut: Notify,
    /// Whether the listening socket is open.
    pub listening: Cell<bool>,
    /// The open connections, notified when the courier stops.
    pub open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
    /// Bytes of bodies that are being read or have no answer yet.
    pub(super) bodies: Cell<usize>,
    /// Offers that the courier has not answered.
    pub(super) pending_submissions: Cell<usize>,
    /// A handover is pending: no new messages are submitted to the courier.
    held: Cell<bool>,
    released: Notify,
    /// Where connections go once another process is the courier.
    successor: RefCell<Option<UnboundedSender<PassedConnection>>>,
}

/// A client's connection on its way to another process.
pub struct PassedConnection {
    pub descriptor: OwnedFd,
    /// What has come of a request that has no answer yet.
    pub received: Vec<u8>,
    pub age: Duration,
    pub served: bool,
}

impl IntakeState {
    pub fn new(register: Arc<Register>) -> Self {
        IntakeState {
            register,
            ready: Cell::default(),
            stopping: Cell::default(),
            closing: Cell::default(),
            shut: Notify::new(),
            listening: Cell::default(),
            open: RefCell::default(),
            next: Cell::default(),
            bodies: Cell::default(),
            pending_submissions: Cell::default(),
            held: Cell::default(),
            released: Notify::new(),
            successor: RefCell::default(),
        }
    }

    /// Offers that the courier has not answered.
    pub fn pending_submissions(&self) -> usize {
        self.pending_submissions.get()
    }

    /// Counts a connection among the open ones, under a number of its own.
    pub(super) fn admit(&self, connection: Rc<Connection>) -> u64 {
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.borrow_mut().insert(id, connection);
        id
    }

    /// Requests are read, and wait: the courier is to be handed over.
    pub fn hold(&self) {
        self.held.set(true);
    }

    /// The handover was aborted.
    pub fn release(&self) {
        self.held.set(false);
        self.released.notify_waiters();
    }

    /// Waits while the courier is to be handed over.
    pub(super) async fn until_released(&self) {
        while self.held.get() {
            self.released.notified().await;
        }
    }

    /// From here on all connections go to another process.
    pub fn pass_on(&self, successor: UnboundedSender<PassedConnection>) {
        *self.successor.borrow_mut() = Some(successor);
        self.open.borrow().values().for_each(|connection| connection.pass.notify_one());
    }

    /// Whether connections go to another process.
    pub(super) fn passes_on(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Sends a connection on its way, if it stands where another process can go on with it.
    pub(super) fn pass(&self, connection: &Connection) -> bool {
        let successor = self.successor.borrow();
        let received = connection.unanswered.borrow().clone();
        let (Some(successor), Some(received)) = (successor.as_ref(), received) else { return false };
        let stage = connection.stage.get();
        if stage == Stage::Submitted || connection.answering.get() {
            return false;
        }
        let Ok(socket) = SockRef::from(&connection.stream).try_clone() else { return false };
        let age = match stage {
            Stage::Idle { .. } => connection.since.get().elapsed(),
            _ => connection.begun.get().elapsed(),
        };
        let served = connection.served.get();
        successor.send(PassedConnection { descriptor: socket.into(), received, age, served }).is_ok()
    }

    /// Readiness off; idle connections close, the others after their answer.
    pub fn stop(&self) {
        self.ready.set(false);
        self.stopping.set(true);
        self.close_idle();
    }

    /// No new connections, but for those that are there already.
    pub fn shut(&self) {
        self.shut.notify_one();
    }

    /// Whoever has not handed in a whole request by now is told so, while there is time to tell it: the end of the
    /// process would cut it off without a word.
    pub fn close(&self) {
        self.closing.set(true);
        self.close_idle();
    }

    /// Idle connections close, the others after their answer.
    pub fn close_idle(&self) {
        self.open.borrow().values().for_each(|connection| connection.close.notify_one());
    }

    /// Whether clients are told to use another courier.
    pub(super) fn sends_away(&self) -> bool {
        self.stopping.get() || self.register.out_of_service()
    }
}
