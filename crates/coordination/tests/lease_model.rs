//! Model checking of leases: every schedule of a small group up to a bound, with two candidates, three grantors,
//! and any order and loss of messages.
//!
//! The states contain the production state machines, so the program itself is checked and not a description of it.
//! Messages are never removed from the network: each may arrive at any time after it was sent, any number of times,
//! or never. A process that takes no step for some time corresponds to a suspended one.

use lanegate_coordination::lease::{GrantorStart, LeaseMessage, LeaseNode, LeaseSettings, Output, Tenure};
use lanegate_coordination::membership::NodeId;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

const SHARD: u32 = 1;
const MEMBERS: u8 = 3;
/// Step by which the clocks of all processes advance.
const TICK: Duration = Duration::from_millis(100);
/// A holder may act at the tick of its round and at the next.
const VALIDITY: Duration = Duration::from_millis(101);
/// Just below two ticks, so that what a grantor adds for drift costs no further tick.
const QUIET_PERIOD: Duration = Duration::from_millis(198);
const QUIET_TICKS: u32 = 2;
/// Number of ticks after which a schedule ends.
const HORIZON_TICKS: u32 = 4;
/// Largest number of timer wake-ups of each process in a schedule: one holder with a renewal, one candidate that
/// waits for its end.
const MAX_ROUNDS: [u8; MEMBERS as usize] = [1, 1, 0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Delivery {
    Message { from: u8, to: u8, bytes: Vec<u8> },
    Epoch { to: u8, incarnation: u64, tenure: Tenure, epoch: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LastAction {
    tick: u32,
    holder: NodeId,
    epoch: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u32,
    nodes: Vec<Arc<LeaseNode>>,
    /// Pairs of processes that can reach each other.
    links: &'static [(u8, u8)],
    incarnations: Vec<u64>,
    rounds: Vec<u8>,
    network: BTreeSet<Arc<Delivery>>,
    last_epoch: u64,
    last_action: Option<LastAction>,
    change_made: bool,
    handed_over: bool,
    violated: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    Tick,
    Wake(u8),
    Act(u8),
    Deliver(Arc<Delivery>),
    /// Stops being a candidate.
    Withdraw(u8),
    Restart(u8),
}

struct LeaseModel {
    settings: LeaseSettings,
    links: &'static [(u8, u8)],
    /// Actions of which a schedule contains at most one.
    changes: &'static [Action],
}

fn address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7000)
}

fn index_of(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4 addresses"),
    }
}

impl State {
    fn now(&self) -> Duration {
        TICK * self.tick
    }

    fn id(&self, index: u8) -> NodeId {
        NodeId::new(address(index), self.incarnations[usize::from(index)])
    }

    fn node(&mut self, index: u8) -> &mut LeaseNode {
        Arc::make_mut(&mut self.nodes[usize::from(index)])
    }

    fn may_wake(&self, index: u8) -> bool {
        let slot = usize::from(index);
        let due = self.nodes[slot].next_wake().is_some_and(|wake| wake <= self.now());
        due && self.rounds[slot] < MAX_ROUNDS[slot]
    }

    fn may_act(&self, index: u8) -> bool {
        self.nodes[usize::from(index)].current_epoch(self.now(), SHARD, Duration::ZERO).is_some()
    }

    fn send(&mut self, from: u8, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let bytes = message.encode().expect("every message can be encoded");
                    let to = index_of(to);
                    if self.links.contains(&(from.min(to), from.max(to))) {
                        self.network.insert(Arc::new(Delivery::Message { from, to, bytes }));
                    }
                }
                Output::AcquireEpoch { tenure, .. } => {
                    self.last_epoch += 1;
                    let incarnation = self.incarnations[usize::from(from)];
                    let epoch = self.last_epoch;
                    self.network.insert(Arc::new(Delivery::Epoch { to: from, incarnation, tenure, epoch }));
                }
                Output::Began { .. } | Output::Ended { .. } => {}
            }
        }
    }

    fn deliver(&mut self, delivery: &Delivery) {
        let now = self.now();
        match delivery {
            Delivery::Message { from, to, bytes } => {
                let message = LeaseMessage::decode(bytes).expect("an encoded message can be decoded");
                let from = address(*from).into();
                let outputs = self.node(*to).on_message(now, from, &message);
                self.send(*to, outputs);
            }
            Delivery::Epoch { to, incarnation, tenure, epoch } => {
                if self.incarnations[usize::from(*to)] == *incarnation {
                    let outputs = self.node(*to).epoch_acquired(now, SHARD, *tenure, *epoch);
                    self.send(*to, outputs);
                }
            }
        }
    }

    /// Acts if the lease allows it, and records whether the action violates a rule.
    fn act(&mut self, index: u8) {
        let now = self.now();
        let Some(epoch) = self.node(index).authorize(now, SHARD, Duration::ZERO) else { return };
        let action = LastAction { tick: self.tick, holder: self.id(index), epoch };
        if let Some(last) = &self.last_action {
            let other = last.holder != action.holder;
            let too_early = other && action.tick - last.tick < QUIET_TICKS;
            let reuses_epoch = other && action.epoch <= last.epoch;
            self.violated |= too_early || reuses_epoch || action.epoch < last.epoch;
            self.handed_over |= other;
        }
        self.last_action = Some(action);
    }
}

