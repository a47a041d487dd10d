//! Fleet simulations: endpoint selection compared with random selection, and the cost of faults.

mod support;

use support::fleet::{CHAT, DRAFT, Fault, FleetRun, Outcome, PAID, Policy, RequestClass, simulate};

const CLASSES: [RequestClass; 3] = [DRAFT, PAID, CHAT];

fn run(policy: Policy) -> FleetRun {
    FleetRun {
        policy,
        seed: 3,
        routers: 9,
        engines: 12,
        models: 24,
        prefixes: 8,
        seconds: 60,
        classes: CLASSES.to_vec(),
        faults: Vec::new(),
        missing_model: None,
    }
}

/// Simulates a run with its faults, once with the dispatcher and once with random selection.
fn run_both(name: &str, faults: &[Fault]) -> (Outcome, Outcome) {
    let of = |policy| simulate(FleetRun { faults: faults.to_vec(), ..run(policy) });
    let (dispatched, random) = (of(Policy::Dispatched), of(Policy::Random));
    print_outcome(name, &dispatched);
    print_outcome(&format!("{name}, random selection"), &random);
    (dispatched, random)
}

fn print_outcome(name: &str, outcome: &Outcome) {
    let Outcome { prefilled_tokens, retries, rejections, .. } = outcome;
    println!("{name}: tokens prefilled {prefilled_tokens:.0}, retries {retries}, rejections {rejections}");
    for (class, tally) in &outcome.classes {
        let (in_time, served) = (tally.in_time_fraction(), tally.served_fraction());
        println!(
            "  {class}: value {:.3}, in time {in_time:.3}, served {served:.3}, {tally:?}",
            tally.value(0.3)
        );
    }
}

#[test]
fn without_faults_all_targets_are_met_with_less_prefill_than_random_selection() {
    let (dispatched, random) = run_both("no faults", &[]);
    for class in CLASSES {
        assert!(dispatched.class(&class).in_time_fraction() >= 0.99, "{}", class.name);
    }
    assert!(dispatched.prefilled_tokens < 0.9 * random.prefilled_tokens);
    assert_eq!(dispatched.retries, 0);
}

#[test]
fn a_burst_of_one_class_is_absorbed() {
    let (dispatched, _) =
        run_both("burst", &[Fault::Burst { from: 20_000, to: 24_000, class: "draft", times: 2.5 }]);
    for class in CLASSES {
        assert!(dispatched.class(&class).in_time_fraction() >= 0.98, "{}", class.name);
    }
}

#[test]
fn an_overload_costs_less_than_random_selection_and_spares_paid_requests() {
    let burst = Fault::Burst { from: 20_000, to: 24_000, class: "draft", times: 6.0 };
    let (dispatched, random) = run_both("large burst", &[burst]);
    assert!(dispatched.class(&DRAFT).in_time_fraction() >= random.class(&DRAFT).in_time_fraction());
    assert!(dispatched.class(&PAID).in_time_fraction() >= 0.95);
    assert!(dispatched.class(&DRAFT).served_fraction() >= 0.99);
}

#[test]
fn an_unresponsive_engine_costs_few_requests() {
    let (dispatched, random) =
        run_both("unresponsive", &[Fault::Unresponsive { from: 20_000, to: 24_000, engine: 0 }]);
    let lost = |outcome: &Outcome| {
        CLASSES.map(|class| outcome.class(&class)).map(|tally| tally.submitted - tally.in_time)
    };
    assert!(lost(&dispatched).iter().sum::<u32>() < lost(&random).iter().sum::<u32>());
    assert!(dispatched.class(&PAID).in_time_fraction() >= 0.99);
}

#[test]
fn a_crashed_engine_is_avoided_and_requests_wait_for_its_models() {
    let crash = Fault::Crash { at: 20_000, engine: 0 };
    let loads = (0..24).map(|model| Fault::LoadModel { at: 24_000, engine: 1 + model % 11, model });
    let (dispatched, _) = run_both("crash", &[&[crash], &loads.collect::<Vec<_>>()[..]].concat());
    for class in CLASSES {
        assert!(dispatched.class(&class).served_fraction() >= 0.98, "{}", class.name);
    }
}

#[test]
fn requests_wait_for_a_model_that_is_being_loaded() {
    let loads = [Fault::LoadModel { at: 20_000, engine: 5, model: 12 }];
    let outcome =
        simulate(FleetRun { faults: loads.to_vec(), missing_model: Some(12), ..run(Policy::Dispatched) });
    print_outcome("missing model", &outcome);
    // Before the load no request can be served; those whose deadline is just after it fail at the engine.
    let (refused, failed) = CLASSES
        .iter()
        .map(|class| outcome.class(class))
        .fold((0, 0), |(refused, failed), tally| (refused + tally.refused, failed + tally.failed));
    assert!(refused <= 20, "{refused} refused");
    assert!(failed <= 3, "{failed} failed");
}

#[test]
fn a_popular_prompt_does_not_overload_one_engine() {
    let popular = RequestClass { rate: 40.0, ..DRAFT };
    let of = |policy| simulate(FleetRun { models: 4, prefixes: 1, classes: vec![popular], ..run(policy) });
    let (dispatched, random) = (of(Policy::Dispatched), of(Policy::Random));
    print_outcome("popular", &dispatched);
    print_outcome("popular, random selection", &random);
    assert!(dispatched.class(&popular).in_time_fraction() >= 0.97);
    assert!(dispatched.prefilled_tokens <= random.prefilled_tokens);
}

#[test]
fn several_faults_at_once_violate_no_invariant() {
    for seed in 0..6 {
        let faults = vec![
            Fault::Burst { from: 10_000, to: 14_000, class: "chat", times: 2.5 },
            Fault::Unresponsive { from: 11_000, to: 15_000, engine: 1 },
            Fault::Unresponsive { from: 12_000, to: 16_000, engine: 2 },
            Fault::Crash { at: 12_500, engine: 3 },
            Fault::Crash { at: 13_000, engine: 4 },
            Fault::Crash { at: 25_000, engine: 5 },
            Fault::Burst { from: 25_000, to: 29_000, class: "paid", times: 8.0 },
        ];
        let outcome = simulate(FleetRun { seed, seconds: 40, faults, ..run(Policy::Dispatched) });
        print_outcome(&format!("several, seed {seed}"), &outcome);
        assert!(outcome.class(&PAID).served_fraction() >= 0.7);
    }
}
