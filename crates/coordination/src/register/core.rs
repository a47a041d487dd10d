//! What all parts of a replica share: settings, time, chance, outgoing messages, the newest decided value.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ballot::Ballot;
use super::event::{Outcome, Output, StateMachine};
use super::message::Message;
use super::node::Node;
use super::settings::{Fault, Settings};
use super::value::{Carried, Value};

/// Retransmissions grow apart up to this many retry intervals.
const MAX_RETRY_FACTOR: u32 = 8;

/// Back-off doubles at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A value and the ballot it was accepted at.
#[derive(Debug, Clone, Hash)]
pub(super) struct Proposal {
    pub(super) ballot: Ballot,
    pub(super) value: Value,
}

#[derive(Clone)]
pub(super) struct Core {
    pub(super) settings: Settings,
    pub(super) machine: Arc<dyn StateMachine>,
    pub(super) nonce: u64,
    pub(super) now: Duration,
    pub(super) decided: Option<Proposal>,
    /// Replicas that were sent a value to accept and have not answered since.
    pub(super) unanswered: BTreeSet<Node>,
    pub(super) outputs: VecDeque<Output>,
    pub(super) local: VecDeque<Message>,
    random: SmallRng,
}

/// Settings, the state machine and chance to come tell no two states of one replica apart.
impl Hash for Core {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.nonce, self.now, &self.decided, &self.unanswered, &self.outputs, &self.local).hash(hasher);
    }
}

impl Core {
    pub(super) fn new(settings: Settings, machine: Arc<dyn StateMachine>, nonce: u64, now: Duration) -> Self {
        let random = SmallRng::seed_from_u64(settings.seed ^ nonce);
        Self {
            settings,
            machine,
            nonce,
            now,
            decided: None,
            unanswered: BTreeSet::new(),
            outputs: VecDeque::new(),
            local: VecDeque::new(),
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

    pub(super) fn send(&mut self, to: Node, message: Message) {
        if to == self.node() {
            self.local.push_back(message);
        } else {
            self.outputs.push_back(Output::Send { to, message });
        }
    }

    pub(super) fn done(&mut self, request: Option<u64>, outcome: Outcome) {
        if let Some(request) = request {
            self.outputs.push_back(Output::Done { request, outcome });
        }
    }

    /// A value that another replica sent whole.
    pub(super) fn taken_over(&self, value: Value) -> Value {
        if self.settings.has(Fault::ForgetHistory) { Value { history: Vec::new(), ..value } } else { value }
    }

    /// Takes note of a decided value.
    pub(super) fn learn(&mut self, ballot: Ballot, value: &Value) {
        let known = self.decided.as_ref();
        if known.is_some_and(|known| known.ballot >= ballot) {
            return;
        }
        if known.is_none_or(|known| known.value.revision < value.revision) {
            self.outputs.push_back(Output::Learned { value: value.clone() });
        }
        self.decided = Some(Proposal { ballot, value: value.clone() });
    }

    /// The decided value as a message, if any.
    pub(super) fn decided_message(&self) -> Option<Message> {
        let decided = self.decided.as_ref()?;
        Some(Message::Decided { ballot: decided.ballot, value: Carried::Full(decided.value.clone()) })
    }

    /// A question for a newer decided value.
    pub(super) fn inquiry(&self) -> Message {
        let known = self.decided.is_some();
        let decided = self.decided.as_ref().map_or(Ballot::ZERO, |decided| decided.ballot);
        Message::Inquire { decided, known }
    }

    /// The interval after `interval` between retransmissions.
    pub(super) fn longer(&self, interval: Duration) -> Duration {
        (interval * 2).min(self.settings.retry_interval * MAX_RETRY_FACTOR)
    }

    /// How long a proposer waits that was preempted so many times in a row.
    pub(super) fn backoff(&mut self, failures: u32) -> Duration {
        let longest = self.settings.backoff * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        self.up_to(longest) + self.settings.backoff / 2
    }

    /// A time drawn evenly from zero to `longest`.
    pub(super) fn up_to(&mut self, longest: Duration) -> Duration {
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
