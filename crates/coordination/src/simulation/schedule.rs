//! Random scenarios, each determined by its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::Scenario;
use super::step::{MachineIndex, Machines, Step};

/// Steps of a random scenario.
const STEPS: usize = 60;

/// First delay in milliseconds, in which the bootstrap members write their first record.
const FIRST_DELAY: u64 = 50;

/// Longest delay in milliseconds between steps that are close together: some messages and writes.
const MAX_SHORT_DELAY: u64 = 12;

/// A delay for a few round trips, in milliseconds.
const ROUND_TRIPS: u64 = 40;

/// A delay for a retransmission, in milliseconds.
const RETRY: u64 = 300;

/// Fraction of the changes that go to the favourite machine.
const FAVOURITE_PROBABILITY: f64 = 0.7;

/// Fraction of the steps of a round that are played.
const KEEP_PROBABILITY: f64 = 0.9;

/// The faults that a random scenario has most of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultMix {
    /// Everything.
    Any,
    /// Lost disks while messages are in flight.
    Wipes,
    /// Processes that die while messages are in flight.
    Restarts,
    /// Membership changes.
    Members,
    /// Membership changes, and a loss before or after they have taken effect.
    SecondLoss,
}

impl FaultMix {
    const fn of(seed: u64) -> Self {
        match seed % 6 {
            2 => Self::Wipes,
            3 => Self::Restarts,
            4 => Self::Members,
            5 => Self::SecondLoss,
            _ => Self::Any,
        }
    }
}

/// The machines of a random scenario.
struct Participants {
    mix: FaultMix,
    count: usize,
    /// Gets most of the requests.
    favourite: MachineIndex,
}

/// The random scenario of a seed: requests and faults in any order, then all faults end.
#[must_use]
pub fn random_scenario(seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let mix = FaultMix::of(seed);
    let founders = if mix != FaultMix::Any || random.random_bool(0.6) { 3 } else { 5 };
    let fewest_spares = usize::from(matches!(mix, FaultMix::Members | FaultMix::SecondLoss));
    let spares = random.random_range(fewest_spares..=2);
    let count = founders + spares;
    let participants = Participants { mix, count, favourite: random.random_range(0..count) };
    let mut steps = vec![Step::Wait(FIRST_DELAY)];
    while steps.len() < STEPS {
        match mix {
            FaultMix::Any => add_steps(&mut steps, &mut random, founders, count),
            _ => add_round(&mut steps, &mut random, &participants),
        }
    }
    steps.push(Step::Quiesce);
    Scenario { founders, spares, seed, steps }
}

fn add_steps(steps: &mut Vec<Step>, random: &mut SmallRng, founders: usize, count: usize) {
    let at = random.random_range(0..count);
    match random.random_range(0..100) {
        0..45 => add_request(steps, random, at),
        45..70 => steps.push(Step::Wait(random_delay(random))),
        70..86 => add_process_fault(steps, random, at),
        86..94 => add_network_fault(steps, random, at, count),
        94..98 => add_disk_fault(steps, random, at),
        _ => add_membership_change(steps, random, founders, count),
    }
}

/// A round of few kinds of steps close together, so that their orders are tried more thoroughly: what one side
/// of a parted network does, something that is easily lost on the way, and what the other side then sees.
fn add_round(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    let asked = if random.random_bool(FAVOURITE_PROBABILITY) {
        participants.favourite
    } else {
        random.random_range(0..participants.count)
    };
    let any = |random: &mut SmallRng| random.random_range(0..participants.count);
    let mut round =
        vec![partition(random, participants.count), Step::Append(asked), Step::Wait(short_delay(random))];
    add_focus(&mut round, random, participants);
    round.extend([
        Step::Wait(short_delay(random)),
        partition(random, participants.count),
        Step::Wait(ROUND_TRIPS),
    ]);
    round.extend([Step::Append(any(random)), partition(random, participants.count), Step::Wait(RETRY)]);
    round.push(Step::Read(any(random)));
    steps.extend(round.into_iter().filter(|_| random.random_bool(KEEP_PROBABILITY)));
}

