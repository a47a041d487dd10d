//! Generates random scenarios from a seed, and shrinks a failing scenario to fewer steps.

use super::change::Form;
use super::host::Host;
use super::scenario::Scenario;
use super::step::{Scope, Step};
use super::world::World;
use crate::controller::ControllerFault;
use lanegate_coordination::simulation::shrink_steps;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::mem::discriminant;

/// Steps of a random scenario, apart from the first and the last ones.
const STEPS: usize = 24;
/// First wait, in milliseconds, so that the group is bootstrapped.
const FIRST_WAIT: u64 = 600;
/// Maximum lengths of pauses, in milliseconds: enough for some messages, a call, an expiry, or a takeover.
const PAUSES: [u64; 6] = [5, 30, 150, 700, 2_000, 5_000];

/// Longest lag of a link in a random scenario, in milliseconds.
const MAX_LAG: u64 = 5_000;

/// The hosts of a random scenario.
struct Participants {
    controllers: usize,
    founders: usize,
    routers: usize,
    endpoints: usize,
    /// Whether the scenario includes black holes, lags and one-sided resets of links.
    link_faults: bool,
}

impl Participants {
    fn controller(&self, random: &mut SmallRng) -> usize {
        random.random_range(0..self.controllers)
    }

    fn router(&self, random: &mut SmallRng) -> Host {
        Host::Router(random.random_range(0..self.routers))
    }

    fn any(&self, random: &mut SmallRng) -> Host {
        match random.random_range(0..10) {
            0..6 => Host::Controller(self.controller(random)),
            6..8 => self.router(random),
            8 => Host::Endpoint(random.random_range(0..self.endpoints)),
            _ => Host::Operator,
        }
    }
}

/// Generates a scenario from a seed: changes, drains and faults in random order, then everything is repaired.
#[must_use]
pub fn random_scenario(seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let founders = if random.random_bool(0.8) { 3 } else { 5 };
    draw_scenario(seed, &mut random, founders, false)
}

/// Like [`random_scenario`], with groups of two to five, and with black holes, lags of seconds and one-sided resets of links.
#[must_use]
pub fn random_link_scenario(seed: u64) -> Scenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let founders = [2, 3, 5][random.random_range(0..3)];
    draw_scenario(seed, &mut random, founders, true)
}

fn draw_scenario(seed: u64, random: &mut SmallRng, founders: usize, link_faults: bool) -> Scenario {
    let spares = random.random_range(0..=2);
    let spares_late = random.random_bool(0.3);
    let (routers, endpoints) = (random.random_range(1..=2), 2);
    let participants =
        Participants { controllers: founders + spares, founders, routers, endpoints, link_faults };
    let mut steps = vec![Step::Wait(FIRST_WAIT), put(random, &participants, Form::Put)];
    while steps.len() < STEPS {
        add_steps(&mut steps, random, &participants);
    }
    steps.push(Step::Quiesce);
    Scenario {
        founders,
        spares,
        spares_late,
        zones: Vec::new(),
        uncounted: 0,
        within_tolerance: true,
        routers,
        endpoints,
        seed,
        steps,
    }
}

fn put(random: &mut SmallRng, participants: &Participants, form: Form) -> Step {
    Step::Put { form, via: participants.controller(random), only: false }
}

fn add_steps(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    match random.random_range(0..100) {
        0..28 => steps.push(operation(random, participants)),
        28..56 => steps.push(wait(random)),
        56..60 => steps.push(endpoint_step(random, participants)),
        60..78 => add_process_fault(steps, random, participants),
        78..92 if participants.link_faults && random.random_bool(0.5) => {
            add_link_fault(steps, random, participants)
        }
        78..92 => add_network_fault(steps, random, participants),
        _ => steps.push(disk_fault(random, participants)),
    }
}

fn operation(random: &mut SmallRng, participants: &Participants) -> Step {
    let via = participants.controller(random);
    let only = random.random_bool(0.2);
    match random.random_range(0..14) {
        0..4 => Step::Put { form: Form::Put, via, only },
        4..6 => Step::Put { form: Form::Patch, via, only },
        6 => Step::Put { form: Form::Invalid, via, only: false },
        7..9 => Step::Rivals { first: via, second: participants.controller(random) },
        9..11 => Step::Again { number: None, via, only },
        _ => Step::Read { via, only },
    }
}

fn endpoint_step(random: &mut SmallRng, participants: &Participants) -> Step {
    let index = random.random_range(0..participants.endpoints);
    match random.random_range(0..6) {
        0..3 => Step::Drain(index),
        3 => Step::Remove(index),
        4 => Step::Crash(index),
        _ => Step::Start(Host::Endpoint(index)),
    }
}

/// Short pauses are as likely as long ones.
fn wait(random: &mut SmallRng) -> Step {
    let longest = PAUSES[random.random_range(0..PAUSES.len())];
    Step::Wait(random.random_range(1..=longest))
}

