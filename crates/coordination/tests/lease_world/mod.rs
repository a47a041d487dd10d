//! A simulated group of processes that may be candidates for the lease of one shard, and act while they hold it.

pub(crate) mod schedule;

use lanegate_coordination::lease::{GrantorStart, LeaseMessage, LeaseNode, LeaseSettings, Output, Tenure};
use lanegate_coordination::membership::NodeId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// The shard whose lease these tests use.
pub(crate) const SHARD: u32 = 7;
/// Resolution of the simulated time.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Longest time that an action takes to arrive.
pub(crate) const DELIVERY_TIME: Duration = Duration::from_millis(40);
/// The quiet period of these tests.
pub(crate) const QUIET_PERIOD: Duration = Duration::from_secs(3);
/// True time at which every world starts; above zero, as the clocks of processes may be behind it.
const START: Duration = Duration::from_secs(100);
const MILLION: i64 = 1_000_000;

/// A small random generator, so that a schedule is a function of its seed.
pub(crate) struct TestRandom(u64);

impl TestRandom {
    pub(crate) fn new(seed: u64) -> Self {
        TestRandom(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound
    }

    pub(crate) fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }
}

/// An action, as its endpoint received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Action {
    pub arrival: Duration,
    pub holder: NodeId,
    pub epoch: u64,
}

/// Delay, loss and duplication of messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    pub min_delay: Duration,
    pub max_delay: Duration,
    /// One in this many messages is lost; 0 for none.
    pub lost_one_in: u64,
    /// One in this many messages is duplicated; 0 for none.
    pub duplicated_one_in: u64,
}

pub(crate) const HEALTHY_NETWORK: Network = Network {
    min_delay: Duration::from_millis(1),
    max_delay: Duration::from_millis(6),
    lost_one_in: 0,
    duplicated_one_in: 0,
};

enum Delivery {
    Message { from: SocketAddr, message: LeaseMessage },
    Epoch { incarnation: u64, tenure: Tenure, epoch: u64 },
}

struct InFlight {
    due: Duration,
    to: usize,
    delivery: Delivery,
}

struct Process {
    address: SocketAddrV4,
    incarnation: u64,
    rate_ppm: i64,
    up: bool,
    frozen: bool,
    is_candidate: bool,
    node: LeaseNode,
}

/// An output of a process and its true time.
pub(crate) struct Observation {
    pub at: Duration,
    pub process: usize,
    pub output: Output,
}

pub(crate) struct World {
    pub now: Duration,
    pub network: Network,
    pub actions: Vec<Action>,
    settings: LeaseSettings,
    processes: Vec<Process>,
    side: Vec<bool>,
    in_flight: Vec<InFlight>,
    /// All outputs of the processes.
    pub observations: Vec<Observation>,
    last_epoch: u64,
    random: TestRandom,
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)
}

impl World {
    /// A first start of as many processes as there are clock rates (ppm from true time).
    pub(crate) fn new(seed: u64, rates_ppm: &[i64]) -> Self {
        World::with_settings(seed, rates_ppm, LeaseSettings::for_quiet_period(QUIET_PERIOD))
    }

    pub(crate) fn with_settings(seed: u64, rates_ppm: &[i64], settings: LeaseSettings) -> Self {
        settings.check().expect("the settings are consistent");
        let mut world = World {
            now: START,
            network: HEALTHY_NETWORK,
            actions: Vec::new(),
            settings,
            processes: Vec::new(),
            side: vec![false; rates_ppm.len()],
            in_flight: Vec::new(),
            observations: Vec::new(),
            last_epoch: 0,
            random: TestRandom::new(seed),
        };
        for (index, rate_ppm) in rates_ppm.iter().enumerate() {
            let node = world.start(index, 1, *rate_ppm, GrantorStart::First);
            let address = address(index);
            world.processes.push(Process {
                address,
                incarnation: 1,
                rate_ppm: *rate_ppm,
                up: true,
                frozen: false,
                is_candidate: false,
                node,
            });
        }
        world
    }

    pub(crate) fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    pub(crate) fn members(&self) -> Vec<SocketAddr> {
        (0..self.side.len()).map(|index| address(index).into()).collect()
    }

    pub(crate) fn id(&self, index: usize) -> NodeId {
        NodeId::new(self.processes[index].address, self.processes[index].incarnation)
    }

    fn start(&self, index: usize, incarnation: u64, rate_ppm: i64, start: GrantorStart) -> LeaseNode {
        let now = local_time(self.now, rate_ppm);
        let id = NodeId::new(address(index), incarnation);
        let mut node = LeaseNode::new(self.settings.clone(), id, start, now);
        node.set_group(now, SHARD, 1, &self.members());
        node
    }

    pub(crate) fn set_candidate(&mut self, index: usize, is_candidate: bool) {
        self.processes[index].is_candidate = is_candidate;
        if self.is_running(index) {
            self.apply_candidate(index);
        }
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        self.processes[index].frozen = true;
    }

    /// Resumes a frozen process. It first tries to act, as its lease may still seem valid to it.
    pub(crate) fn thaw(&mut self, index: usize) {
        self.processes[index].frozen = false;
        self.act(index);
        self.apply_candidate(index);
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.processes[index].up = false;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let incarnation = self.processes[index].incarnation + 1;
        let node = self.start(index, incarnation, self.processes[index].rate_ppm, GrantorStart::Restarted);
        let process = &mut self.processes[index];
        process.incarnation = incarnation;
        process.node = node;
        process.up = true;
        process.frozen = false;
        self.apply_candidate(index);
    }

    /// Moves a process to one side of a partition; messages pass within a side only.
    pub(crate) fn set_partition_side(&mut self, index: usize, side: bool) {
        self.side[index] = side;
    }

