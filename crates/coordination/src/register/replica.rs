//! A replica of one register: acceptor, proposer, reader and recovery behind one entrance.

use std::time::Duration;

use super::acceptor::Acceptor;
use super::anti_entropy::AntiEntropy;
use super::ballot::Ballot;
use super::batch::{Operation, Task};
use super::catch_up::CatchUp;
use super::context::{Context, Proposal, earlier};
use super::event::{Applied, Input, Output, StateMachine, Status};
use super::message::Message;
use super::node::Node;
use super::proposer::Proposer;
use super::reader::Reader;
use super::record::Record;
use super::recovery::{Recovery, RecoveryResponse};
use super::settings::{Fault, Settings};
use super::value::{Value, ValueTransfer};

/// A change of members that its proposer leaves unfinished is ended by others after so many retry intervals.
const COMPLETION_DELAY_RETRIES: u32 = 5;

/// A replica of one register. Equal hashes of clones tell equal states, as model checkers need.
#[derive(Clone, Hash)]
pub struct Replica {
    context: Context,
    acceptor: Option<Acceptor>,
    recovery: Option<Recovery>,
    proposer: Proposer,
    reader: Reader,
    catch_up: CatchUp,
    known_peers: Vec<Node>,
    anti_entropy: AntiEntropy,
    completion_due_at: Option<Duration>,
}

impl Replica {
    /// Starts a replica.
    ///
    /// `stored` is the newest record on disk, `now` the time since any fixed moment on a clock that only
    /// moves forward, `nonce` chance drawn anew at each start of the process.
    #[must_use]
    pub fn new(
        settings: Settings,
        state_machine: Box<dyn StateMachine>,
        stored: Option<Record>,
        now: Duration,
        nonce: u64,
    ) -> Self {
        let known_peers = settings.seeds.clone();
        let context = Context::new(settings, state_machine.into(), nonce, now);
        let mut replica = Self {
            anti_entropy: AntiEntropy::new(&context),
            context,
            acceptor: None,
            recovery: None,
            proposer: Proposer::default(),
            reader: Reader::default(),
            catch_up: CatchUp::default(),
            known_peers,
            completion_due_at: None,
        };
        replica.restore_or_recover(stored);
        replica.schedule_poll();
        replica.run_pending();
        replica
    }

    fn restore_or_recover(&mut self, stored: Option<Record>) {
        let settings = &self.context.settings;
        let is_bootstrap_member = settings.bootstrap && settings.seeds.contains(&settings.node);
        match stored {
            Some(record) => {
                self.acceptor = Some(Acceptor::stored(record));
                self.reader.enqueue(Task::internal(Operation::Read));
            }
            None if is_bootstrap_member || settings.has(Fault::VoteAfterWipe) => self.bootstrap(),
            None => self.recovery = Some(Recovery::start(&mut self.context)),
        }
    }

    /// Starts from the value that all founders know without asking.
    fn bootstrap(&mut self) {
        let settings = &self.context.settings;
        let value = Value::initial(settings.seeds.clone(), settings.initial_state.clone());
        let record = Record {
            incarnation: 0,
            promised: Ballot::ZERO,
            accepted: Ballot::ZERO,
            value: value.clone(),
            minimum_incarnations: super::node::MinimumIncarnations::default(),
        };
        self.context.record_committed(Ballot::ZERO, &value);
        self.acceptor = Some(Acceptor::unwritten(record));
    }

