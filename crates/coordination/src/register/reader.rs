//! Quorum reads: one round trip if a majority holds the newest value, a proposal of the same value otherwise.

use std::time::Duration;

use super::ballot::Ballot;
use super::context::{Context, Proposal, earlier};
use super::event::Outcome;
use super::fault::Fault;
use super::group::Group;
use super::incarnation::Voter;
use super::message::Message;
use super::node::Node;
use super::quorum::{Votes, members, union};
use super::retry::RetryTimer;
use super::state_machine::Applied;
use super::task::{Operation, Task};
use super::value::{Value, ValueTransfer};

/// Multiplied with the nonce of the process, so that the query numbers of successive processes lie far apart. An
/// answer to a query of an earlier process must not count, as it may be older than changes acknowledged since.
const NONCE_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The state of a replica as it replied to a query.
pub(super) struct ReadReply {
    pub(super) voter: Voter,
    pub(super) promised: Ballot,
    pub(super) accepted: Ballot,
    pub(super) value: ValueTransfer,
}

/// The ballots that a replica reported in its reply.
#[derive(Clone, Hash)]
struct AcceptorState {
    promised: Ballot,
    accepted: Ballot,
}

/// One query in flight, which serves several tasks.
#[derive(Clone, Hash)]
struct Query {
    request: u64,
    tasks: Vec<Task>,
    /// The newest value that was known here at the start, or was committed since.
    known: Proposal,
    /// The newest value that was found.
    newest: Proposal,
    votes: Votes<AcceptorState>,
    sent_to: Vec<Node>,
    retry: RetryTimer,
}

/// Tasks that a read could not answer and that have to be proposed.
pub(super) type TasksToPropose = Vec<Task>;

#[derive(Clone, Default, Hash)]
pub(super) struct Reader {
    waiting: Vec<Task>,
    query: Option<Query>,
    /// Number of queries that this process has started.
    started: u64,
}

impl Reader {
    /// Queues a read, or a command that seems to change nothing.
    pub(super) fn enqueue(&mut self, task: Task) {
        self.waiting.push(task);
    }

    /// Whether a query could start, if a group is known.
    pub(super) fn is_ready(&self) -> bool {
        self.query.is_none() && !self.waiting.is_empty()
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let started = self.query.iter().flat_map(|query| query.tasks.iter());
        let deadline = self.waiting.iter().chain(started).map(|task| task.deadline).min();
        let retry = self.query.as_ref().map(|query| query.retry.due_at());
        earlier(deadline, retry).filter(|at| *at != Duration::MAX)
    }

    /// Starts a query for all waiting tasks, if none is in flight.
    pub(super) fn start_query(&mut self, context: &mut Context, known: Option<Proposal>) {
        let Some(known) = known.filter(|_| self.is_ready()) else {
            return;
        };
        self.started += 1;
        let mut query = Query {
            request: context.nonce.wrapping_mul(NONCE_MULTIPLIER).wrapping_add(self.started),
            tasks: std::mem::take(&mut self.waiting),
            known: known.clone(),
            newest: known,
            votes: Votes::new(&context.settings),
            sent_to: Vec::new(),
            retry: RetryTimer::start(context),
        };
        query.send_to_new(context, &query.known.value.members());
        self.query = Some(query);
    }

    /// Counts a reply; answers the tasks once the newest value is known to be committed.
    pub(super) fn on_read_reply(
        &mut self,
        context: &mut Context,
        from: Node,
        request: u64,
        reply: ReadReply,
    ) -> TasksToPropose {
        let Some(query) = self.query.as_mut().filter(|query| query.request == request) else {
            return Vec::new();
        };
        let ReadReply { voter, promised, accepted, value } = reply;
        match value.into_value() {
            Some(value) if accepted > query.newest.ballot => {
                query.newest = Proposal { ballot: accepted, value };
            }
            None if accepted > query.newest.ballot => return Vec::new(),
            _ => {}
        }
        query.votes.insert(from, voter, AcceptorState { promised, accepted });
        let groups = query.groups();
        query.send_to_new(context, &members(&groups));
        if !query.votes.have_majorities(&groups, |_| true) {
            return Vec::new();
        }
        if query.is_committed(context) {
            self.answer_tasks(context)
        } else if members(&groups).iter().all(|node| query.votes.counts(*node)) {
            self.abandon_query()
        } else {
            Vec::new()
        }
    }

    /// A replica is reachable again: the query is sent to it again unless it has replied.
    pub(super) fn on_reachable(&self, context: &mut Context, node: Node) {
        if let Some(query) = self.query.as_ref().filter(|query| query.is_awaiting(node)) {
            context.send(node, query.message());
        }
    }

