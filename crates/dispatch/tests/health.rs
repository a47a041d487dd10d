//! Passive health: what ejects an endpoint, and how it returns.

mod support;

use lanegate_dispatch::health::{Failure, Health, HealthStatus};
use support::ms;

#[test]
fn consecutive_error_responses_eject_but_a_single_one_does_not() {
    let mut health = Health::default();
    health.record_failure(ms(10), Failure::ErrorResponse, true, 1.0);
    health.record_failure(ms(20), Failure::ErrorResponse, true, 1.0);
    assert_eq!(health.status(ms(20)), HealthStatus::Healthy);
    health.record_failure(ms(30), Failure::ErrorResponse, true, 1.0);
    assert!(health.is_ejected());
    let mut mixed = Health::default();
    for at in 0..10 {
        mixed.record_failure(ms(at * 10), Failure::ErrorResponse, true, 1.0);
        mixed.record_success(ms(at * 10 + 5), true);
    }
    assert_eq!(mixed.status(ms(200)), HealthStatus::Healthy);
}

#[test]
fn broken_connections_eject_with_exponential_backoff() {
    let mut health = Health::default();
    health.record_failure(ms(0), Failure::Connection, true, 1.0);
    assert!(matches!(health.status(ms(299)), HealthStatus::Ejected { .. }));
    assert!(matches!(health.status(ms(300)), HealthStatus::HalfOpen { .. }));
    health.record_dispatch();
    assert!(matches!(health.status(ms(310)), HealthStatus::Ejected { .. }), "one trial at a time");
    health.record_failure(ms(310), Failure::Connection, true, 1.0);
    assert!(matches!(health.status(ms(310 + 450)), HealthStatus::Ejected { .. }));
    assert!(matches!(health.status(ms(310 + 500)), HealthStatus::HalfOpen { .. }));
}

#[test]
fn the_backoff_is_bounded() {
    let mut health = Health::default();
    for _ in 0..50 {
        health.record_failure(ms(0), Failure::Timeout, true, 1.0);
    }
    assert!(matches!(health.status(ms(8_000)), HealthStatus::HalfOpen { .. }));
}

#[test]
fn a_successful_trial_starts_a_slow_start() {
    let mut health = Health::default();
    health.record_failure(ms(0), Failure::Timeout, true, 1.0);
    health.record_dispatch();
    health.record_success(ms(3_000), true);
    let mut allowed = Vec::new();
    while let HealthStatus::SlowStart(most) = health.status(ms(3_000)) {
        allowed.push(most);
        health.record_success(ms(3_000), true);
    }
    assert_eq!(allowed, [1, 2, 4, 8, 16]);
    assert_eq!(health.status(ms(3_000)), HealthStatus::Healthy);
    assert_eq!(health.consecutive_failures(), 0);
}

#[test]
fn activity_ends_a_timeout_but_not_an_ejection_for_broken_connections() {
    let mut slow = Health::default();
    slow.record_failure(ms(0), Failure::Timeout, true, 1.0);
    slow.record_activity(ms(10));
    assert_eq!(slow.status(ms(10)), HealthStatus::Healthy, "it was only slow");
    slow.record_failure(ms(20), Failure::Timeout, true, 1.0);
    slow.record_activity(ms(30));
    assert_eq!(slow.status(ms(30)), HealthStatus::SlowStart(1));
    let mut broken = Health::default();
    broken.record_failure(ms(0), Failure::Connection, true, 1.0);
    broken.record_activity(ms(10));
    assert!(matches!(broken.status(ms(10)), HealthStatus::Ejected { .. }));
}

#[test]
fn it_stays_in_rotation_when_too_many_others_are_ejected() {
    let mut health = Health::default();
    health.record_failure(ms(0), Failure::Connection, false, 1.0);
    assert_eq!(health.status(ms(0)), HealthStatus::Healthy);
    assert_eq!(health.consecutive_failures(), 1);
}

#[test]
fn a_trial_without_a_result_allows_another_trial() {
    let mut health = Health::default();
    health.record_failure(ms(0), Failure::Connection, true, 1.0);
    health.record_dispatch();
    health.cancel_trial();
    assert!(matches!(health.status(ms(400)), HealthStatus::HalfOpen { .. }));
}
