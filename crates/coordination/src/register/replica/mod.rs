//! A replica of one register: acceptor, proposer, reader and recovery behind one interface.

mod messages;
mod timers;

use std::time::Duration;

use super::acceptor::Acceptor;
use super::anti_entropy::AntiEntropy;
use super::ballot::Ballot;
use super::catch_up::CatchUp;
use super::context::{Context, Proposal};
use super::event::{Input, Outcome, Output, Status};
use super::fault::Fault;
use super::incarnation::MinimumIncarnations;
use super::node::Node;
use super::proposer::Proposer;
use super::reader::Reader;
use super::record::Record;
use super::recovery::Recovery;
use super::settings::Settings;
use super::state_machine::{Applied, StateMachine};
use super::task::{MembershipChange, Operation, Task};
use super::value::Value;

/// A replica of one register.
///
/// Clones with equal hashes are in equal states, as model checkers need.
#[derive(Clone, Hash)]
pub struct Replica {
    context: Context,
    /// `None` until recovery is complete.
    acceptor: Option<Acceptor>,
    recovery: Option<Recovery>,
    proposer: Proposer,
    reader: Reader,
    catch_up: CatchUp,
    known_peers: Vec<Node>,
    anti_entropy: AntiEntropy,
    /// When this replica completes the membership change that it knows to be unfinished.
    completion_due_at: Option<Duration>,
}

impl Replica {
    /// Starts a replica.
    ///
    /// `stored` is the newest record on disk, `now` the reading of a monotonic clock with any fixed origin, `nonce`
    /// a random number drawn anew at each start of the process.
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

    /// Starts from the stored record or the initial value, or starts a recovery.
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

    /// Starts from the initial value, which all bootstrap members know.
    fn bootstrap(&mut self) {
        let settings = &self.context.settings;
        let value = Value::initial(settings.seeds.clone(), settings.initial_state.clone());
        let record = Record {
            incarnation: 0,
            promised: Ballot::ZERO,
            accepted: Ballot::ZERO,
            value: value.clone(),
            minimum_incarnations: MinimumIncarnations::default(),
        };
        self.context.record_committed(Ballot::ZERO, &value);
        self.acceptor = Some(Acceptor::unwritten(record));
    }

    /// Processes an input. The outputs that follow from it are then available from [`Self::poll_output`].
    pub fn handle(&mut self, now: Duration, input: Input) {
        self.context.now = self.context.now.max(now);
        match input {
            Input::Message { from, message } => self.on_message(from, message),
            Input::Persisted { token } => {
                self.with_acceptor(|acceptor, context| acceptor.on_persisted(context, token));
            }
            Input::PersistFailed { token } => {
                self.with_acceptor(|acceptor, context| acceptor.on_persist_failed(context, token));
            }
            Input::Tick => self.on_tick(),
            Input::Propose { request, command, deadline } => self.on_propose(request, command, deadline),
            Input::Read { request, deadline } => self.on_read(request, deadline),
            Input::ChangeMembers { request, remove, add, deadline } => {
                let change = MembershipChange { remove, add, is_joint_committed: false };
                let operation = Operation::ChangeMembers(change);
                self.proposer.enqueue(Task { request: Some(request), operation, deadline });
            }
            Input::PeerReachable { node } => self.on_peer_reachable(node),
        }
        self.run_pending();
    }

    /// Calls the acceptor, which a replica that is still recovering does not have.
    fn with_acceptor(&mut self, call: impl FnOnce(&mut Acceptor, &mut Context)) {
        if let Some(acceptor) = &mut self.acceptor {
            call(acceptor, &mut self.context);
        }
    }

    /// The next output, if any.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.context.outputs.pop_front()
    }

    /// Whether this replica is a voting member, a spare or still recovering.
    #[must_use]
    pub fn status(&self) -> Status {
        if let Some(recovery) = &self.recovery {
            let missing = recovery.missing_responses(&self.context).unwrap_or_default();
            return Status::Recovering { answered: missing.answered, needed: missing.needed };
        }
        let node = self.context.node();
        let is_member = self.newest_known().is_some_and(|value| value.newest_group().contains(&node));
        if is_member { Status::Member } else { Status::Spare }
    }

    /// The newest value known to be committed; other replicas may know a newer one.
    #[must_use]
    pub fn committed(&self) -> Option<&Value> {
        self.context.committed.as_ref().map(|committed| &committed.value)
    }

    /// Whether this replica can vote: its record (after a recovery, the recovered one) is on disk, and the last write
    /// did not fail.
    #[must_use]
    pub fn can_vote(&self) -> bool {
        self.acceptor.as_ref().is_some_and(Acceptor::is_stored)
    }

    /// The newest value known: committed, or accepted here and perhaps not committed.
    #[must_use]
    pub fn newest_known(&self) -> Option<&Value> {
        match self.newer_accepted() {
            Some(record) => Some(&record.value),
            None => self.committed(),
        }
    }

    /// The record of this replica, if its accepted value is newer than the newest committed one known.
    fn newer_accepted(&self) -> Option<&Record> {
        let committed = self.context.committed.as_ref();
        let record = self.acceptor.as_ref().map(Acceptor::record);
        record.filter(|record| committed.is_none_or(|committed| committed.ballot < record.accepted))
    }

    /// The newest known value with its ballot, from which a round or a query starts.
    fn newest_proposal(&self) -> Option<Proposal> {
        match self.newer_accepted() {
            Some(record) => Some(Proposal { ballot: record.accepted, value: record.value.clone() }),
            None => self.context.committed.clone(),
        }
    }

    /// A command that would change the committed value known here is proposed; others are first checked by a
    /// quorum read.
    fn on_propose(&mut self, request: u64, command: Vec<u8>, deadline: Duration) {
        let changes = self.context.committed.as_ref().is_none_or(|committed| {
            let applied = self.context.state_machine.apply(&committed.value.state, &command);
            matches!(applied, Applied::Changed { .. })
        });
        let task = Task { request: Some(request), operation: Operation::Command(command), deadline };
        if changes || !self.proposer.is_idle() {
            self.proposer.enqueue(task);
        } else {
            self.reader.enqueue(task);
        }
    }

    fn on_read(&mut self, request: u64, deadline: Duration) {
        if let Some(committed) = &self.context.committed
            && self.context.settings.has(Fault::ReadLocally)
        {
            let (revision, state) = (committed.value.revision, committed.value.state.clone());
            return self.context.complete(Some(request), Outcome::Value { revision, state });
        }
        self.reader.enqueue(Task { request: Some(request), operation: Operation::Read, deadline });
    }

    /// A peer is reachable: messages that it has not answered are sent again, and it is polled for a newer value.
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

    /// Starts the writes, queries and rounds that can be started, and delivers messages to this replica itself,
    /// until none are left.
    fn run_pending(&mut self) {
        loop {
            self.with_acceptor(Acceptor::persist);
            if self.reader.is_ready() {
                let known = self.newest_proposal();
                self.reader.start_query(&mut self.context, known);
            }
            if self.proposer.is_ready(self.context.now) {
                let known = self.newest_proposal();
                self.proposer.start_round(&mut self.context, known);
            }
            let Some(message) = self.context.local_messages.pop_front() else {
                break;
            };
            self.on_message(self.context.node(), message);
        }
        self.schedule_membership_completion();
    }
}
