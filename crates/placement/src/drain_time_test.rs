use crate::drain_time::DrainTimeEstimate;
use std::time::Duration;

#[test]
fn an_idle_model_goes_at_once_and_a_busy_one_takes_its_time() {
    let drain = DrainTimeEstimate::default();
    assert_eq!(drain.expected_s(0.0), 0.0);
    assert!(drain.expected_s(0.05) < 0.2);
    assert!(drain.expected_s(10.0) > 1.4);
}

#[test]
fn evictions_of_busy_models_teach_and_those_of_idle_ones_do_not() {
    let mut drain = DrainTimeEstimate::default();
    let untaught = drain.expected_s(10.0);
    drain.observe(0.2, Duration::from_millis(300));
    assert_eq!(drain.expected_s(10.0), untaught);
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
fn one_stuck_endpoint_does_not_stop_all_evictions() {
    let mut drain = DrainTimeEstimate::default();
    drain.observe(5.0, Duration::from_secs(3_600));
    assert!(drain.expected_s(10.0) < 6.0);
}