    /// Takes an event. Orders are then waiting in [`Self::poll_output`].
    pub fn handle(&mut self, now: Duration, input: Input) {
        self.context.now = self.context.now.max(now);
        match input {
            Input::Message { from, message } => self.on_message(from, message),
            Input::Persisted { token } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_persisted(&mut self.context, token);
                }
            }
            Input::PersistFailed { token } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_persist_failed(&self.context, token);
                }
            }
            Input::Tick => self.on_tick(),
            Input::Propose { request, command, deadline } => {
                self.route_command(Task {
                    request: Some(request),
                    operation: Operation::Command(command),
                    deadline,
                });
            }
            Input::Read { request, deadline } => {
                self.read(Task { request: Some(request), operation: Operation::Read, deadline });
            }
            Input::ChangeMembers { request, remove, add, deadline } => {
                let operation = Operation::ChangeMembers { remove, add, joint_committed: false };
                self.proposer.enqueue(Task { request: Some(request), operation, deadline });
            }
            Input::PeerReachable { node } => self.on_peer_reachable(node),
        }
        self.run_pending();
    }

    /// The next order, if any.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.context.outputs.pop_front()
    }

    /// When [`Input::Tick`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let recovery = self.recovery.as_ref().map(Recovery::next_wake);
        let acceptor = self.acceptor.as_ref().and_then(Acceptor::next_wake);
        let operation = earlier(self.proposer.next_wake(), self.reader.next_wake());
        let timers = earlier(
            earlier(Some(self.anti_entropy.next_wake()), self.completion_due_at),
            self.catch_up.next_wake(),
        );
        earlier(earlier(recovery, acceptor), earlier(operation, timers))
    }

    /// Where this replica stands.
    #[must_use]
    pub fn status(&self) -> Status {
        if let Some(recovery) = &self.recovery {
            let (answered, needed) = recovery.missing_responses(&self.context).unwrap_or_default();
            return Status::Recovering { answered, needed };
        }
        let node = self.context.node();
        let member = self.known().is_some_and(|known| known.value.newest_group().contains(&node));
        if member { Status::Member } else { Status::Spare }
    }

    /// The newest value known to be committed; it may be older than the newest committed one.
    #[must_use]
    pub fn committed(&self) -> Option<&Value> {
        self.context.committed.as_ref().map(|committed| &committed.value)
    }

    /// Whether this replica can vote: it has a record on disk, if need be that of its recovery, and the disk has
    /// not refused the last write.
    #[must_use]
    pub fn can_vote(&self) -> bool {
        self.acceptor.as_ref().is_some_and(Acceptor::is_stored)
    }

    /// The newest value known: committed, or accepted here and perhaps not committed.
    #[must_use]
    pub fn newest_known(&self) -> Option<&Value> {
        let committed = self.context.committed.as_ref();
        let record = self.acceptor.as_ref().map(Acceptor::record);
        let newer = record.filter(|record| committed.is_none_or(|known| known.ballot < record.accepted));
        newer.map(|record| &record.value).or(committed.map(|committed| &committed.value))
    }

    /// The newest value to start a round from: committed, or accepted here.
    fn known(&self) -> Option<Proposal> {
        let committed = self.context.committed.clone();
        let record = self.acceptor.as_ref().map(Acceptor::record);
        let newer =
            record.filter(|record| committed.as_ref().is_none_or(|known| known.ballot < record.accepted));
        match newer {
            Some(record) => Some(Proposal { ballot: record.accepted, value: record.value.clone() }),
            None => committed,
        }
    }

    /// A command that would change what is known here is proposed; others are first checked by a read.
    fn route_command(&mut self, task: Task) {
        let changes = match (&task.operation, &self.context.committed) {
            (Operation::Command(command), Some(committed)) => {
                matches!(
                    self.context.state_machine.apply(&committed.value.state, command),
                    Applied::Changed { .. }
                )
            }
            _ => true,
        };
        if changes || !self.proposer.is_idle() {
            self.proposer.enqueue(task);
        } else {
            self.reader.enqueue(task);
        }
    }

    fn read(&mut self, task: Task) {
        if let Some(committed) =
            self.context.committed.as_ref().filter(|_| self.context.settings.has(Fault::ReadLocally))
        {
            let (revision, state) = (committed.value.revision, committed.value.state.clone());
            return self.context.complete(task.request, super::event::Outcome::Value { revision, state });
        }
        self.reader.enqueue(task);
    }

    fn on_peer_reachable(&mut self, node: Node) {
        if node == self.context.node() {
            return;
        }
        if !self.known_peers.contains(&node) {
            self.known_peers.push(node);
        }
        match &mut self.recovery {
            Some(recovery) => recovery.on_reachable(&mut self.context, node),
            None => self.context.send(node, self.context.poll_message()),
        }
        self.reader.on_reachable(&mut self.context, node);
        self.proposer.on_reachable(&mut self.context, node);
    }

    /// Starts what can be started, writes what must be written, and hands over messages to itself.
    fn run_pending(&mut self) {
        loop {
            if let Some(acceptor) = &mut self.acceptor {
                acceptor.persist(&mut self.context);
            }
            if self.reader.is_ready() {
                let known = self.known();
                self.reader.start_query(&mut self.context, known);
            }
            if self.proposer.is_ready(self.context.now) {
                let known = self.known();
                self.proposer.start_round(&mut self.context, known);
            }
            let Some(message) = self.context.local_messages.pop_front() else {
                break;
            };
            self.on_message(self.context.node(), message);
        }
        self.schedule_membership_completion();
    }

    fn on_message(&mut self, from: Node, message: Message) {
        if message.is_answer() {
            self.proposer.on_answer(&mut self.context, from);
        }
        match message {
            Message::Prepare { ballot, known } => {
                self.proposer.observe_ballot(ballot);
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_prepare(&mut self.context, from, ballot, known);
                }
            }
            Message::Accept { ballot, value } => {
                self.proposer.observe_ballot(ballot);
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_accept(&mut self.context, from, ballot, value);
                }
            }
            Message::Promise { ballot, incarnation, minimum_incarnations, accepted, value } => {
                self.proposer.on_promise(
                    &mut self.context,
                    from,
                    ballot,
                    (incarnation, minimum_incarnations),
                    accepted,
                    value,
                );
            }
            Message::Accepted { ballot, incarnation, minimum_incarnations } => {
                self.proposer.on_accepted(
                    &mut self.context,
                    from,
                    ballot,
                    (incarnation, minimum_incarnations),
                );
            }
            Message::Rejected { ballot, promised } => {
                self.proposer.on_rejected(&mut self.context, ballot, promised);
            }
            Message::Committed { ballot, value } => self.on_committed(from, ballot, value),
            Message::ReadQuery { request, known } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_read_query(&mut self.context, from, request, known);
                }
            }
            Message::ReadReply { request, incarnation, minimum_incarnations, promised, accepted, value } => {
                let voter = (incarnation, minimum_incarnations);
                let state = (promised, accepted, value);
                self.reader.on_read_reply(&mut self.context, &mut self.proposer, from, request, voter, state);
            }
            Message::PollCommitted { committed, known } => self.on_poll_committed(from, committed, known),
            Message::RegisterIncarnation { nonce, incarnation } => {
                if let Some(acceptor) = &mut self.acceptor {
                    acceptor.on_register_incarnation(&mut self.context, from, nonce, incarnation);
                }
            }
            Message::IncarnationRegistered {
                nonce,
                requested,
                incarnation,
                minimum_incarnations,
                promised,
                accepted,
                value,
            } => {
                let answer =
                    RecoveryResponse { incarnation, minimum_incarnations, promised, accepted, value };
                self.on_incarnation_registered(from, nonce, requested, answer);
            }
        }
    }

    fn on_committed(&mut self, from: Node, ballot: Ballot, value: ValueTransfer) {
        let accepted =
            self.acceptor.as_ref().map(Acceptor::record).filter(|record| record.accepted == ballot);
        let was_sent = matches!(value, ValueTransfer::Full(_));
        let sent = value.into_value().map(|value| self.context.adopt(value));
        let value = sent.or_else(|| accepted.map(|record| record.value.clone()));
        match value {
            Some(value) => {
                self.record_committed(ballot, &value);
                self.catch_up.on_committed(&mut self.context, ballot, was_sent);
            }
            None if self.context.committed.as_ref().is_none_or(|known| known.ballot < ballot) => {
                self.catch_up.on_commit_announced(&mut self.context, from, ballot);
            }
            None => {}
        }
    }

    fn record_committed(&mut self, ballot: Ballot, value: &Value) {
        self.context.record_committed(ballot, value);
        if let Some(acceptor) = &mut self.acceptor {
            acceptor.on_committed(ballot, value);
        }
        self.proposer.on_committed(&mut self.context, ballot, value);
        self.reader.on_committed(&mut self.context, &mut self.proposer);
    }

    /// Tells a newer committed value, or asks for one.
    fn on_poll_committed(&mut self, from: Node, committed: Ballot, known: bool) {
        let own = self.context.committed.as_ref().map(|committed| committed.ballot);
        match own {
            Some(own) if !known || own > committed => {
                if let Some(message) = self.context.committed_message() {
                    self.context.send(from, message);
                }
            }
            own if known && own.is_none_or(|own| own < committed) => {
                self.catch_up.on_commit_announced(&mut self.context, from, committed);
            }
            _ => {}
        }
    }

    fn on_incarnation_registered(
        &mut self,
        from: Node,
        nonce: u64,
        requested: u64,
        answer: RecoveryResponse,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|_| nonce == self.context.nonce) else {
            return;
        };
        if let Some(record) = recovery.on_incarnation_registered(&mut self.context, from, requested, answer) {
            self.recovery = None;
            self.acceptor = Some(Acceptor::unwritten(record));
            self.reader.enqueue(Task::internal(Operation::Read));
        }
    }

    fn on_tick(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_tick(&mut self.context);
        }
        self.catch_up.on_tick(&mut self.context);
        self.reader.on_tick(&mut self.context, &mut self.proposer);
        self.proposer.on_tick(&mut self.context);
        if self.anti_entropy.next_wake() <= self.context.now {
            self.poll_for_update();
        }
        if self.completion_due_at.is_some_and(|at| at <= self.context.now) {
            self.completion_due_at = None;
            self.proposer.request_completion();
        }
    }

    /// Asks one other replica whether it knows a newer committed value.
    fn poll_for_update(&mut self) {
        self.schedule_poll();
        if self.recovery.is_some() {
            return;
        }
        let mut others = self.known().map(|known| known.value.members()).unwrap_or_default();
        others.extend(self.known_peers.iter().copied());
        self.anti_entropy.poll_next(&mut self.context, others);
    }

    fn schedule_poll(&mut self) {
        let is_spare = self.status() == Status::Spare;
        self.anti_entropy.schedule(&mut self.context, is_spare);
    }

    /// A joint value that stays in force is ended by whoever knows it.
    fn schedule_membership_completion(&mut self) {
        let joint = self.context.committed.as_ref().is_some_and(|committed| committed.value.is_joint());
        if !joint {
            self.completion_due_at = None;
        } else if self.completion_due_at.is_none() {
            let wait = self.context.settings.retry_interval * COMPLETION_DELAY_RETRIES;
            self.completion_due_at = Some(self.context.now + wait + self.context.random_up_to(wait));
        }
    }
}
