use crate::interface::OrderId;
use crate::load_limiter::LoadLimiter;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(5);

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// A limiter of 14 loads in 5 s, with a high concurrency limit.
fn limiter(assumed_until: Duration) -> LoadLimiter {
    let mut limiter = LoadLimiter::new(WINDOW, 1.1, assumed_until);
    limiter.set_limits(2.8, 50.0);
    limiter
}

fn load(limiter: &mut LoadLimiter, order: u64, at: Duration) {
    limiter.start(OrderId(order), at + seconds(1.0));
    limiter.accepted(OrderId(order), at);
}

#[test]
fn window_allows_permitted_loads_and_slides() {
    let mut limiter = limiter(Duration::ZERO);
    for order in 0..14 {
        assert!(limiter.available(seconds(1.0), 0, 0) > 0);
        load(&mut limiter, order, seconds(1.0));
    }
    assert_eq!(limiter.available(seconds(5.9), 0, 0), 0);
    assert_eq!(limiter.next_free(seconds(3.0)), Some(seconds(6.0)));
    assert_eq!(limiter.available(seconds(6.0), 0, 0), 14);
}

#[test]
fn unresolved_load_counts_until_it_finishes() {
    let mut limiter = limiter(Duration::ZERO);
    limiter.start(OrderId(1), seconds(1.0));
    assert_eq!(limiter.available(seconds(60.0), 0, 0), 13);
    limiter.finish(OrderId(1), seconds(60.0));
    assert_eq!(limiter.available(seconds(64.9), 0, 0), 13);
    assert_eq!(limiter.available(seconds(65.0), 0, 0), 14);
}

#[test]
fn cancelled_load_does_not_count() {
    let mut limiter = limiter(Duration::ZERO);
    limiter.start(OrderId(1), seconds(1.0));
    limiter.cancel(OrderId(1));
    assert_eq!(limiter.available(seconds(0.1), 0, 0), 14);
}

#[test]
fn two_takeovers_after_full_window_stay_below_rate_limit() {
    let most = 2.8 * 5.0 * 1.1 + 3.0;
    let mut first = limiter(seconds(8.0));
    let mut second = limiter(seconds(11.0));
    let of_first = first.available(seconds(3.0), 0, 0);
    let of_second = second.available(seconds(6.0), 0, 0);
    assert!(of_first > 0 && of_second > 0);
    assert!(14.0 + (of_first + of_second) as f64 <= most);
}

#[test]
fn lowest_rate_still_allows_one_load() {
    let mut limiter = LoadLimiter::new(WINDOW, 1.0, Duration::ZERO);
    limiter.set_limits(0.1, 0.1);
    assert_eq!(limiter.available(Duration::ZERO, 0, 0), 1);
}

#[test]
fn concurrency_follows_rate_and_shrinks_with_slow_loads() {
    let mut limiter = LoadLimiter::new(WINDOW, 1.1, Duration::ZERO);
    limiter.set_limits(2.8, 5.6);
    assert_eq!(limiter.available(Duration::ZERO, 0, 0), 6);
    assert_eq!(limiter.available(Duration::ZERO, 0, 1), 7);
    limiter.observe(seconds(4.0), seconds(2.0));
    assert_eq!(limiter.available(Duration::ZERO, 0, 0), 5);
    limiter.observe(seconds(1.0), seconds(2.0));
    limiter.observe(seconds(1.0), seconds(2.0));
    assert_eq!(limiter.available(Duration::ZERO, 0, 0), 6);
}

#[test]
fn load_frees_its_concurrency_slot_by_time_or_when_finished() {
    let mut limiter = LoadLimiter::new(WINDOW, 1.1, Duration::ZERO);
    limiter.set_limits(2.8, 1.0);
    load(&mut limiter, 1, Duration::ZERO);
    load(&mut limiter, 2, Duration::ZERO);
    assert_eq!(limiter.available(seconds(0.5), 0, 0), 0);
    limiter.finish(OrderId(1), seconds(0.5));
    assert_eq!(limiter.available(seconds(0.5), 0, 0), 1);
    assert_eq!(limiter.available(seconds(1.0), 0, 0), 2);
}
