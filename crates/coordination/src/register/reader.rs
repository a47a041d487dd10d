//! Quorum reads: one round trip if a majority holds the newest value, a proposal of the same value otherwise.

use std::time::Duration;

use super::ballot::Ballot;
use super::batch::{Operation, Task, timeout_outcome};
use super::context::{Context, Proposal, earlier};
use super::event::{Applied, Outcome};
use super::message::Message;
use super::node::{MinimumIncarnations, Node};
use super::proposer::Proposer;
use super::quorum::{Votes, members, union};
use super::settings::Fault;
use super::value::{Group, ValueTransfer};

/// Spreads the nonces of successive processes, so that the numbers of their queries lie far apart: an answer to
/// a query of an earlier process must not count, as it may be older than what was acknowledged since.
const NONCE_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a replica told of itself.
#[derive(Clone, Hash)]
struct AcceptorState {
    promised: Ballot,
    accepted: Ballot,
}

#[derive(Clone, Hash)]
struct Query {
    request: u64,
    tasks: Vec<Task>,
    known: Proposal,
    newest: Proposal,
    votes: Votes<AcceptorState>,
    sent_to: Vec<Node>,
    resend_at: Duration,
    interval: Duration,
}

#[derive(Clone, Default, Hash)]
pub(super) struct Reader {
    waiting: Vec<Task>,
    query: Option<Query>,
    /// Queries of this process so far.
    started: u64,
}

impl Reader {
    /// Takes a read, or a command that seems to change nothing.
    pub(super) fn enqueue(&mut self, task: Task) {
        self.waiting.push(task);
    }

    /// Whether a query could start, if the group is known.
    pub(super) fn is_ready(&self) -> bool {
        self.query.is_none() && !self.waiting.is_empty()
    }

    pub(super) fn next_wake(&self) -> Option<Duration> {
        let started = self.query.iter().flat_map(|query| query.tasks.iter());
        let deadline = self.waiting.iter().chain(started).map(|task| task.deadline).min();
        let resend = self.query.as_ref().map(|query| query.resend_at);
        earlier(deadline, resend).filter(|at| *at != Duration::MAX)
    }

    /// Starts a query for all that wait, if none is under way.
    pub(super) fn start_query(&mut self, context: &mut Context, known: Option<Proposal>) {
        if !self.is_ready() {
            return;
        }
        let Some(known) = known else {
            return;
        };
        self.started += 1;
        let mut query = Query {
            request: context.nonce.wrapping_mul(NONCE_SPREAD).wrapping_add(self.started),
            tasks: std::mem::take(&mut self.waiting),
            known: known.clone(),
            newest: known,
            votes: Votes::new(&context.settings),
            sent_to: Vec::new(),
            resend_at: context.now + context.settings.retry_interval,
            interval: context.settings.retry_interval,
        };
        query.send_to_new(context, &query.known.value.members());
        self.query = Some(query);
    }

    pub(super) fn on_read_reply(
        &mut self,
        context: &mut Context,
        proposer: &mut Proposer,
        from: Node,
        request: u64,
        voter: (u64, MinimumIncarnations),
        state: (Ballot, Ballot, ValueTransfer),
    ) {
        let Some(query) = self.query.as_mut().filter(|query| query.request == request) else {
            return;
        };
        let (promised, accepted, value) = state;
        match value.into_value() {
            Some(value) if accepted > query.newest.ballot => {
                query.newest = Proposal { ballot: accepted, value };
            }
            None if accepted > query.newest.ballot => return,
            _ => {}
        }
        query.votes.insert(from, voter.0, voter.1, AcceptorState { promised, accepted });
        let groups = query.groups();
        query.send_to_new(context, &members(&groups));
        if !query.votes.have_majorities(&groups, |_| true) {
            return;
        }
        if query.is_committed(context) {
            self.answer_tasks(context, proposer);
        } else if members(&groups).iter().all(|node| query.votes.counts(*node)) {
            self.hand_to_proposer(proposer);
        }
    }

    /// A replica can be reached again: it is asked again unless it has answered.
    pub(super) fn on_reachable(&self, context: &mut Context, node: Node) {
        if let Some(query) = self.query.as_ref().filter(|query| query.is_awaiting(node)) {
            context.send(node, query.message());
        }
    }

