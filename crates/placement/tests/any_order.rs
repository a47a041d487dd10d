//! Random demand and faults never make the placer exceed a limit.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::fleet::Partition;
use support::simulation::{ItemDemand, Simulation, runtime};

/// One event of a random run.
#[derive(Debug, Clone)]
enum Event {
    Demand(Vec<(usize, Option<u32>, f64)>),
    Crash(usize),
    Restart(usize),
    Drain(usize),
    Takeover,
    /// Some endpoints are partitioned; the number is the duration, ms.
    Outage(Vec<usize>, Partition, u64),
    Loss(f64),
    MaxHeartbeatDelay(u64),
    Nothing,
}

/// Number of cases unless `PROPTEST_CASES` is set.
const CASES: u32 = 96;

/// Seed unless `PROPTEST_RNG_SEED` is set.
const SEED: u64 = 20;

const MODELS: usize = 20;
const ADAPTERS: u32 = 12;
const ENDPOINTS: usize = 6;

fn demand() -> impl Strategy<Value = Event> {
    let rate = prop_oneof![0.05..0.5, 0.5..3.0, 3.0..25.0];
    let item = (1..=MODELS, prop::option::of(1..=ADAPTERS), rate);
    prop::collection::vec(item, 0..25).prop_map(Event::Demand)
}

/// Partitions, some of which last long enough that the endpoint is removed.
fn outage() -> impl Strategy<Value = Event> {
    let endpoints = prop::sample::subsequence((0..ENDPOINTS).collect::<Vec<_>>(), 1..=ENDPOINTS / 2);
    let partition = prop_oneof![Just(Partition::All), Just(Partition::Heartbeats)];
    (endpoints, partition, 1_000..9_000u64)
        .prop_map(|(endpoints, partition, duration_ms)| Event::Outage(endpoints, partition, duration_ms))
}

/// Delay until the next event, ms; short enough in half of the cases that loads of the previous event are in flight.
fn delay_until_next_event() -> impl Strategy<Value = u64> {
    prop_oneof![1 => 200..2_000u64, 1 => 3_000..9_000u64]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => demand(),
        2 => (0..ENDPOINTS).prop_map(Event::Crash),
        3 => (0..ENDPOINTS).prop_map(Event::Restart),
        1 => (0..ENDPOINTS).prop_map(Event::Drain),
        1 => Just(Event::Takeover),
        4 => outage(),
        1 => prop_oneof![Just(0.0), 0.0..0.3].prop_map(Event::Loss),
        1 => prop_oneof![Just(100u64), Just(1_000), Just(2_500)].prop_map(Event::MaxHeartbeatDelay),
        1 => Just(Event::Nothing),
    ]
}

fn apply(simulation: &mut Simulation, event: &Event) {
    let name = |number: &usize| format!("e{}", number + 1);
    match event {
        Event::Demand(items) => {
            let demanded = |(model, adapter, rate): &(usize, Option<u32>, f64)| ItemDemand {
                model: format!("m{model}"),
                adapter: adapter.map(|number| format!("a{number}")),
                rate: *rate,
            };
            simulation.demand = items.iter().map(demanded).collect();
        }
        Event::Crash(number) => simulation.crash(&name(number)),
        Event::Restart(number) => simulation.restart(&name(number)),
        Event::Drain(number) => simulation.drain_endpoint(&name(number), None),
        Event::Takeover => simulation.take_over(),
        Event::Outage(numbers, partition, duration_ms) => {
            numbers.iter().for_each(|number| simulation.partition(&name(number), *partition, *duration_ms));
        }
        Event::Loss(loss) => {
            simulation.loss = *loss;
            simulation.checks.last_fault_ms = if *loss > 0.0 { u64::MAX / 2 } else { simulation.now_ms };
        }
        Event::MaxHeartbeatDelay(max_heartbeat_delay_ms) => {
            simulation.max_heartbeat_delay_ms = *max_heartbeat_delay_ms
        }
        Event::Nothing => {}
    }
}

/// The same cases in every run, unless `PROPTEST_RNG_SEED` or `PROPTEST_CASES` is set.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let rng_seed = match default.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        fixed => fixed,
    };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { CASES };
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_under_random_faults(
        seed in any::<u64>(),
        load_s in 0.3..3.0f64,
        size_mb in 40_000.0..90_000.0f64,
        adapter_mb in prop_oneof![Just(66.0), 500.0..9_000.0f64],
        events in prop::collection::vec((event(), delay_until_next_event()), 1..20),
    ) {
        let runtime = runtime(MODELS, size_mb, load_s, ADAPTERS, adapter_mb);
        let mut simulation = Simulation::new(runtime, ENDPOINTS, 3, seed);
        for (event, duration_ms) in &events {
            apply(&mut simulation, event);
            let until = simulation.now_ms + duration_ms;
            simulation.run_until(until);
            prop_assert!(simulation.checks.violations.is_empty(), "{:?}", simulation.checks.violations);
        }
    }

    #[test]
    fn demanded_models_are_resident_after_faults_end(
        seed in any::<u64>(),
        load_s in 0.3..3.0f64,
        events in prop::collection::vec((event(), delay_until_next_event()), 0..12),
        demanded_models in prop::collection::btree_set(1..=MODELS, 1..9),
    ) {
        let runtime = runtime(MODELS, 70_000.0, load_s, ADAPTERS, 66.0);
        let mut simulation = Simulation::new(runtime, ENDPOINTS, 3, seed);
        for (event, duration_ms) in &events {
            apply(&mut simulation, event);
            let until = simulation.now_ms + duration_ms;
            simulation.run_until(until);
        }
        simulation.loss = 0.0;
        simulation.max_heartbeat_delay_ms = 100;
        simulation.end_all_partitions();
        for number in 0..ENDPOINTS / 2 {
            simulation.restart(&format!("e{}", number + 1));
        }
        let demand = |model| ItemDemand { model: format!("m{model}"), adapter: None, rate: 1.5 };
        simulation.demand = demanded_models.iter().map(demand).collect();
        let until = simulation.now_ms + 60_000;
        simulation.run_until(until);
        for model in &demanded_models {
            let model = format!("m{model}");
            prop_assert!(simulation.replicas(&model, None) >= 1, "{model} is resident nowhere");
        }
        prop_assert!(simulation.checks.violations.is_empty(), "{:?}", simulation.checks.violations);
        // The expected rate of earlier demand decays, and additional replicas are loaded one by one.
        let until = simulation.now_ms + 120_000;
        simulation.run_until(until);
        let before = simulation.orders.len();
        let until = simulation.now_ms + 60_000;
        simulation.run_until(until);
        let later = simulation.orders.len() - before;
        prop_assert!(later <= 6, "{later} orders under steady demand: {:?}", &simulation.orders[before..]);
    }
}
