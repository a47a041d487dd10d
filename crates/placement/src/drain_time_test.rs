use crate::drain_time::DrainTimeEstimate;
use std::time::Duration;

#[test]
fn idle_model_is_evicted_at_once_and_busy_model_is_not() {
    let drain = DrainTimeEstimate::default();
    assert_eq!(drain.expected_s(0.0), 0.0);
    assert!(drain.expected_s(0.05) < 0.2);
    assert!(drain.expected_s(10.0) > 1.4);
}

#[test]
fn estimate_follows_evictions_of_busy_models_only() {
    let mut drain = DrainTimeEstimate::default();
    let initial = drain.expected_s(10.0);
    drain.observe(0.2, Duration::from_millis(300));
    assert_eq!(drain.expected_s(10.0), initial);
    for _ in 0..30 {
        drain.observe(5.0, Duration::from_secs(6));
    }
    assert!((drain.expected_s(10.0) - 6.0).abs() < 0.1);
    for _ in 0..30 {
        drain.observe(5.0, Duration::from_millis(400));
    }
    assert!((drain.expected_s(10.0) - 0.4).abs() < 0.1);
}

#[test]
fn single_slow_eviction_is_capped() {
    let mut drain = DrainTimeEstimate::default();
    drain.observe(5.0, Duration::from_secs(3_600));
    assert!(drain.expected_s(10.0) < 6.0);
}
