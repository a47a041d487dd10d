//! Random scenarios, each determined by a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::Scenario;
use super::step::{MachineIndex, Machines, Step};

/// Minimum number of steps of a random scenario.
const STEPS: usize = 60;

/// Delay at the start in milliseconds, in which the bootstrap members write their first record.
const FIRST_DELAY_MS: u64 = 50;

/// Longest delay in milliseconds between steps that are close together: enough for a few messages and writes.
const MAX_SHORT_DELAY_MS: u64 = 12;

/// A delay in milliseconds that is enough for a few round trips.
const ROUND_TRIPS_DELAY_MS: u64 = 40;

/// A delay in milliseconds that is enough for a retransmission.
const RETRY_DELAY_MS: u64 = 300;

/// Probability that a change is requested at the preferred machine.
const PREFERRED_PROBABILITY: f64 = 0.7;

/// Probability that a step of a round is kept.
const STEP_PROBABILITY: f64 = 0.9;

/// The kind of fault that a random scenario consists of mostly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultMix {
    /// All kinds of faults.
    Any,
    /// Lost disks while messages are in flight.
    DiskLosses,
    /// Processes that die while messages are in flight.
    Restarts,
    /// Membership changes.
    MembershipChanges,
    /// Membership changes, and the loss of a disk before or after they have taken effect.
    ChangeAndDiskLoss,
}

impl FaultMix {
    const fn of(seed: u64) -> Self {
        match seed % 6 {
            2 => Self::DiskLosses,
            3 => Self::Restarts,
            4 => Self::MembershipChanges,
            5 => Self::ChangeAndDiskLoss,
            _ => Self::Any,
        }
    }
}

/// Draws the steps of a random scenario.
struct Generator {
    random: SmallRng,
    mix: FaultMix,
    bootstrap_members: usize,
    /// Number of all machines.
    count: usize,
    /// The machine that gets most of the requests.
    preferred: MachineIndex,
}

/// The random scenario of a seed: requests and faults in random order; at the end all faults are repaired.
#[must_use]
pub fn random_scenario(seed: u64) -> Scenario {
    let mut generator = Generator::new(seed);
    let mut steps = vec![Step::Wait(FIRST_DELAY_MS)];
    while steps.len() < STEPS {
        steps.extend(match generator.mix {
            FaultMix::Any => generator.any_steps(),
            _ => generator.round(),
        });
    }
    steps.push(Step::Quiesce);
    let Generator { bootstrap_members, count, .. } = generator;
    Scenario { bootstrap_members, spares: count - bootstrap_members, seed, steps }
}

