//! What all parts of a replica share: settings, time, random numbers, outputs, the newest committed value.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ballot::Ballot;
use super::event::{Outcome, Output};
use super::fault::Fault;
use super::message::Message;
use super::node::Node;
use super::settings::Settings;
use super::state_machine::StateMachine;
use super::value::{Value, ValueTransfer};

/// The backoff of a preempted proposer doubles at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A value and the ballot it was accepted at.
#[derive(Debug, Clone, Hash)]
pub(super) struct Proposal {
    pub(super) ballot: Ballot,
    pub(super) value: Value,
}

/// State that all parts of a replica read, and the queue of outputs that they append to.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) settings: Settings,
    pub(super) state_machine: Arc<dyn StateMachine>,
    /// Random number drawn at the start of the process.
    pub(super) nonce: u64,
    /// Reading of the caller's monotonic clock at the latest input.
    pub(super) now: Duration,
    /// The newest value known to be committed.
    pub(super) committed: Option<Proposal>,
    /// Replicas that were sent a value to accept and have not answered since.
    pub(super) unanswered: BTreeSet<Node>,
    pub(super) outputs: VecDeque<Output>,
    /// Messages of this replica to itself.
    pub(super) local_messages: VecDeque<Message>,
    random: SmallRng,
}

/// Settings, state machine and random generator are left out: they are equal in all clones of one replica.
impl Hash for Context {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.nonce, self.now, &self.committed, &self.unanswered, &self.outputs, &self.local_messages)
            .hash(hasher);
    }
}

impl Context {
    pub(super) fn new(
        settings: Settings,
        state_machine: Arc<dyn StateMachine>,
        nonce: u64,
        now: Duration,
    ) -> Self {
        let random = SmallRng::seed_from_u64(settings.seed ^ nonce);
        Self {
            settings,
            state_machine,
            nonce,
            now,
            committed: None,
            unanswered: BTreeSet::new(),
            outputs: VecDeque::new(),
            local_messages: VecDeque::new(),
            random,
        }
    }

    pub(super) fn node(&self) -> Node {
        self.settings.node
    }

    /// The nonce that makes ballots of this process unique.
    pub(super) fn ballot_nonce(&self) -> u64 {
        if self.settings.has(Fault::ReuseBallot) { 0 } else { self.nonce }
    }

    /// Sends a message to another replica or to this one.
    pub(super) fn send(&mut self, to: Node, message: Message) {
        if to == self.node() {
            self.local_messages.push_back(message);
        } else {
            self.outputs.push_back(Output::Send { to, message });
        }
    }

    /// Answers a request; `request` is `None` for an internal task, which has no caller.
    pub(super) fn complete(&mut self, request: Option<u64>, outcome: Outcome) {
        if let Some(request) = request {
            self.outputs.push_back(Output::Done { request, outcome });
        }
    }

    /// A value received from another replica, as this one stores it.
    pub(super) fn adopt(&self, value: Value) -> Value {
        if self.settings.has(Fault::ForgetHistory) { Value { history: Vec::new(), ..value } } else { value }
    }

    /// Records a committed value, unless a newer one is known.
    pub(super) fn record_committed(&mut self, ballot: Ballot, value: &Value) {
        let known = self.committed.as_ref();
        if known.is_some_and(|known| known.ballot >= ballot) {
            return;
        }
        if known.is_none_or(|known| known.value.revision < value.revision) {
            self.outputs.push_back(Output::Committed { value: value.clone() });
        }
        self.committed = Some(Proposal { ballot, value: value.clone() });
    }

    /// The newest committed value as a message, if one is known.
    pub(super) fn committed_message(&self) -> Option<Message> {
        let committed = self.committed.as_ref()?;
        Some(Message::Committed {
            ballot: committed.ballot,
            value: ValueTransfer::Full(committed.value.clone()),
        })
    }

    /// The message that polls for a newer committed value.
    pub(super) fn poll_message(&self) -> Message {
        let known = self.committed.is_some();
        let committed = self.committed.as_ref().map_or(Ballot::ZERO, |committed| committed.ballot);
        Message::PollCommitted { committed, known }
    }

    /// How long a proposer waits after `preemptions` preemptions in a row; random, so that competing
    /// proposers do not preempt each other again.
    pub(super) fn backoff(&mut self, preemptions: u32) -> Duration {
        let longest = self.settings.backoff * (1 << preemptions.min(MAX_BACKOFF_DOUBLINGS));
        self.random_up_to(longest) + self.settings.backoff / 2
    }

    /// A random time, uniform from zero to `longest`.
    pub(super) fn random_up_to(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.random::<f64>())
    }
}

/// The earlier of two wake times.
pub(super) fn earlier(first: Option<Duration>, second: Option<Duration>) -> Option<Duration> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}