fn add_focus(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    let at = random.random_range(0..participants.count);
    match participants.mix {
        FaultMix::Any => {}
        FaultMix::Wipes => {
            steps.extend([Step::Wipe(at), partition(random, participants.count), Step::Start(at)])
        }
        FaultMix::Restarts => {
            // A proposer that starts again proposes again, while what it sent before may still be on its way.
            let at = if random.random_bool(FAVOURITE_PROBABILITY) { participants.favourite } else { at };
            steps.extend([
                Step::Kill(at),
                partition(random, participants.count),
                Step::Start(at),
                Step::Append(at),
            ]);
        }
        FaultMix::Members => {
            let (old, new) = (at, random.random_range(0..participants.count));
            steps.push(Step::Replace { old, new, via: participants.favourite });
        }
        FaultMix::SecondLoss => {
            let (old, new) = (at, random.random_range(0..participants.count));
            let lost = random.random_range(0..participants.count);
            steps.push(match random.random_range(0..3) {
                0 => Step::Leave { old, via: participants.favourite },
                _ => Step::Replace { old, new, via: participants.favourite },
            });
            steps.extend([
                Step::Wait(short_delay(random)),
                Step::Wipe(lost),
                Step::Wait(short_delay(random)),
            ]);
            steps.push(if random.random_bool(0.5) { Step::Start(lost) } else { Step::Retire(lost) });
        }
    }
}

/// A delay about as long as a message or a write takes.
fn short_delay(random: &mut SmallRng) -> u64 {
    random.random_range(1..=MAX_SHORT_DELAY)
}

/// A partition between a random set of machines and the others.
fn partition(random: &mut SmallRng, count: usize) -> Step {
    let set = (0..count).filter(|_| random.random_bool(0.5));
    Step::Partition(set.fold(Machines::default(), Machines::with))
}

fn add_request(steps: &mut Vec<Step>, random: &mut SmallRng, at: MachineIndex) {
    steps.push(match random.random_range(0..10) {
        0..5 => Step::Append(at),
        5 => Step::Ensure(at),
        6 => Step::AppendIfEven(at),
        _ => Step::Read(at),
    });
}

/// A delay in milliseconds; short ones are as likely as long ones.
fn random_delay(random: &mut SmallRng) -> u64 {
    let longest = [1, 4, 15, 60, 250, 1_000][random.random_range(0..6)];
    random.random_range(1..=longest)
}

fn add_process_fault(steps: &mut Vec<Step>, random: &mut SmallRng, at: MachineIndex) {
    match random.random_range(0..12) {
        0..2 => steps.push(Step::Freeze(at)),
        2..4 => steps.push(Step::Thaw(at)),
        4..6 => steps.push(Step::Start(at)),
        6 => steps.extend([Step::Kill(at), Step::Wait(random_delay(random)), Step::Start(at)]),
        7 => steps.extend([Step::Power(at), Step::Wait(random_delay(random)), Step::Start(at)]),
        8 => steps.push(Step::Kill(at)),
        9 => steps.push(Step::Power(at)),
        10 => steps.extend([Step::Wipe(at), Step::Start(at)]),
        _ => steps.extend([Step::Wipe(at), Step::Wait(random_delay(random)), Step::Start(at)]),
    }
}

fn add_network_fault(steps: &mut Vec<Step>, random: &mut SmallRng, at: MachineIndex, count: usize) {
    let other = random.random_range(0..count);
    match random.random_range(0..10) {
        0..3 => steps.push(Step::Heal),
        3 => steps.push(Step::Cut(at, other)),
        4 => steps.extend([Step::Cut(at, other), Step::Cut(other, at)]),
        5 => steps.push(Step::Isolate(at)),
        6 => steps.push(partition(random, count)),
        7 => steps.push(Step::Loss(random.random_range(0..30))),
        8 => steps.push(Step::Duplicate(random.random_range(0..30))),
        _ => steps.push(Step::Delay(random_delay(random))),
    }
}

fn add_disk_fault(steps: &mut Vec<Step>, random: &mut SmallRng, at: MachineIndex) {
    steps.push(match random.random_range(0..6) {
        0 => Step::Stall(at),
        1 => Step::Full(at),
        2 => Step::Slow(at, random_delay(random)),
        _ => Step::Work(at),
    });
}

fn add_membership_change(steps: &mut Vec<Step>, random: &mut SmallRng, founders: usize, count: usize) {
    let (old, via) = (random.random_range(0..count), random.random_range(0..count));
    if founders == count || random.random_range(0..5) == 0 {
        return steps.push(Step::Leave { old, via });
    }
    let new = random.random_range(founders..count);
    match random.random_range(0..4) {
        0 => steps.push(Step::Grow { new, via }),
        1 => steps.extend([Step::Retire(old), Step::Replace { old, new, via }]),
        2 => steps.push(Step::Replace { old, new, via }),
        _ => steps.push(Step::Replace { old: new, new: old, via }),
    }
}