    /// Gives up what is late, asks the silent again, repairs what stays uncommitted.
    pub(super) fn on_tick(&mut self, context: &mut Context, proposer: &mut Proposer) {
        self.expire(context);
        let Some(query) = &mut self.query else {
            return;
        };
        if query.resend_at > context.now {
            return;
        }
        if query.votes.have_majorities(&query.groups(), |_| true) {
            return self.hand_to_proposer(proposer);
        }
        query.interval = context.next_retry_interval(query.interval);
        query.resend_at = context.now + query.interval;
        let silent: Vec<Node> =
            query.sent_to.iter().copied().filter(|node| query.is_awaiting(*node)).collect();
        for node in silent {
            context.send(node, query.message());
        }
    }

    fn expire(&mut self, context: &mut Context) {
        let now = context.now;
        let started = self.query.as_mut().map(|query| &mut query.tasks);
        for tasks in started.into_iter().chain([&mut self.waiting]) {
            for task in tasks.iter_mut().filter(|task| task.deadline <= now) {
                context.complete(task.request.take(), timeout_outcome(&task.operation, false));
            }
            tasks.retain(|task| task.deadline > now);
        }
        self.query.take_if(|query| query.tasks.is_empty());
    }

    /// A committed value learned from elsewhere may settle the query, or show it newer groups.
    pub(super) fn on_committed(&mut self, context: &mut Context, proposer: &mut Proposer) {
        let Some((query, committed)) = self.query.as_mut().zip(context.committed.clone()) else {
            return;
        };
        if committed.ballot < query.newest.ballot {
            return;
        }
        query.known = committed.clone();
        query.newest = committed;
        let groups = query.groups();
        query.send_to_new(context, &members(&groups));
        if query.votes.have_majorities(&groups, |_| true) {
            self.answer_tasks(context, proposer);
        }
    }

    /// Answers with the newest value.
    fn answer_tasks(&mut self, context: &mut Context, proposer: &mut Proposer) {
        let Some(query) = self.query.take() else {
            return;
        };
        let Proposal { ballot, value } = query.newest;
        context.record_committed(ballot, &value);
        for task in query.tasks {
            match &task.operation {
                Operation::Command(command) => match context.state_machine.apply(&value.state, command) {
                    Applied::Changed { .. } => proposer.enqueue(task),
                    Applied::Unchanged { answer } => {
                        context
                            .complete(task.request, Outcome::Unchanged { revision: value.revision, answer });
                    }
                    Applied::Refused { answer } => {
                        context.complete(task.request, Outcome::Refused { revision: value.revision, answer });
                    }
                },
                _ => {
                    let (revision, state) = (value.revision, value.state.clone());
                    context.complete(task.request, Outcome::Value { revision, state });
                }
            }
        }
    }

    /// Leaves the items to the proposer, which gets the newest value committed.
    fn hand_to_proposer(&mut self, proposer: &mut Proposer) {
        for task in self.query.take().into_iter().flat_map(|query| query.tasks) {
            proposer.enqueue(task);
        }
    }
}

impl Query {
    fn message(&self) -> Message {
        Message::ReadQuery { request: self.request, known: self.known.ballot }
    }

    fn is_awaiting(&self, node: Node) -> bool {
        self.sent_to.contains(&node) && !self.votes.counts(node)
    }

    fn groups(&self) -> Vec<Group> {
        union(&self.known.value.groups, &self.newest.value.groups)
    }

    fn send_to_new(&mut self, context: &mut Context, nodes: &[Node]) {
        for node in nodes {
            if !self.sent_to.contains(node) {
                self.sent_to.push(*node);
                context.send(*node, self.message());
            }
        }
    }

    /// Whether the newest value is committed. A recovered replica may hold a value below its promise that it
    /// never voted for, so only those count whose promise is that same ballot.
    fn is_committed(&self, context: &Context) -> bool {
        let newest = self.newest.ballot;
        let known = context.committed.as_ref().is_some_and(|committed| committed.ballot == newest);
        let accepted = |state: &AcceptorState| state.accepted == newest && state.promised == newest;
        known
            || context.settings.has(Fault::ReadUncommitted)
            || self.votes.have_majorities(&self.newest.value.groups, accepted)
    }
}
