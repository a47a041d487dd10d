//! Replicas of one register with any state machine in simulated time, with counts of the bytes they receive and write.
//!
//! A message takes [`ONE_WAY`]; a write to disk takes no time, and fails while the disk is full. Every committed value
//! that a replica learns is checked: each revision has one value, and no replica learns an older one than before.
#![allow(dead_code)]

pub(crate) mod configuration;
mod member;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use lanegate_coordination::register::{
    Fault, Input, Message, Node, Outcome, Output, Replica, Settings, StateMachine, Status,
};
use member::Member;

/// Delay of a message.
pub(crate) const ONE_WAY: Duration = Duration::from_millis(5);
/// How long a caller waits for an answer, as long as a controller does.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(950);

/// The node of a member.
pub(crate) fn node(index: usize) -> Node {
    Node { ip: u32::try_from(index).expect("the index fits 32 bits"), port: 1 }
}

fn index_of(node: Node) -> usize {
    node.ip as usize
}

/// Creates the state machine for each start of a replica.
pub(crate) type StateMachineFactory = fn() -> Box<dyn StateMachine>;

struct Envelope {
    at: Duration,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Numbers of messages and bytes that a member received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub(crate) struct Cluster {
    pub now: Duration,
    members: Vec<Member>,
    bootstrap_members: usize,
    queue: VecDeque<Envelope>,
    state_machine: StateMachineFactory,
    fault: Option<Fault>,
    starts: u64,
    requests: u64,
    answers: BTreeMap<u64, Outcome>,
    committed: BTreeMap<u64, Bytes>,
}

impl Cluster {
    /// A cluster whose first `bootstrap_members` machines are the initial group; the other machines are spares.
    pub(crate) fn new(bootstrap_members: usize, spares: usize, state_machine: StateMachineFactory) -> Self {
        Self::with_fault(bootstrap_members, spares, state_machine, None)
    }

    /// As [`Cluster::new`], with a defect that is switched on.
    pub(crate) fn with_fault(
        bootstrap_members: usize,
        spares: usize,
        state_machine: StateMachineFactory,
        fault: Option<Fault>,
    ) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            members: (0..bootstrap_members + spares).map(|_| Member::default()).collect(),
            bootstrap_members,
            queue: VecDeque::new(),
            state_machine,
            fault,
            starts: 0,
            requests: 0,
            answers: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        (0..bootstrap_members + spares).for_each(|at| cluster.start(at));
        cluster.run(Duration::from_secs(1));
        cluster
    }

    /// Starts the process of a member with the record on its disk.
    pub(crate) fn start(&mut self, at: usize) {
        let first = self.starts < self.members.len() as u64;
        self.starts += 1;
        let seeds = (0..self.bootstrap_members).map(node).collect();
        let settings = Settings {
            bootstrap: first && at < self.bootstrap_members,
            fault: self.fault,
            seed: at as u64,
            ..Settings::new(node(at), seeds)
        };
        let stored = self.members[at].stored();
        self.members[at].replica =
            Some(Replica::new(settings, (self.state_machine)(), stored, self.now, self.starts));
        self.members[at].newest_committed = None;
        self.flush(at);
        self.connect(at);
    }

    /// Establishes the links of a member to all members that it can reach.
    fn connect(&mut self, at: usize) {
        for other in (0..self.members.len()).filter(|other| *other != at) {
            if self.can_reach(at, other) {
                self.input(at, Input::PeerReachable { node: node(other) });
                self.input(other, Input::PeerReachable { node: node(at) });
            }
        }
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.members[at].kill();
    }

    /// The member loses its process and its disk.
    pub(crate) fn wipe(&mut self, at: usize) {
        self.members[at].kill();
        self.members[at].disk = None;
    }

    /// Suspends the process; messages to it are delivered when it resumes.
    pub(crate) fn freeze(&mut self, at: usize) {
        self.members[at].frozen = true;
    }

    pub(crate) fn thaw(&mut self, at: usize) {
        self.members[at].frozen = false;
        for (from, bytes) in std::mem::take(&mut self.members[at].backlog) {
            self.deliver(from, at, &bytes);
        }
        self.input(at, Input::Tick);
    }

    pub(crate) fn fill_disk(&mut self, at: usize) {
        self.members[at].disk_full = true;
    }

    pub(crate) fn clear_disk(&mut self, at: usize) {
        self.members[at].disk_full = false;
    }

    /// Partitions the members of a set from all others.
    pub(crate) fn partition(&mut self, set: &[usize]) {
        for at in 0..self.members.len() {
            self.members[at].side = u8::from(set.contains(&at));
        }
    }

    /// The partition ends, and the links across it are established again.
    pub(crate) fn heal(&mut self) {
        let apart: Vec<usize> = (0..self.members.len()).filter(|at| self.members[*at].side == 1).collect();
        self.partition(&[]);
        apart.into_iter().for_each(|at| self.connect(at));
    }

    /// The partition ends, but no replica is notified that a peer is reachable again.
    pub(crate) fn heal_silently(&mut self) {
        self.partition(&[]);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.members[from].side == self.members[to].side
    }

    /// Proposes a command at a member; returns the number of the request.
    pub(crate) fn propose(&mut self, at: usize, command: Vec<u8>) -> u64 {
        let deadline = self.now + ANSWER_TIMEOUT;
        self.submit(at, |request| Input::Propose { request, command, deadline })
    }

    /// Requests a read at a member.
    pub(crate) fn read(&mut self, at: usize) -> u64 {
        let deadline = self.now + ANSWER_TIMEOUT;
        self.submit(at, |request| Input::Read { request, deadline })
    }

