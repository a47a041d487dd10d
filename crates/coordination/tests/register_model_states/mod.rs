//! The replicas of a register as a model for a model checker: states, actions and properties.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use lanegate_coordination::register::{
    Applied, Ballot, Fault, Input, Message, Node, Outcome, Output, Record, Replica, Settings, StateMachine,
    Value, ValueTransfer,
};
use stateright::{Model, Property};

const BOOTSTRAP_MEMBERS: usize = 3;
const REPLICAS: usize = 4;
const PROPOSERS: [usize; 2] = [2, 3];
pub(crate) const A: usize = 0;
pub(crate) const B: usize = 1;
const D: usize = 3;

struct Append;

impl StateMachine for Append {
    fn apply(&self, current: &[u8], command: &[u8]) -> Applied {
        Applied::Changed { state: [current, command].concat(), answer: Vec::new() }
    }
}

fn node(index: usize) -> Node {
    Node { ip: index as u32, port: 1 }
}

fn bootstrap_members() -> Vec<Node> {
    (0..BOOTSTRAP_MEMBERS).map(node).collect()
}

/// A message in flight, compared and ordered by its encoded bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Envelope {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A fault of a bootstrap member that is not a proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultStep {
    Wipe(usize),
    Restart(usize),
}

impl FaultStep {
    fn target(self) -> usize {
        match self {
            FaultStep::Wipe(target) | FaultStep::Restart(target) => target,
        }
    }
}

/// The change that the first proposer requests; the second one always proposes a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Command,
    /// `a` leaves.
    Leave,
    /// `d` replaces `a`.
    Replace,
}

impl Change {
    fn input(self, proposer: usize) -> Input {
        let (request, deadline) = (proposer as u64, Duration::MAX);
        let members = |add| Input::ChangeMembers { request, remove: vec![node(A)], add, deadline };
        match self {
            Change::Command => Input::Propose { request, command: vec![command_of(proposer)], deadline },
            Change::Leave => members(Vec::new()),
            Change::Replace => members(vec![node(D)]),
        }
    }
}

/// The command of a proposer.
fn command_of(proposer: usize) -> u8 {
    b'a' + proposer as u8
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    Deliver(Envelope),
    Propose(usize),
    FaultStep,
}

#[derive(Clone)]
pub(crate) struct State {
    replicas: Vec<Arc<Replica>>,
    disks: Vec<Option<Record>>,
    network: BTreeSet<Envelope>,
    proposed: Vec<usize>,
    /// Proposers of acknowledged changes, and the acknowledged revisions.
    acknowledged: BTreeMap<usize, u64>,
    /// Number of faults injected so far.
    faults: usize,
    values: BTreeMap<u64, Vec<u8>>,
    /// Members of the newest committed value.
    members: Vec<Node>,
    violated: bool,
}

impl fmt::Debug for State {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "values {:?}, acknowledged {:?}", self.values, self.acknowledged)
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for replica in &self.replicas {
            replica.hash(hasher);
        }
        (&self.network, &self.proposed, &self.acknowledged, self.faults).hash(hasher);
        (&self.values, &self.members, self.violated).hash(hasher);
    }
}

fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        fingerprint(self) == fingerprint(other)
    }
}

impl State {
    fn input(&mut self, index: usize, input: Input) {
        Arc::make_mut(&mut self.replicas[index]).handle(Duration::ZERO, input);
        self.flush(index);
    }

    /// Delivers all messages, so that `d` registers with the bootstrap members and is then able to vote.
    fn deliver_all(&mut self) {
        while let Some(Envelope { from, to, bytes }) = self.network.pop_first() {
            let message = Message::decode(&bytes).unwrap();
            self.input(to, Input::Message { from: node(from), message });
        }
    }

    fn flush(&mut self, index: usize) {
        while let Some(output) = Arc::make_mut(&mut self.replicas[index]).poll_output() {
            match output {
                Output::Send { to, message } => self.send(index, to.ip as usize, &message),
                Output::Persist { token, record } => {
                    self.disks[index] = Some(record);
                    Arc::make_mut(&mut self.replicas[index])
                        .handle(Duration::ZERO, Input::Persisted { token });
                }
                Output::Done { request, outcome: Outcome::Changed { revision, .. } } => {
                    self.acknowledged.insert(request as usize, revision);
                }
                Output::Done { .. } => {}
                Output::Committed { value } => self.learn(value),
            }
        }
    }