    /// Expires tasks and sends the query again to those that have not replied. A query that a majority has
    /// answered without showing the newest value to be committed is abandoned.
    pub(super) fn on_tick(&mut self, context: &mut Context) -> TasksToPropose {
        self.expire_tasks(context);
        let Some(query) = self.query.as_mut().filter(|query| query.retry.is_due(context)) else {
            return Vec::new();
        };
        if query.votes.have_majorities(&query.groups(), |_| true) {
            return self.abandon_query();
        }
        query.retry.back_off(context);
        for node in query.sent_to.iter().filter(|node| query.is_awaiting(**node)) {
            context.send(*node, query.message());
        }
        Vec::new()
    }

    fn expire_tasks(&mut self, context: &mut Context) {
        let now = context.now;
        let started = self.query.as_mut().map(|query| &mut query.tasks);
        for tasks in started.into_iter().chain([&mut self.waiting]) {
            for task in tasks.iter_mut().filter(|task| task.deadline <= now) {
                context.complete(task.request.take(), task.timeout_outcome(false));
            }
            tasks.retain(|task| task.deadline > now);
        }
        self.query.take_if(|query| query.tasks.is_empty());
    }

    /// A committed value that was learned from elsewhere may complete the query, or show it newer groups.
    pub(super) fn on_committed(&mut self, context: &mut Context) -> TasksToPropose {
        let Some((query, committed)) = self.query.as_mut().zip(context.committed.clone()) else {
            return Vec::new();
        };
        if committed.ballot < query.newest.ballot {
            return Vec::new();
        }
        query.known = committed.clone();
        query.newest = committed;
        let groups = query.groups();
        query.send_to_new(context, &members(&groups));
        if query.votes.have_majorities(&groups, |_| true) { self.answer_tasks(context) } else { Vec::new() }
    }

    /// Answers the tasks from the newest value; returns the commands that would change it.
    fn answer_tasks(&mut self, context: &mut Context) -> TasksToPropose {
        let Some(query) = self.query.take() else {
            return Vec::new();
        };
        let Proposal { ballot, value } = query.newest;
        context.record_committed(ballot, &value);
        let mut to_propose = Vec::new();
        for task in query.tasks {
            match read_outcome(context, &task, &value) {
                Some(outcome) => context.complete(task.request, outcome),
                None => to_propose.push(task),
            }
        }
        to_propose
    }

    /// Abandons the query and returns its tasks: the proposer has to get the newest value committed.
    fn abandon_query(&mut self) -> TasksToPropose {
        self.query.take().map(|query| query.tasks).unwrap_or_default()
    }
}

/// The outcome of a task that changes nothing; `None` for a command that would change the value.
fn read_outcome(context: &Context, task: &Task, value: &Value) -> Option<Outcome> {
    let revision = value.revision;
    let Operation::Command(command) = &task.operation else {
        return Some(Outcome::Value { revision, state: value.state.clone() });
    };
    match context.state_machine.apply(&value.state, command) {
        Applied::Changed { .. } => None,
        Applied::Unchanged { answer } => Some(Outcome::Unchanged { revision, answer }),
        Applied::Refused { answer } => Some(Outcome::Refused { revision, answer }),
    }
}

impl Query {
    fn message(&self) -> Message {
        Message::ReadQuery { request: self.request, known: self.known.ballot }
    }

    fn is_awaiting(&self, node: Node) -> bool {
        self.sent_to.contains(&node) && !self.votes.counts(node)
    }

    /// Groups of which a majority has to reply.
    fn groups(&self) -> Vec<Group> {
        union(&self.known.value.groups, &self.newest.value.groups)
    }

    /// Sends the query to the nodes that it was not sent to before.
    fn send_to_new(&mut self, context: &mut Context, nodes: &[Node]) {
        for node in nodes {
            if !self.sent_to.contains(node) {
                self.sent_to.push(*node);
                context.send(*node, self.message());
            }
        }
    }

    /// Whether the newest value is committed. A recovered replica may hold a value below its promise that it
    /// never voted for, so only replicas count whose promise equals its ballot.
    fn is_committed(&self, context: &Context) -> bool {
        let newest = self.newest.ballot;
        let known = context.committed.as_ref().is_some_and(|committed| committed.ballot == newest);
        let accepted = |state: &AcceptorState| state.accepted == newest && state.promised == newest;
        known
            || context.settings.has(Fault::ReadUncommitted)
            || self.votes.have_majorities(&self.newest.value.groups, accepted)
    }
}
