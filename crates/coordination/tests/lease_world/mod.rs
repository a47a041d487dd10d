//! A simulated group of processes that contend for the lease of one shard and act while they may.

pub(crate) mod schedule;

use lanegate_coordination::lease::{GrantorStart, LeaseMessage, LeaseNode, LeaseSettings, Output, Tenure};
use lanegate_coordination::membership::NodeId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// The one shard of these tests.
pub(crate) const SHARD: u32 = 7;
/// Resolution of the simulated time.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Time that an act may take on the wire.
pub(crate) const WIRE: Duration = Duration::from_millis(40);
/// The quiet period of these tests.
pub(crate) const QUIET: Duration = Duration::from_secs(3);
/// True time at which every world starts; clocks of processes must be able to lag behind it.
const START: Duration = Duration::from_secs(100);
const MILLION: i64 = 1_000_000;

/// Small generator of chance, so that a schedule is a function of its seed.
pub(crate) struct Chance(u64);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
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

/// An act as its endpoint saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Act {
    pub arrival: Duration,
    pub holder: NodeId,
    pub epoch: u64,
}

/// What the network does to messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    pub shortest_delay: Duration,
    pub longest_delay: Duration,
    /// One in so many messages is lost; 0 for none.
    pub lost_one_in: u64,
    /// One in so many messages comes twice; 0 for none.
    pub doubled_one_in: u64,
}

pub(crate) const CALM: Network = Network {
    shortest_delay: Duration::from_millis(1),
    longest_delay: Duration::from_millis(6),
    lost_one_in: 0,
    doubled_one_in: 0,
};

enum Parcel {
    Message { from: SocketAddr, message: LeaseMessage },
    Epoch { incarnation: u64, tenure: Tenure, epoch: u64 },
}

struct InFlight {
    due: Duration,
    to: usize,
    parcel: Parcel,
}

struct Process {
    address: SocketAddrV4,
    incarnation: u64,
    rate_ppm: i64,
    up: bool,
    frozen: bool,
    wanted: bool,
    node: LeaseNode,
}

/// What one process put out, and when in true time.
pub(crate) struct Observation {
    pub at: Duration,
    pub process: usize,
    pub output: Output,
}

pub(crate) struct World {
    pub now: Duration,
    pub network: Network,
    pub acts: Vec<Act>,
    settings: LeaseSettings,
    processes: Vec<Process>,
    side: Vec<bool>,
    in_flight: Vec<InFlight>,
    /// All that the processes put out.
    pub observations: Vec<Observation>,
    register: u64,
    chance: Chance,
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)
}

impl World {
    /// A first start of as many processes as there are clock rates (ppm from true time).
    pub(crate) fn new(seed: u64, rates_ppm: &[i64]) -> Self {
        World::with_settings(seed, rates_ppm, LeaseSettings::for_quiet_period(QUIET))
    }

