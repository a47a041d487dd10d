//! Estimators that learn from answers.

use lanegate_dispatch::estimate::{FirstByteRegression, HitRate, LatencyRatio};
use lanegate_dispatch::service::{Artifact, Service};
use std::time::Duration;

#[test]
fn the_regression_finds_base_and_rate_from_a_few_answers() {
    let mut regression = FirstByteRegression::default();
    let truth = |tokens: f64| 0.012 + tokens / 38_000.0;
    for round in 0..30 {
        let tokens = [826.0, 9_190.0, 2_890.0, 628.0][round % 4];
        regression.sample(tokens, truth(tokens));
    }
    for tokens in [0.0, 1_000.0, 9_000.0, 20_000.0] {
        let error = (regression.expected_s(tokens) - truth(tokens)).abs() / truth(tokens);
        assert!(error < 0.25, "{tokens} tokens: {} s", regression.expected_s(tokens));
    }
}

#[test]
fn the_regression_is_never_negative() {
    let mut regression = FirstByteRegression::default();
    for _ in 0..200 {
        regression.sample(10_000.0, 0.01);
        regression.sample(10.0, 0.5);
    }
    assert!(regression.per_token_s() >= 0.0);
    assert!(regression.base_s() >= 0.0);
    assert!(regression.expected_s(1e6).is_finite());
}

#[test]
fn the_regression_is_stable_when_all_answers_are_equal() {
    let mut regression = FirstByteRegression::default();
    for _ in 0..500 {
        regression.sample(0.0, 0.06);
    }
    assert!((regression.expected_s(0.0) - 0.06).abs() < 0.002);
}

#[test]
fn hit_rates_stay_between_zero_and_one() {
    let mut hit_rate = HitRate::new(0.5);
    for _ in 0..1_000 {
        hit_rate.sample(7.0);
    }
    assert!(hit_rate.get() > 0.99 && hit_rate.get() <= 1.0);
    for _ in 0..1_000 {
        hit_rate.sample(-7.0);
    }
    assert!(hit_rate.get() < 0.01 && hit_rate.get() >= 0.0);
}

#[test]
fn one_outlier_does_not_make_an_endpoint_slow() {
    let mut latency_ratio = LatencyRatio::default();
    latency_ratio.sample(60.0, 0.1);
    assert!(latency_ratio.get() <= 2.0);
    for _ in 0..30 {
        latency_ratio.sample(0.2, 0.1);
    }
    assert!((latency_ratio.get() - 2.0).abs() < 0.1);
}

#[test]
fn the_load_time_of_a_model_is_learned_from_observed_waits() {
    let mut service = Service::default();
    let artifact = Artifact { model: "m".into(), adapter: None };
    let seconds = Duration::from_secs;
    assert!(service.expected_load_wait(seconds(0), &artifact) > Duration::ZERO);
    for round in 0..10 {
        service.record_missing(seconds(round * 10), artifact.clone());
        assert!(service.record_loaded(seconds(round * 10 + 3), &artifact));
    }
    assert!(!service.record_loaded(seconds(200), &artifact));
    // A load that no request waits for is not a sample.
    service.record_missing(seconds(210), artifact.clone());
    assert!(!service.record_loaded(seconds(250), &artifact));
    service.record_missing(seconds(300), artifact.clone());
    let wait = service.expected_load_wait(seconds(301), &artifact).as_secs_f64();
    assert!((1.9..2.1).contains(&wait), "{wait}");
}