    /// Requests a membership change at a member.
    pub(crate) fn change_members(&mut self, at: usize, remove: &[usize], add: &[usize]) -> u64 {
        let deadline = self.now + ANSWER_TIMEOUT;
        let nodes = |set: &[usize]| set.iter().copied().map(node).collect();
        let (remove, add) = (nodes(remove), nodes(add));
        self.submit(at, |request| Input::ChangeMembers { request, remove, add, deadline })
    }

    fn submit(&mut self, at: usize, input: impl FnOnce(u64) -> Input) -> u64 {
        self.requests += 1;
        let request = self.requests;
        self.input(at, input(request));
        request
    }

    /// Waits for the answer to a request for at most [`ANSWER_TIMEOUT`].
    pub(crate) fn answer(&mut self, request: u64) -> Option<Outcome> {
        let end = self.now + ANSWER_TIMEOUT;
        while !self.answers.contains_key(&request) && self.advance(end) {}
        self.answers.get(&request).cloned()
    }

    /// The answer to a request, if there is one already.
    pub(crate) fn answered(&self, request: u64) -> Option<&Outcome> {
        self.answers.get(&request)
    }

    /// The newest revision that the present incarnation of a member has learned.
    pub(crate) fn newest_committed(&self, at: usize) -> Option<u64> {
        self.members[at].newest_committed
    }

    /// The newest revision that any member has learned.
    pub(crate) fn newest(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    /// The state of the newest revision that a member has learned.
    pub(crate) fn state(&self, at: usize) -> Bytes {
        self.members[at]
            .newest_committed
            .and_then(|revision| self.committed.get(&revision).cloned())
            .unwrap_or_default()
    }

    pub(crate) fn status(&self, at: usize) -> Option<Status> {
        self.members[at].replica.as_ref().map(Replica::status)
    }

    /// What a member received since the last call.
    pub(crate) fn take_traffic(&mut self, at: usize) -> Traffic {
        std::mem::take(&mut self.members[at].traffic)
    }

    /// Bytes that a member wrote to its disk since the last call.
    pub(crate) fn take_bytes_written(&mut self, at: usize) -> u64 {
        std::mem::take(&mut self.members[at].bytes_written)
    }

    /// The record on a member's disk, encoded; empty if there is none.
    pub(crate) fn record(&self, at: usize) -> Vec<u8> {
        self.members[at].disk.clone().unwrap_or_default()
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.advance(end) {}
        self.now = end;
    }

    /// Advances the time until a member has learned the newest revision; returns how long it took, or `None` if
    /// longer than `longest`.
    pub(crate) fn time_to_catch_up(&mut self, at: usize, longest: Duration) -> Option<Duration> {
        let start = self.now;
        while self.newest_committed(at) != Some(self.newest()) {
            if !self.advance(start + longest) {
                return None;
            }
        }
        Some(self.now - start)
    }

    /// Processes the next message or timer that is due by `end`; false if there is none.
    fn advance(&mut self, end: Duration) -> bool {
        let wake = (0..self.members.len()).filter_map(|at| Some((self.members[at].next_wake()?, at))).min();
        let message = self.queue.front().map(|envelope| envelope.at);
        let next = [wake.map(|(time, _)| time), message].into_iter().flatten().min();
        let Some(next) = next.filter(|next| *next <= end) else {
            self.now = end;
            return false;
        };
        self.now = self.now.max(next);
        match (message, wake) {
            (Some(time), _) if time == next => {
                let envelope = self.queue.pop_front().expect("a message is due");
                self.receive(&envelope);
            }
            (_, Some((_, at))) => self.input(at, Input::Tick),
            _ => {}
        }
        true
    }

    fn receive(&mut self, envelope: &Envelope) {
        let Envelope { from, to, .. } = *envelope;
        if !self.can_reach(from, to) || self.members[to].replica.is_none() {
            return;
        }
        self.members[to].traffic.messages += 1;
        self.members[to].traffic.bytes += envelope.bytes.len() as u64;
        if self.members[to].frozen {
            self.members[to].backlog.push((from, envelope.bytes.clone()));
        } else {
            self.deliver(from, to, &envelope.bytes);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let message = Message::decode(bytes).expect("an encoded message can be decoded");
        self.input(to, Input::Message { from: node(from), message });
    }

    fn input(&mut self, at: usize, input: Input) {
        let now = self.now;
        if let Some(replica) = self.members[at].running() {
            replica.handle(now, input);
            self.flush(at);
        }
    }

    fn flush(&mut self, at: usize) {
        while let Some(output) = self.members[at].running().and_then(Replica::poll_output) {
            match output {
                Output::Send { to, message } => self.send(at, index_of(to), &message),
                Output::Persist { token, record } => {
                    let saved = self.members[at].save(record);
                    let input =
                        if saved { Input::Persisted { token } } else { Input::PersistFailed { token } };
                    self.input(at, input);
                }
                Output::Done { request, outcome } => {
                    self.answers.insert(request, outcome);
                }
                Output::Committed { value } => self.record_committed(at, value.revision, value.state),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        if self.can_reach(from, to) {
            let bytes = message.encode().expect("every message can be encoded");
            self.queue.push_back(Envelope { at: self.now + ONE_WAY, from, to, bytes });
        }
    }

    fn record_committed(&mut self, at: usize, revision: u64, state: Bytes) {
        let before = self.members[at].newest_committed.replace(revision);
        assert!(before < Some(revision), "member {at} learned revision {revision} after {before:?}");
        let known = self.committed.entry(revision).or_insert_with(|| state.clone());
        assert!(*known == state, "revision {revision} has two values");
    }
}
