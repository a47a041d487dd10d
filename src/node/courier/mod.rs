//! The only owner of the decision module. Feeds it what happened, no oftener than once a tick, and carries
//! out what it asks for; holds bodies, ids and timers. It decides nothing about a message itself.
//!
//! This module has its state; each of the others has one kind of event or step.

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

/// Why the courier does not go on.
pub enum End {
    /// All is done that could be after SIGTERM.
    Stopped,
    /// Nothing is in judgement: all can be handed over.
    HandoverReady(Successor),
    /// The successor has ended after it had taken over.
    SuccessorExited,
}

/// An endpoint as the list or the journal has named it.
pub(super) struct Endpoint {
    pub(super) host: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) zone: usize,
    /// As the list has it: elsewhere no connection to it is kept.
    pub(super) ready: bool,
    /// A list has named it; others are known by a record alone.
    pub(super) listed: bool,
}

/// A message that is taken on and has not ended.
pub(super) struct HeldMessage {
    pub(super) submitted: Rc<Message>,
    pub(super) attempts: u32,
    /// The call that is out: when it left, and how to call it off.
    pub(super) in_flight: Option<(Instant, Option<oneshot::Sender<()>>)>,
    /// Where its last call went, and whether that may still begin.
    pub(super) start_permit: Option<(EndpointId, StartPermit)>,
}

impl HeldMessage {
    /// One of which no call is out.
    fn new(submitted: Rc<Message>, attempts: u32) -> Self {
        HeldMessage { submitted, attempts, in_flight: None, start_permit: None }
    }

    /// Calls off the call that is out.
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
    /// Those that the module knows; it says when one is forgotten. Numbers are never used again.
    pub(super) endpoints: HashMap<EndpointId, Endpoint>,
    pub(super) numbered: u32,
    pub(super) numbers: HashMap<String, EndpointId>,
    pub(super) destinations: BTreeSet<u64>,
    pub(super) held: BTreeMap<u64, HeldMessage>,
    /// Messages by the id that their clients gave them, until they have ended.
    pub(super) ids: HashMap<String, u64>,
    pub(super) next: u64,
    /// The module's one wake-up; a later request for one takes its place.
    wake: Option<(Instant, u64)>,
    pub(super) notices: VecDeque<Notice>,
    posts: usize,
    watch: Option<AbortHandle>,
    /// The version of the list, where it is one of discovery's.
    pub(super) seq: Option<u64>,
    /// A successor that waits, and since when.
    successor: Option<(Successor, Instant)>,
    /// Discovery has answered since the start.
    pub(super) listed: bool,
    pub(super) stopping: Option<Instant>,
    /// What waits for the record.
    pub(super) pending_actions: PendingActions,
    /// When the next segment of the journal is read again.
    scrub: Option<Instant>,
}

impl Courier {
    /// A courier without messages; `last` is the last number that a message on record has had.
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