    pub(crate) fn with_settings(seed: u64, rates_ppm: &[i64], settings: LeaseSettings) -> Self {
        settings.check().expect("settings that fit together");
        let mut world = World {
            now: START,
            network: CALM,
            acts: Vec::new(),
            settings,
            processes: Vec::new(),
            side: vec![false; rates_ppm.len()],
            in_flight: Vec::new(),
            observations: Vec::new(),
            register: 0,
            chance: Chance::new(seed),
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
                wanted: false,
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

    pub(crate) fn want(&mut self, index: usize, wanted: bool) {
        self.processes[index].wanted = wanted;
        if self.runs(index) {
            self.apply_wanted(index);
        }
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        self.processes[index].frozen = true;
    }

    /// Lets a frozen process run on; the first thing that it does is to act, if it still thinks it may.
    pub(crate) fn thaw(&mut self, index: usize) {
        self.processes[index].frozen = false;
        self.act(index);
        self.apply_wanted(index);
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
        self.apply_wanted(index);
    }

    /// Moves a process to one side of a cut; messages pass within a side only.
    pub(crate) fn set_side(&mut self, index: usize, side: bool) {
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

    fn runs(&self, index: usize) -> bool {
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
            if self.chance.one_in(2) {
                self.act(index);
            }
        }
        self.deliver();
        for index in 0..self.processes.len() {
            self.wake(index);
            self.act(index);
        }
    }

    /// The one that acted last.
    pub(crate) fn last_holder(&self) -> Option<NodeId> {
        self.acts.last().map(|act| act.holder)
    }

    pub(crate) fn acts_of(&self, holder: NodeId) -> Vec<Act> {
        self.acts.iter().copied().filter(|act| act.holder == holder).collect()
    }

    /// Whether two holders acted within the quiet period, or an epoch did not rise from holder to holder.
    pub(crate) fn violation(&self) -> Option<(Act, Act)> {
        let mut acts = self.acts.clone();
        acts.sort_by_key(|act| act.arrival);
        acts.windows(2).map(|pair| (pair[0], pair[1])).find(|(one, next)| {
            let other = one.holder != next.holder;
            let early = other && next.arrival - one.arrival < QUIET;
            let shared = other && next.epoch <= one.epoch;
            early || shared || next.epoch < one.epoch
        })
    }

    fn local(&self, index: usize) -> Duration {
        local_time(self.now, self.processes[index].rate_ppm)
    }

    fn apply_wanted(&mut self, index: usize) {
        let now = self.local(index);
        let wanted = self.processes[index].wanted;
        let outputs = self.processes[index].node.set_candidate(now, SHARD, wanted);
        self.send(index, outputs);
    }

    fn wake(&mut self, index: usize) {
        let now = self.local(index);
        let due = self.processes[index].node.next_wake().is_some_and(|wake| wake <= now);
        if due && self.runs(index) {
            let outputs = self.processes[index].node.on_tick(now);
            self.send(index, outputs);
        }
    }

    fn act(&mut self, index: usize) {
        if !self.runs(index) {
            return;
        }
        let now = self.local(index);
        let Some(epoch) = self.processes[index].node.authorize(now, SHARD, WIRE) else { return };
        let delay = Duration::from_millis(self.chance.below(WIRE.as_millis() as u64 - 1));
        let act = Act { arrival: self.now + delay, holder: self.id(index), epoch };
        self.acts.push(act);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.in_flight.extract_if(.., |parcel| parcel.due <= now).collect();
        due.sort_by_key(|parcel| parcel.due);
        for parcel in due {
            self.deliver_one(parcel);
        }
    }

    fn deliver_one(&mut self, parcel: InFlight) {
        let index = parcel.to;
        if !self.processes[index].up {
            return;
        }
        if self.processes[index].frozen {
            self.in_flight.push(parcel);
            return;
        }
        let now = self.local(index);
        let process = &mut self.processes[index];
        let outputs = match parcel.parcel {
            Parcel::Message { from, message } => process.node.on_message(now, from, &message),
            Parcel::Epoch { incarnation, .. } if incarnation != process.incarnation => return,
            Parcel::Epoch { tenure, epoch, .. } => process.node.epoch_acquired(now, SHARD, tenure, epoch),
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

    /// The register gives each epoch once, in rising order, at some time before its answer arrives.
    fn acquire_epoch(&mut self, index: usize, tenure: Tenure) {
        self.register += 1;
        let incarnation = self.processes[index].incarnation;
        let parcel = Parcel::Epoch { incarnation, tenure, epoch: self.register };
        let due = self.now + self.delay();
        self.in_flight.push(InFlight { due, to: index, parcel });
    }

    fn send_message(&mut self, from: usize, to: SocketAddr, message: LeaseMessage) {
        let bytes = message.encode().expect("an encodable message");
        let message = LeaseMessage::decode(&bytes).expect("the message that was encoded");
        let to = self.processes.iter().position(|process| SocketAddr::from(process.address) == to);
        let to = to.expect("a known process");
        let lost = self.network.lost_one_in > 0 && self.chance.one_in(self.network.lost_one_in);
        if lost || self.side[from] != self.side[to] {
            return;
        }
        let doubled = self.network.doubled_one_in > 0 && self.chance.one_in(self.network.doubled_one_in);
        for _ in 0..=usize::from(doubled) {
            let due = self.now + self.delay();
            let parcel = Parcel::Message { from: self.processes[from].address.into(), message };
            self.in_flight.push(InFlight { due, to, parcel });
        }
    }

    fn delay(&mut self) -> Duration {
        let span = self.network.longest_delay - self.network.shortest_delay;
        let extra = self.chance.below(span.as_millis() as u64 + 1);
        self.network.shortest_delay + Duration::from_millis(extra)
    }
}

/// What a clock that runs faster than true time by `rate_ppm` shows.
fn local_time(now: Duration, rate_ppm: i64) -> Duration {
    let micros = now.as_micros() as i64;
    Duration::from_micros((micros + micros * rate_ppm / MILLION) as u64)
}
