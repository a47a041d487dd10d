//! Owns the scheduler. Passes it events at most once a tick and carries out its actions; holds message bodies,
//! ids and timers. Makes no decision about a message itself.
//!
//! This module defines the state; each submodule handles one kind of event or step.

mod attempts;
mod discovery;
mod endpoints;
mod event_loop;
mod notices;
mod resume;
mod stopping;
mod submissions;
mod turn;

pub(super) use attempts::never_sent;
pub(super) use stopping::{STOP_ALL, STOP_CLOSING, STOP_LISTENING};

use super::calls::{Calls, StartPermit};
use super::commit::PendingActions;
use super::config::Config;
use super::handover::Successor;
use super::input::Input;
use super::intake::{IntakeState, Submission};
use super::journal::{Journal, Message};
use super::outcomes::{Notice, Platform};
use crate::interface::{EndpointId, Event};
use crate::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Why the event loop ended.
pub enum End {
    /// The shutdown after SIGTERM is complete.
    Stopped,
    /// No submission or event is pending: the state can be handed over.
    HandoverReady(Successor),
    /// The successor exited after it had taken over.
    SuccessorExited,
}

/// An endpoint as the list or the journal has named it.
pub(super) struct Endpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) zone: usize,
    /// Ready according to the list. No idle connections are kept to other endpoints.
    pub(super) ready: bool,
    /// Whether a list has named it; others are known from a journal record only.
    pub(super) listed: bool,
}

/// An accepted message that has not ended.
pub(super) struct HeldMessage {
    pub(super) submitted: Rc<Message>,
    pub(super) attempts: u32,
    /// The call in flight: when it was started, and the channel that cancels it.
    pub(super) in_flight: Option<(Instant, Option<oneshot::Sender<()>>)>,
    /// The endpoint of the last call, and whether that call may still start.
    pub(super) start_permit: Option<(EndpointId, StartPermit)>,
}

impl HeldMessage {
    /// A message without a call in flight.
    fn new(submitted: Rc<Message>, attempts: u32) -> Self {
        HeldMessage { submitted, attempts, in_flight: None, start_permit: None }
    }

    /// Cancels the call in flight.
    pub(super) fn cancel(&mut self) {
        if let Some(cancel) = self.in_flight.as_mut().and_then(|(_, cancel)| cancel.take()) {
            let _ = cancel.send(());
        }
    }
}

/// The courier's state.
pub struct Courier {
    pub(super) config: Config,
    pub(super) scheduler: Scheduler,
    pub(super) journal: Journal,
    pub(super) calls: Calls,
    platform: Platform,
    pub(super) intake_state: Rc<IntakeState>,
    pub(super) inputs: Sender<Input>,
    pub(super) origin: Instant,
    pub(super) events: Vec<Event>,
    submissions: BTreeMap<u64, Submission>,
    /// The endpoints that the scheduler knows; it reports when it forgets one. Ids are never reused.
    pub(super) endpoints: HashMap<EndpointId, Endpoint>,
    pub(super) numbered: u32,
    pub(super) numbers: HashMap<String, EndpointId>,
    pub(super) destinations: BTreeSet<u64>,
    pub(super) held: BTreeMap<u64, HeldMessage>,
    /// Message numbers by client-assigned id, until the message ends.
    pub(super) ids: HashMap<String, u64>,
    pub(super) next: u64,
    /// The scheduler's only wake-up; a later request replaces it.
    wake: Option<(Instant, u64)>,
    pub(super) notices: VecDeque<Notice>,
    posts: usize,
    watch: Option<AbortHandle>,
    /// Version of the endpoint list, if it came from discovery.
    pub(super) seq: Option<u64>,
    /// A successor waiting for the handover, and since when.
    successor: Option<(Successor, Instant)>,
    /// Whether discovery has answered since the start.
    pub(super) listed: bool,
    pub(super) stopping: Option<Instant>,
    /// Actions to be taken once their record is on disk.
    pub(super) pending_actions: PendingActions,
    /// When the next segment of the journal is scrubbed.
    scrub: Option<Instant>,
}

impl Courier {
    /// A courier without messages; `last` is the highest message number on record.
    pub fn new(
        config: Config,
        scheduler: Scheduler,
        journal: Journal,
        last: u64,
        calls: Calls,
        intake_state: Rc<IntakeState>,
        inputs: Sender<Input>,
    ) -> Self {
        let platform = Platform::new(config.discovery);
        Courier {
            config,
            scheduler,
            journal,
            calls,
            platform,
            intake_state,
            inputs,
            origin: Instant::now(),
            events: Vec::new(),
            submissions: BTreeMap::new(),
            endpoints: HashMap::new(),
            numbered: 0,
            numbers: HashMap::new(),
            destinations: BTreeSet::new(),
            held: BTreeMap::new(),
            ids: HashMap::new(),
            next: last + 1,
            wake: None,
            notices: VecDeque::new(),
            posts: 0,
            watch: None,
            seq: None,
            successor: None,
            listed: false,
            stopping: None,
            pending_actions: PendingActions::default(),
            scrub: None,
        }
    }
}