    /// Reads, rejections and announcements of commits are omitted: they change no vote.
    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let reads = matches!(message, Message::ReadQuery { .. } | Message::ReadReply { .. });
        let is_announcement = matches!(message, Message::PollCommitted { .. } | Message::Committed { .. });
        let is_omitted = reads || is_announcement || matches!(message, Message::Rejected { .. });
        if !is_omitted {
            self.network.insert(Envelope { from, to, bytes: message.encode().unwrap() });
        }
    }

    /// Checks that each revision has one value, which builds on the one before.
    fn learn(&mut self, value: Value) {
        let state = value.state.to_vec();
        if self.values.last_key_value().is_none_or(|(newest, _)| *newest < value.revision) {
            self.members = value.newest_group().to_vec();
        }
        let known = self.values.entry(value.revision).or_insert_with(|| state.clone());
        let same = *known == state;
        let built = self
            .values
            .values()
            .zip(self.values.values().skip(1))
            .all(|(first, next)| next.starts_with(first));
        self.violated |= !same || !built;
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Register {
    pub change: Change,
    /// Faults, injected in this order, each at any time.
    pub faults: Vec<FaultStep>,
    pub fault: Option<Fault>,
}

impl Register {
    fn replica(&self, index: usize, bootstrap: bool, stored: Option<Record>, nonce: u64) -> Replica {
        let settings =
            Settings { bootstrap, fault: self.fault, ..Settings::new(node(index), bootstrap_members()) };
        Replica::new(settings, Box::new(Append), stored, Duration::ZERO, nonce)
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let replicas =
            (0..REPLICAS).map(|index| Arc::new(self.replica(index, index < BOOTSTRAP_MEMBERS, None, 1)));
        let mut state = State {
            replicas: replicas.collect(),
            disks: vec![None; REPLICAS],
            network: BTreeSet::new(),
            proposed: Vec::new(),
            acknowledged: BTreeMap::new(),
            faults: 0,
            values: BTreeMap::new(),
            members: bootstrap_members(),
            violated: false,
        };
        (0..REPLICAS).for_each(|index| state.flush(index));
        let value = ValueTransfer::Full(Value::initial(bootstrap_members(), bytes::Bytes::new()));
        let message = Message::Committed { ballot: Ballot::ZERO, value };
        state.input(BOOTSTRAP_MEMBERS, Input::Message { from: node(1), message });
        state.deliver_all();
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
        let idle = PROPOSERS.into_iter().filter(|index| !state.proposed.contains(index));
        actions.extend(idle.map(Action::Propose));
        if state.faults < self.faults.len() {
            actions.push(Action::FaultStep);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(envelope) => {
                state.network.remove(&envelope);
                let Envelope { from, to, bytes } = envelope;
                let before = (fingerprint(&last.replicas[to]), last.network.len());
                let message = Message::decode(&bytes).unwrap();
                state.input(to, Input::Message { from: node(from), message });
                // A delivery without effect leads to the same state as the loss of the message.
                let after = (fingerprint(&state.replicas[to]), state.network.len() + 1);
                (before != after).then_some(state)
            }
            Action::Propose(index) => {
                state.proposed.push(index);
                state.proposed.sort_unstable();
                let change = if index == PROPOSERS[0] { self.change } else { Change::Command };
                state.input(index, change.input(index));
                Some(state)
            }
            Action::FaultStep => {
                let fault_step = self.faults[state.faults];
                state.faults += 1;
                let target = fault_step.target();
                let stored =
                    state.disks[target].take().filter(|_| matches!(fault_step, FaultStep::Restart(_)));
                state.disks[target].clone_from(&stored);
                let nonce = 1 + state.faults as u64;
                state.replicas[target] = Arc::new(self.replica(target, false, stored, nonce));
                state.flush(target);
                Some(state)
            }
        }
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one value for each revision", |_, state: &State| !state.violated),
            Property::always("an acknowledged change is present", |model: &Register, state: &State| {
                state.acknowledged.iter().all(|(proposer, revision)| {
                    let is_command = *proposer != PROPOSERS[0] || model.change == Change::Command;
                    !is_command
                        || state
                            .values
                            .get(revision)
                            .is_some_and(|v| v.last() == Some(&command_of(*proposer)))
                })
            }),
            Property::sometimes("both changes are acknowledged", |_, state: &State| {
                state.acknowledged.len() == PROPOSERS.len()
            }),
            Property::sometimes("the requested members are in force", |model: &Register, state: &State| {
                let a_is_member = state.members.contains(&node(A));
                let d_is_member = state.members.contains(&node(D));
                match model.change {
                    Change::Command => true,
                    Change::Leave => !a_is_member && state.members.len() == BOOTSTRAP_MEMBERS - 1,
                    Change::Replace => {
                        !a_is_member && d_is_member && state.members.len() == BOOTSTRAP_MEMBERS
                    }
                }
            }),
        ]
    }
}
