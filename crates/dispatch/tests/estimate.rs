//! What is learned from answers.

use lanegate_dispatch::estimate::{FirstByteLine, Share, Slowness};
use lanegate_dispatch::service::{Artifact, Service};
use std::time::Duration;

#[test]
fn the_line_finds_base_and_rate_from_a_few_answers() {
    let mut line = FirstByteLine::default();
    let truth = |tokens: f64| 0.012 + tokens / 38_000.0;
    for round in 0..30 {
        let tokens = [826.0, 9_190.0, 2_890.0, 628.0][round % 4];
        line.sample(tokens, truth(tokens));
    }
    for tokens in [0.0, 1_000.0, 9_000.0, 20_000.0] {
        let error = (line.expected_s(tokens) - truth(tokens)).abs() / truth(tokens);
        assert!(error < 0.25, "{tokens} tokens: {} s", line.expected_s(tokens));
    }
}

#[test]
fn the_line_never_falls_below_zero() {
    let mut line = FirstByteLine::default();
    for _ in 0..200 {
        line.sample(10_000.0, 0.01);
        line.sample(10.0, 0.5);
    }
    assert!(line.per_token_s() >= 0.0);
    assert!(line.base_s() >= 0.0);
    assert!(line.expected_s(1e6).is_finite());
}

#[test]
fn the_line_holds_where_all_answers_are_alike() {
    let mut line = FirstByteLine::default();
    for _ in 0..500 {
        line.sample(0.0, 0.06);
    }
    assert!((line.expected_s(0.0) - 0.06).abs() < 0.002);
}

#[test]
fn shares_stay_between_none_and_all() {
    let mut share = Share::new(0.5);
    for _ in 0..1_000 {
        share.sample(7.0);
    }
    assert!(share.get() > 0.99 && share.get() <= 1.0);
    for _ in 0..1_000 {
        share.sample(-7.0);
    }
    assert!(share.get() < 0.01 && share.get() >= 0.0);
}

#[test]
fn one_odd_answer_does_not_make_an_endpoint_slow() {
    let mut slowness = Slowness::default();
    slowness.sample(60.0, 0.1);
    assert!(slowness.get() <= 2.0);
    for _ in 0..30 {
        slowness.sample(0.2, 0.1);
    }
    assert!((slowness.get() - 2.0).abs() < 0.1);
}

#[test]
fn the_wait_for_a_model_is_learned_from_waits_seen() {
    let mut service = Service::default();
    let artifact = Artifact { model: "m".into(), adapter: None };
    let seconds = Duration::from_secs;
    assert!(service.expected_load_wait(seconds(0), &artifact) > Duration::ZERO);
    for round in 0..10 {
        service.want(seconds(round * 10), artifact.clone());
        assert!(service.placed(seconds(round * 10 + 3), &artifact));
    }
    assert!(!service.placed(seconds(200), &artifact));
    // One that nobody waits for any more tells nothing.
    service.want(seconds(210), artifact.clone());
    assert!(!service.placed(seconds(250), &artifact));
    service.want(seconds(300), artifact.clone());
    let wait = service.expected_load_wait(seconds(301), &artifact).as_secs_f64();
    assert!((1.9..2.1).contains(&wait), "{wait}");
}