impl Generator {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mix = FaultMix::of(seed);
        let bootstrap_members = if mix != FaultMix::Any || random.random_bool(0.6) { 3 } else { 5 };
        let fewest_spares =
            usize::from(matches!(mix, FaultMix::MembershipChanges | FaultMix::ChangeAndDiskLoss));
        let count = bootstrap_members + random.random_range(fewest_spares..=2);
        let preferred = random.random_range(0..count);
        Self { random, mix, bootstrap_members, count, preferred }
    }

    /// A random machine.
    fn machine(&mut self) -> MachineIndex {
        self.random.random_range(0..self.count)
    }

    fn any_steps(&mut self) -> Vec<Step> {
        let at = self.machine();
        match self.random.random_range(0..100) {
            0..45 => self.request(at),
            45..70 => vec![Step::Wait(self.random_delay())],
            70..86 => self.process_fault(at),
            86..94 => self.network_fault(at),
            94..98 => self.disk_fault(at),
            _ => self.membership_change(),
        }
    }

    /// A round of a few kinds of steps close together, so that more of their interleavings are covered: a change on one
    /// side of a partition, a fault while its messages are in flight, then a change and a read under other partitions.
    fn round(&mut self) -> Vec<Step> {
        let proposer =
            if self.random.random_bool(PREFERRED_PROBABILITY) { self.preferred } else { self.machine() };
        let mut round = vec![self.partition(), Step::Append(proposer), Step::Wait(self.short_delay())];
        round.extend(self.mix_steps());
        round.extend([Step::Wait(self.short_delay()), self.partition(), Step::Wait(ROUND_TRIPS_DELAY_MS)]);
        round.extend([Step::Append(self.machine()), self.partition(), Step::Wait(RETRY_DELAY_MS)]);
        round.push(Step::Read(self.machine()));
        round.retain(|_| self.random.random_bool(STEP_PROBABILITY));
        round
    }

    /// The steps of a round that depend on the fault mix.
    fn mix_steps(&mut self) -> Vec<Step> {
        let at = self.machine();
        match self.mix {
            FaultMix::Any => Vec::new(),
            FaultMix::DiskLosses => {
                vec![Step::WipeDisk(at), self.partition(), Step::Start(at)]
            }
            FaultMix::Restarts => {
                // A proposer that restarts proposes again, while its earlier messages may still be in flight.
                let at = if self.random.random_bool(PREFERRED_PROBABILITY) { self.preferred } else { at };
                vec![Step::Kill(at), self.partition(), Step::Start(at), Step::Append(at)]
            }
            FaultMix::MembershipChanges => {
                let (old, new) = (at, self.machine());
                vec![Step::ReplaceMember { old, new, via: self.preferred }]
            }
            FaultMix::ChangeAndDiskLoss => {
                let (old, new) = (at, self.machine());
                let lost = self.machine();
                let change = match self.random.random_range(0..3) {
                    0 => Step::RemoveMember { old, via: self.preferred },
                    _ => Step::ReplaceMember { old, new, via: self.preferred },
                };
                let (before, after) = (Step::Wait(self.short_delay()), Step::Wait(self.short_delay()));
                let end = if self.random.random_bool(0.5) { Step::Start(lost) } else { Step::Retire(lost) };
                vec![change, before, Step::WipeDisk(lost), after, end]
            }
        }
    }

    /// A delay about as long as a message or a write takes.
    fn short_delay(&mut self) -> u64 {
        self.random.random_range(1..=MAX_SHORT_DELAY_MS)
    }

    /// A partition between a random set of machines and the others.
    fn partition(&mut self) -> Step {
        let random = &mut self.random;
        let set = (0..self.count).filter(|_| random.random_bool(0.5));
        Step::Partition(set.fold(Machines::default(), Machines::with))
    }

    fn request(&mut self, at: MachineIndex) -> Vec<Step> {
        vec![match self.random.random_range(0..10) {
            0..5 => Step::Append(at),
            5 => Step::Ensure(at),
            6 => Step::AppendIfEven(at),
            _ => Step::Read(at),
        }]
    }

    /// A delay in milliseconds; short ones are as likely as long ones.
    fn random_delay(&mut self) -> u64 {
        let longest = [1, 4, 15, 60, 250, 1_000][self.random.random_range(0..6)];
        self.random.random_range(1..=longest)
    }

    fn process_fault(&mut self, at: MachineIndex) -> Vec<Step> {
        match self.random.random_range(0..12) {
            0..2 => vec![Step::Freeze(at)],
            2..4 => vec![Step::Thaw(at)],
            4..6 => vec![Step::Start(at)],
            6 => vec![Step::Kill(at), Step::Wait(self.random_delay()), Step::Start(at)],
            7 => vec![Step::LosePower(at), Step::Wait(self.random_delay()), Step::Start(at)],
            8 => vec![Step::Kill(at)],
            9 => vec![Step::LosePower(at)],
            10 => vec![Step::WipeDisk(at), Step::Start(at)],
            _ => vec![Step::WipeDisk(at), Step::Wait(self.random_delay()), Step::Start(at)],
        }
    }

    fn network_fault(&mut self, at: MachineIndex) -> Vec<Step> {
        let other = self.machine();
        match self.random.random_range(0..10) {
            0..3 => vec![Step::Heal],
            3 => vec![Step::BlockLink(at, other)],
            4 => vec![Step::BlockLink(at, other), Step::BlockLink(other, at)],
            5 => vec![Step::Isolate(at)],
            6 => vec![self.partition()],
            7 => vec![Step::Loss(self.random.random_range(0..30))],
            8 => vec![Step::Duplicate(self.random.random_range(0..30))],
            _ => vec![Step::Delay(self.random_delay())],
        }
    }

    fn disk_fault(&mut self, at: MachineIndex) -> Vec<Step> {
        vec![match self.random.random_range(0..6) {
            0 => Step::StallDisk(at),
            1 => Step::FillDisk(at),
            2 => Step::SlowDisk(at, self.random_delay()),
            _ => Step::RepairDisk(at),
        }]
    }

    fn membership_change(&mut self) -> Vec<Step> {
        let (old, via) = (self.machine(), self.machine());
        if self.bootstrap_members == self.count || self.random.random_range(0..5) == 0 {
            return vec![Step::RemoveMember { old, via }];
        }
        let new = self.random.random_range(self.bootstrap_members..self.count);
        match self.random.random_range(0..4) {
            0 => vec![Step::AddMember { new, via }],
            1 => vec![Step::Retire(old), Step::ReplaceMember { old, new, via }],
            2 => vec![Step::ReplaceMember { old, new, via }],
            _ => vec![Step::ReplaceMember { old: new, new: old, via }],
        }
    }
}
