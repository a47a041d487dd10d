//! Digests of all decisions in simulated time, seed by seed, compared with the committed ones.
//!
//! `UPDATE_GOLDEN=1` rewrites the files, for changes that are meant to change decisions.

mod support;

use lanegate_config::mechanism::{Mechanism, SwitchedOff};
use lanegate_golden::assert_digests;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use support::digest::DecisionDigest;
use support::fleet::{CHAT, DRAFT, Fault, FleetRun, PAID, Policy, simulate};
use support::history::{Budget, ENDPOINTS, Event, RandomHistory};
use support::ms;

const FLEETS: u64 = 200;
const HISTORIES: u64 = 600;
/// Events of one history.
const EVENTS: u32 = 300;

/// A short fleet simulation; seeds differ in size and faults.
fn fleet(seed: u64) -> FleetRun {
    let mut rng = SmallRng::seed_from_u64(seed);
    let engines = rng.random_range(4..10);
    let models = rng.random_range(5..engines * 3);
    let mut engine = || rng.random_range(0..engines);
    let (unresponsive, crashed, loading) = (engine(), engine(), engine());
    let load = Fault::LoadModel { at: 5_000, engine: loading, model: 0 };
    let mut faults = vec![
        Fault::Burst { from: 1_000, to: 3_000, class: "draft", times: 2.5 + (seed % 4) as f64 * 3.0 },
        Fault::Unresponsive { from: 2_000, to: 4_500, engine: unresponsive },
        Fault::Crash { at: 2_500, engine: crashed },
        Fault::Burst { from: 5_000, to: 6_500, class: "paid", times: 20.0 },
    ];
    faults.extend([load].into_iter().filter(|_| loading != crashed));
    faults.retain(|_| rng.random_range(0..4) > 0);
    FleetRun {
        policy: Policy::Dispatched,
        seed,
        routers: 1 + (seed % 5) as usize,
        engines,
        models,
        prefixes: 1 + seed % 8,
        seconds: 8,
        classes: vec![DRAFT, PAID, CHAT],
        faults,
        missing_model: seed.is_multiple_of(3).then_some(0),
    }
}

#[test]
fn fleet_decisions_match_their_digests() {
    let digests = (0..FLEETS).map(|seed| (seed, simulate(fleet(seed)).digest.value()));
    assert_digests(env!("CARGO_MANIFEST_DIR"), "fleets", digests);
}

fn random_event(rng: &mut SmallRng) -> Event {
    let request = rng.random_range(0..8);
    match rng.random_range(0..32) {
        0..3 => Event::Register {
            endpoint: rng.random_range(0..ENDPOINTS),
            models: rng.random_range(0..4),
            draining: rng.random_range(0..8) == 0,
        },
        3 => Event::Remove { endpoint: rng.random_range(0..ENDPOINTS) },
        4..12 => Event::Submit {
            class: rng.random_range(0..5),
            attempts: rng.random_range(1..4),
            model: rng.random_range(0..3),
        },
        12..14 => Event::Head { request, waiting: rng.random_range(0..3) },
        14..18 => Event::FirstByte { request },
        18..30 => Event::End { request, how: rng.random_range(0..9) },
        30 => Event::Cancel { request },
        _ => Event::Stall,
    }
}

/// Every other history has one mechanism switched off, in rotation.
fn switched_off(seed: u64) -> SwitchedOff {
    let mechanisms: Vec<Mechanism> = Mechanism::all().collect();
    let off = mechanisms[(seed / 2) as usize % mechanisms.len()];
    let is_whole = seed.is_multiple_of(2);
    if is_whole { SwitchedOff::default() } else { SwitchedOff::from_iter([off]) }
}

fn history(seed: u64) -> DecisionDigest {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ratio = [0.0, 0.05, 0.2, 2.0][rng.random_range(0..4)];
    let slack = [0.0, 4.0, 12.0, 400.0][rng.random_range(0..4)];
    let longest_pause = [3, 40, 200][rng.random_range(0..3)];
    let mut world = RandomHistory::new(Budget { ratio, slack }, switched_off(seed));
    for event in 0..EVENTS {
        let to = world.now + ms(rng.random_range(0..longest_pause));
        world.advance_to(to);
        world.apply_event(&random_event(&mut rng));
        let summary = world.dispatcher.summary(world.now);
        world.digest.add_summary(&summary);
        world.digest.add_wake(world.dispatcher.next_wake());
        if event == EVENTS - 20 && seed.is_multiple_of(5) {
            world.begin_shutdown(world.now + ms(700));
        }
    }
    let demand = world.dispatcher.demand_report(world.now);
    world.digest.add_demand(&demand);
    world.advance_to(world.now + Duration::from_secs(10));
    world.digest
}

#[test]
fn random_history_decisions_match_their_digests() {
    let digests = (0..HISTORIES).map(|seed| (seed, history(seed).value()));
    assert_digests(env!("CARGO_MANIFEST_DIR"), "histories", digests);
}