    pub(crate) fn heal(&mut self) {
        self.side.fill(false);
    }

    pub(crate) fn is_up(&self, index: usize) -> bool {
        self.processes[index].up
    }

    pub(crate) fn is_frozen(&self, index: usize) -> bool {
        self.processes[index].frozen
    }

    fn is_running(&self, index: usize) -> bool {
        self.processes[index].up && !self.processes[index].frozen
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.processes.len() {
            if self.random.one_in(2) {
                self.act(index);
            }
        }
        self.deliver();
        for index in 0..self.processes.len() {
            self.wake(index);
            self.act(index);
        }
    }

    /// The process that acted last.
    pub(crate) fn last_holder(&self) -> Option<NodeId> {
        self.actions.last().map(|action| action.holder)
    }

    pub(crate) fn actions_of(&self, holder: NodeId) -> Vec<Action> {
        self.actions.iter().copied().filter(|action| action.holder == holder).collect()
    }

    /// Whether two holders acted within the quiet period, or an epoch did not rise from holder to holder.
    pub(crate) fn violation(&self) -> Option<(Action, Action)> {
        let mut actions = self.actions.clone();
        actions.sort_by_key(|action| action.arrival);
        actions.windows(2).map(|pair| (pair[0], pair[1])).find(|(one, next)| {
            let other = one.holder != next.holder;
            let too_early = other && next.arrival - one.arrival < QUIET_PERIOD;
            let reuses_epoch = other && next.epoch <= one.epoch;
            too_early || reuses_epoch || next.epoch < one.epoch
        })
    }

    fn local_now(&self, index: usize) -> Duration {
        local_time(self.now, self.processes[index].rate_ppm)
    }

    fn apply_candidate(&mut self, index: usize) {
        let now = self.local_now(index);
        let is_candidate = self.processes[index].is_candidate;
        let outputs = self.processes[index].node.set_candidate(now, SHARD, is_candidate);
        self.send(index, outputs);
    }

    fn wake(&mut self, index: usize) {
        let now = self.local_now(index);
        let due = self.processes[index].node.next_wake().is_some_and(|wake| wake <= now);
        if due && self.is_running(index) {
            let outputs = self.processes[index].node.on_tick(now);
            self.send(index, outputs);
        }
    }

    fn act(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.local_now(index);
        let Some(epoch) = self.processes[index].node.authorize(now, SHARD, DELIVERY_TIME) else { return };
        let delay = Duration::from_millis(self.random.below(DELIVERY_TIME.as_millis() as u64 - 1));
        let action = Action { arrival: self.now + delay, holder: self.id(index), epoch };
        self.actions.push(action);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.in_flight.extract_if(.., |delivery| delivery.due <= now).collect();
        due.sort_by_key(|delivery| delivery.due);
        for delivery in due {
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: InFlight) {
        let index = delivery.to;
        if !self.processes[index].up {
            return;
        }
        if self.processes[index].frozen {
            self.in_flight.push(delivery);
            return;
        }
        let now = self.local_now(index);
        let process = &mut self.processes[index];
        let outputs = match delivery.delivery {
            Delivery::Message { from, message } => process.node.on_message(now, from, &message),
            Delivery::Epoch { incarnation, .. } if incarnation != process.incarnation => return,
            Delivery::Epoch { tenure, epoch, .. } => process.node.epoch_acquired(now, SHARD, tenure, epoch),
        };
        self.send(index, outputs);
    }

    fn send(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.observations.push(Observation { at: self.now, process: from, output });
            match output {
                Output::Send { to, message } => self.send_message(from, to, message),
                Output::AcquireEpoch { tenure, .. } => self.acquire_epoch(from, tenure),
                Output::Began { .. } | Output::Ended { .. } => {}
            }
        }
    }

    /// Acquires an epoch from the simulated register, which returns each epoch once, in increasing order. The epoch is
    /// allocated now; the answer arrives later.
    fn acquire_epoch(&mut self, index: usize, tenure: Tenure) {
        self.last_epoch += 1;
        let incarnation = self.processes[index].incarnation;
        let delivery = Delivery::Epoch { incarnation, tenure, epoch: self.last_epoch };
        let due = self.now + self.delay();
        self.in_flight.push(InFlight { due, to: index, delivery });
    }

    fn send_message(&mut self, from: usize, to: SocketAddr, message: LeaseMessage) {
        let bytes = message.encode().expect("every message can be encoded");
        let message = LeaseMessage::decode(&bytes).expect("an encoded message can be decoded");
        let to = self.processes.iter().position(|process| SocketAddr::from(process.address) == to);
        let to = to.expect("the receiver is one of the processes");
        let is_lost = self.network.lost_one_in > 0 && self.random.one_in(self.network.lost_one_in);
        if is_lost || self.side[from] != self.side[to] {
            return;
        }
        let is_duplicated =
            self.network.duplicated_one_in > 0 && self.random.one_in(self.network.duplicated_one_in);
        for _ in 0..=usize::from(is_duplicated) {
            let due = self.now + self.delay();
            let delivery = Delivery::Message { from: self.processes[from].address.into(), message };
            self.in_flight.push(InFlight { due, to, delivery });
        }
    }

    fn delay(&mut self) -> Duration {
        let span = self.network.max_delay - self.network.min_delay;
        let extra = self.random.below(span.as_millis() as u64 + 1);
        self.network.min_delay + Duration::from_millis(extra)
    }
}

/// The reading of a clock that runs faster than true time by `rate_ppm`.
fn local_time(now: Duration, rate_ppm: i64) -> Duration {
    let micros = now.as_micros() as i64;
    Duration::from_micros((micros + micros * rate_ppm / MILLION) as u64)
}
