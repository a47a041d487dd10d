//! Random exchanges with arbitrary segmentation and resets: no byte of an answer reaches another client, and a request that
//! must not run twice is sent once. The same exchanges detect deliberate faults of the router.

mod common;
mod exchanges;

use exchanges::run_script;
use exchanges::script::script;
use lanegate_router::fault::RouterFault;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};

/// Default number of cases.
const CASES: u32 = 1_000;
/// Number of cases within which a deliberate fault has to be detected.
const FAULT_CASES: u32 = 4_000;
/// Default seed.
const SEED: u64 = 34;

/// The same cases in every run, unless `PROPTEST_RNG_SEED` and `PROPTEST_CASES` are set.
fn config(cases: u32) -> Config {
    let default = Config::default();
    let rng_seed = match default.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        seed => seed,
    };
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { cases };
    Config { cases, rng_seed, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn answers_reach_their_callers_and_nothing_is_sent_twice(script in script()) {
        let violations = run_script(&script, None);
        prop_assert!(violations.is_none(), "{}", violations.unwrap_or_default());
    }
}

/// The violations by which a deliberate fault is detected.
fn detect(fault: RouterFault) -> String {
    let config = Config { max_shrink_iters: 0, ..config(FAULT_CASES) };
    let outcome = TestRunner::new(config).run(&script(), |script| match run_script(&script, Some(fault)) {
        Some(violations) => Err(TestCaseError::fail(violations)),
        None => Ok(()),
    });
    match outcome {
        Err(TestError::Fail(violations, _)) => violations.message().to_owned(),
        other => panic!("{fault:?} was not detected: {other:?}"),
    }
}

#[test]
fn an_answer_that_is_not_matched_by_its_id_is_detected() {
    let violations = detect(RouterFault::AcceptAnyAttemptId);
    assert!(violations.contains("received an invalid answer with status 200"), "{violations}");
}

#[test]
fn a_retry_after_a_reset_is_detected() {
    let violations = detect(RouterFault::RetryAfterReset);
    assert!(violations.contains("ran 2 times"), "{violations}");
}

#[test]
fn a_forwarded_late_answer_is_detected() {
    let violations = detect(RouterFault::ForwardLateResponses);
    assert!(violations.contains("its client received 502"), "{violations}");
}

#[test]
fn a_retry_on_the_same_connection_is_detected() {
    let violations = detect(RouterFault::RetryOnSameConnection);
    assert!(violations.contains("ran 2 times"), "{violations}");
}

#[test]
fn a_reset_body_that_counts_as_complete_is_detected() {
    let violations = detect(RouterFault::ResetCompletesBody);
    assert!(violations.contains("received an invalid answer with status 200"), "{violations}");
}

#[test]
fn a_truncated_answer_that_looks_complete_is_detected() {
    let violations = detect(RouterFault::HideTruncation);
    assert!(violations.contains("received an invalid answer with status 200"), "{violations}");
}

#[test]
fn a_trusted_503_without_not_executed_is_detected() {
    let violations = detect(RouterFault::TrustStatusAlone);
    assert!(violations.contains("ran 2 times") || violations.contains("was refused and ran"), "{violations}");
}
