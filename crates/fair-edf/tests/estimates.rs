//! Miss ratios, smoothed times and concurrency limits.

use fair_edf::concurrency_limit::RecentCalls;
use fair_edf::{MissRatios, Smoothing};

const SECOND: i64 = 1_000_000_000;

#[test]
fn the_class_with_the_fewest_misses_has_the_lowest_ratio() {
    let mut ratios = MissRatios::new(2);
    for class in [0, 1] {
        (0..10).for_each(|_| ratios.request(class, SECOND));
    }
    ratios.miss(0, SECOND);
    assert!(ratios.ratio(1) < ratios.ratio(0));
    assert!((ratios.ratio(0) - 1.5 / 11.0).abs() < 1e-12);
}

#[test]
fn a_class_without_requests_has_the_prior_ratio() {
    assert_eq!(MissRatios::new(1).ratio(0), 0.5);
}

#[test]
fn misses_decay() {
    let mut ratios = MissRatios::new(1);
    ratios.request(0, 0);
    ratios.miss(0, 0);
    let fresh = ratios.ratio(0);
    ratios.request(0, 300 * SECOND);
    assert!(fresh > 0.7 && ratios.ratio(0) < 0.26, "{fresh} {}", ratios.ratio(0));
}

#[test]
fn the_first_sample_replaces_the_initial_value_and_later_ones_are_weighted() {
    let smoothing = Smoothing { initial: 0.05, gain: 0.25 };
    let mut time = smoothing.start();
    assert_eq!(time.seconds(), 0.05);
    time.sample(&smoothing, 0.25);
    assert_eq!(time.seconds(), 0.25);
    time.sample(&smoothing, 0.5);
    assert_eq!(time.seconds(), 0.3125);
}

#[test]
fn a_lower_bound_only_raises_the_mean() {
    let smoothing = Smoothing { initial: 0.0, gain: 0.5 };
    let mut time = smoothing.start();
    time.sample(&smoothing, 1.0);
    time.sample_at_least(&smoothing, 0.5);
    assert_eq!(time.seconds(), 1.0);
    time.sample_at_least(&smoothing, 2.0);
    assert_eq!(time.seconds(), 1.5);
}

#[test]
fn the_limit_is_lower_while_most_calls_fail_or_are_slow() {
    let mut calls = RecentCalls::default();
    assert_eq!((calls.cap(100), calls.cap(1)), (75, 1));
    (0..3).for_each(|_| calls.record(false, 0.1, 0.1));
    assert!(!calls.is_degraded(), "three calls are too few");
    calls.record(true, 0.3, 0.1);
    assert_eq!((calls.is_degraded(), calls.cap(100)), (true, 50));
    (0..6).for_each(|_| calls.record(true, 0.2, 0.1));
    assert_eq!((calls.is_degraded(), calls.cap(100)), (false, 75));
}

#[test]
fn only_the_last_twelve_calls_count() {
    let mut calls = RecentCalls::default();
    (0..100).for_each(|_| calls.record(false, 0.1, 0.1));
    (0..6).for_each(|_| calls.record(true, 0.1, 0.1));
    assert!(!calls.is_degraded());
}
