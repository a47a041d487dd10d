//! The placer's orders and their times under random demand and faults, compared with a recorded digest
//! for each seed.

mod support;

use lanegate_config::mechanism::{Mechanism, SwitchedOff};
use lanegate_golden::assert_digests;
use support::fleet::Partition;
use support::random::Random;
use support::simulation::{ItemDemand, Simulation, runtime};

const SEEDS: u64 = 240;
const MODELS: u64 = 20;
const ADAPTERS: u64 = 12;

fn demand(random: &mut Random) -> Vec<ItemDemand> {
    let items = random.below(25);
    let mut demanded = Vec::new();
    for _ in 0..items {
        let model = format!("m{}", 1 + random.below(MODELS));
        let adapter = (random.below(3) == 0).then(|| format!("a{}", 1 + random.below(ADAPTERS)));
        let rate = [0.3, 2.0, 14.0][random.below(3) as usize] * (0.2 + random.unit());
        demanded.push(ItemDemand { model, adapter, rate });
    }
    demanded
}

fn event(simulation: &mut Simulation, random: &mut Random, endpoints: u64) {
    let name = format!("e{}", 1 + random.below(endpoints));
    match random.below(18) {
        0..=3 => simulation.demand = demand(random),
        4 | 5 => simulation.crash(&name),
        6..=8 => simulation.restart(&name),
        9 => simulation.drain_endpoint(&name, None),
        10 => simulation.drain_endpoint(&name, Some(1_000.0 + random.below(20_000) as f64)),
        11 => simulation.take_over(),
        12 | 13 => simulation.partition(&name, Partition::All, 1_000 + random.below(8_000)),
        14 | 15 => simulation.partition(&name, Partition::Heartbeats, 1_000 + random.below(8_000)),
        16 => simulation.loss = if random.below(2) == 0 { 0.0 } else { 0.3 * random.unit() },
        _ => simulation.max_heartbeat_delay_ms = [100, 1_000, 2_500][random.below(3) as usize],
    }
}

/// Every third seed has one mechanism switched off.
fn switched_off(seed: u64) -> SwitchedOff {
    let all: Vec<Mechanism> = Mechanism::all().collect();
    let one = (seed % 3 == 2).then(|| all[(seed / 3) as usize % all.len()]);
    one.into_iter().collect()
}

fn run_seed(seed: u64) -> u64 {
    let mut random = Random::new(seed ^ 0xD16E_5700);
    let endpoints = 3 + random.below(8);
    let size_mb = 40_000.0 + random.below(50_000) as f64;
    let load_s = 0.3 + 2.7 * random.unit();
    let adapter_mb = [66.0, 500.0, 8_000.0][random.below(3) as usize];
    let runtime = runtime(MODELS as usize, size_mb, load_s, ADAPTERS as u32, adapter_mb);
    let zones = 1 + random.below(3) as usize;
    let mut simulation = Simulation::without(switched_off(seed), runtime, endpoints as usize, zones, seed);
    simulation.demand = demand(&mut random);
    if random.below(2) == 0 {
        simulation.fill();
    }
    for _ in 0..2 + random.below(14) {
        let duration_ms =
            if random.below(2) == 0 { random.below(2_000) } else { 3_000 + random.below(6_000) };
        simulation.run_until(simulation.now_ms + duration_ms);
        event(&mut simulation, &mut random, endpoints);
    }
    simulation.run_until(simulation.now_ms + 5_000);
    simulation.decisions.value()
}

#[test]
fn decisions_match_the_recorded_digests() {
    assert_digests(env!("CARGO_MANIFEST_DIR"), "decisions", (0..SEEDS).map(|seed| (seed, run_seed(seed))));
}