impl LeaseModel {
    fn new(links: &'static [(u8, u8)], changes: &'static [Action]) -> Self {
        let settings = LeaseSettings {
            validity: VALIDITY,
            quiet_period: QUIET_PERIOD,
            round_interval: TICK / 2,
            margin: Duration::ZERO,
            clock_drift_ppm: 0,
        };
        settings.check().expect("the settings are consistent");
        LeaseModel { settings, links, changes }
    }

    fn start(&self, id: NodeId, start: GrantorStart, now: Duration) -> Arc<LeaseNode> {
        let mut node = LeaseNode::new(self.settings.clone(), id, start, now);
        let members: Vec<_> = (0..MEMBERS).map(|index| address(index).into()).collect();
        node.set_group(now, SHARD, 1, &members);
        Arc::new(node)
    }

    fn restart(&self, state: &mut State, index: u8) {
        let slot = usize::from(index);
        state.incarnations[slot] += 1;
        state.change_made = true;
        state.nodes[slot] = self.start(state.id(index), GrantorStart::Restarted, state.now());
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let id = |index| NodeId::new(address(index), 1);
        let mut state = State {
            tick: 0,
            nodes: (0..MEMBERS)
                .map(|index| self.start(id(index), GrantorStart::First, Duration::ZERO))
                .collect(),
            links: self.links,
            incarnations: vec![1; usize::from(MEMBERS)],
            rounds: vec![0; usize::from(MEMBERS)],
            network: BTreeSet::new(),
            last_epoch: 0,
            last_action: None,
            change_made: false,
            handed_over: false,
            violated: false,
        };
        for index in 0..2 {
            let outputs = state.node(index).set_candidate(Duration::ZERO, SHARD, true);
            state.send(index, outputs);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        for index in 0..MEMBERS {
            actions.extend(state.may_wake(index).then_some(Action::Wake(index)));
            actions.extend(state.may_act(index).then_some(Action::Act(index)));
        }
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
        if !state.change_made {
            actions.extend(self.changes.iter().cloned());
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now();
        match action {
            Action::Tick => state.tick += 1,
            Action::Wake(index) => {
                state.rounds[usize::from(index)] += 1;
                let outputs = state.node(index).on_tick(now);
                state.send(index, outputs);
            }
            Action::Act(index) => state.act(index),
            Action::Deliver(delivery) => state.deliver(&delivery),
            Action::Withdraw(index) => {
                state.change_made = true;
                let outputs = state.node(index).set_candidate(now, SHARD, false);
                state.send(index, outputs);
            }
            Action::Restart(index) => self.restart(&mut state, index),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the quiet period is kept and epochs increase", |_, state| {
                !state.violated
            }),
            Property::<Self>::sometimes("a second holder acts", |_, state| state.handed_over),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.tick <= HORIZON_TICKS && (state.tick == 0 || state.rounds[0] > 0)
    }
}

/// Explores all schedules. The test fails if one violates a rule. It also fails if a second holder acts in none, as
/// the bounds would then be too small for the check to be meaningful.
fn explore(links: &'static [(u8, u8)], changes: &'static [Action]) {
    LeaseModel::new(links, changes).checker().spawn_dfs().join().assert_properties();
}

#[test]
fn a_restarted_grantor_preserves_the_quiet_period() {
    explore(&[(0, 2), (1, 2)], &[Action::Restart(2)]);
}

#[test]
fn the_next_holder_waits_for_the_quiet_period_after_a_withdrawal() {
    explore(&[(0, 2), (1, 2)], &[Action::Withdraw(0)]);
}

#[test]
fn a_candidate_that_granted_to_the_holder_waits_for_the_quiet_period() {
    explore(&[(0, 1)], &[Action::Withdraw(0), Action::Restart(1)]);
}