fn add_process_fault(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    let index = participants.controller(random);
    let host = Host::Controller(index);
    let start = Step::Start(host);
    match random.random_range(0..15) {
        0..3 => steps.extend([Step::Freeze(host), wait(random), Step::Thaw(host)]),
        3 => steps.push(Step::Freeze(host)),
        4 => steps.extend([Step::Kill(host), start]),
        5 => steps.extend([Step::Kill(host), wait(random), start]),
        6 => steps.extend([Step::Power(index), wait(random), start]),
        7 => steps.push(Step::Power(index)),
        8 => steps.extend([Step::Wipe(index), start]),
        9 => steps.extend([Step::Wipe(index), wait(random), start]),
        10 => steps.extend([Step::Stop(index), wait(random), start]),
        11 if participants.controllers > participants.founders => steps.push(Step::Retire(index)),
        12 => {
            let router = participants.router(random);
            steps.extend([Step::Kill(router), wait(random), Step::Start(router)]);
        }
        13 => {
            let router = participants.router(random);
            steps.extend([Step::Freeze(router), wait(random), Step::Thaw(router)]);
        }
        _ => steps.push(start),
    }
}

fn add_network_fault(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    let (one, other) = (participants.any(random), participants.any(random));
    match random.random_range(0..14) {
        0..3 => steps.push(Step::Heal),
        3 => steps.push(Step::Partition { from: one, to: other }),
        4 => {
            steps.extend([Step::Partition { from: one, to: other }, Step::Partition { from: other, to: one }])
        }
        5 => steps.push(Step::Isolate { host: one, scope: Scope::Peers }),
        6..8 => steps.extend([Step::Isolate { host: one, scope: Scope::All }, wait(random), Step::Heal]),
        8 => steps.extend([part(random, participants), wait(random), Step::Heal]),
        9 => steps.push(part(random, participants)),
        10 => steps.push(Step::Reset(one)),
        11 => steps.push(Step::Refuse(Host::Controller(participants.controller(random)))),
        12 => steps.push(Step::Delay(random.random_range(1..=300))),
        _ => steps.push(seeds(random, participants)),
    }
}

/// Adds a fault of a link that stays up.
fn add_link_fault(steps: &mut Vec<Step>, random: &mut SmallRng, participants: &Participants) {
    let (one, other) = (participants.any(random), participants.any(random));
    match random.random_range(0..8) {
        0 => steps.push(Step::Blackhole { from: one, to: other }),
        1 => steps.extend([Step::Blackhole { from: one, to: other }, wait(random), Step::Heal]),
        2 => {
            steps.extend(links_from(random, participants, |from, to| Step::Blackhole { from, to }));
            steps.extend([wait(random), Step::Heal]);
        }
        3 => {
            steps.extend(links_from(random, participants, |to, from| Step::Blackhole { from, to }));
            steps.extend([wait(random), Step::Heal]);
        }
        4 => steps.push(Step::Lag { from: one, to: other, time: random.random_range(1..=MAX_LAG) }),
        5 => {
            let time = random.random_range(1..=MAX_LAG);
            steps.extend(links_from(random, participants, |from, to| Step::Lag { from, to, time }));
            steps.extend([wait(random), Step::Heal]);
        }
        _ => steps.push(Step::ResetOneSide { host: one, peer: other }),
    }
}

/// The same fault on the links of one controller to all others.
fn links_from(
    random: &mut SmallRng,
    participants: &Participants,
    fault: impl Fn(Host, Host) -> Step,
) -> Vec<Step> {
    let index = participants.controller(random);
    let others = (0..participants.controllers).filter(|other| *other != index);
    others.map(|other| fault(Host::Controller(index), Host::Controller(other))).collect()
}

/// A random set of machines is partitioned from the others.
fn part(random: &mut SmallRng, participants: &Participants) -> Step {
    let controllers = (0..participants.controllers).map(Host::Controller);
    let routers = (0..participants.routers).map(Host::Router);
    let set = controllers.chain(routers).chain([Host::Operator]).filter(|_| random.random_bool(0.5));
    Step::Split(set.collect())
}

fn seeds(random: &mut SmallRng, participants: &Participants) -> Step {
    Step::Seeds((0..3).map(|_| participants.controller(random)).collect())
}

fn disk_fault(random: &mut SmallRng, participants: &Participants) -> Step {
    let index = participants.controller(random);
    match random.random_range(0..6) {
        0 => Step::Stall(index),
        1 => Step::Full(index),
        2 => Step::Slow(index, random.random_range(1..=400)),
        _ => Step::Work(index),
    }
}

/// Removes steps as long as the remaining ones still cause a violation of the same kind.
#[must_use]
pub fn shrink(scenario: &Scenario, fault: Option<ControllerFault>) -> Scenario {
    let Err(violation) = World::play(scenario, fault) else { return scenario.clone() };
    let with_steps = |steps: &[Step]| Scenario { steps: steps.to_vec(), ..scenario.clone() };
    let steps = shrink_steps(&scenario.steps, |steps| {
        let played = World::play(&with_steps(steps), fault);
        played.is_err_and(|other| discriminant(&other) == discriminant(&violation))
    });
    with_steps(&steps)
}
