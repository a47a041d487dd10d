//! The retry budget: what one router uses, and what all use together.

mod support;

use lanegate_dispatch::budget::{BudgetBounds, RetryBudget};
use proptest::prelude::*;
use std::time::Duration;
use support::ms;

const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, window: Duration::from_secs(10), slack: 8.0 };

#[test]
fn a_router_that_has_just_started_has_only_its_part_of_half_the_slack() {
    let mut budget = RetryBudget::default();
    assert!(!budget.allows(ms(0), &BOUNDS, None));
    for _ in 0..2 {
        assert!(budget.allows(ms(0), &BOUNDS, Some(2)));
        budget.repeat(ms(0), &BOUNDS);
    }
    assert!(!budget.allows(ms(0), &BOUNDS, Some(2)));
}

#[test]
fn requests_of_the_window_earn_repeats_and_old_ones_dont() {
    let mut budget = RetryBudget::default();
    let bounds = BudgetBounds { slack: 0.0, ..BOUNDS };
    for _ in 0..7 {
        budget.request(ms(0), &bounds);
    }
    assert!(budget.allows(ms(100), &bounds, Some(1)));
    budget.repeat(ms(100), &bounds);
    assert!(!budget.allows(ms(100), &bounds, Some(1)));
    assert_eq!(budget.eases_at(ms(100), &bounds), Some(ms(10_100)));
    // The repeat has left the window, and so have the requests.
    assert!(!budget.allows(ms(10_200), &bounds, Some(1)));
}

#[derive(Debug, Clone)]
struct Step {
    pause: u64,
    router: usize,
    requests: usize,
    wishes: usize,
}

fn step() -> impl Strategy<Value = Step> {
    (0..1_500u64, 0..3usize, 0..12usize, 0..8usize).prop_map(|(pause, router, requests, wishes)| Step {
        pause,
        router,
        requests,
        wishes,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// In every window that ends with a repeat, all routers together stay within the shared bound.
    #[test]
    fn all_routers_together_stay_within_the_bound(steps in prop::collection::vec(step(), 1..200)) {
        let mut routers: Vec<RetryBudget> = (0..3).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut repeats): (Vec<Duration>, Vec<Duration>) = (Vec::new(), Vec::new());
        let mut now = ms(0);
        for step in &steps {
            now += ms(step.pause);
            let router = &mut routers[step.router];
            for _ in 0..step.requests {
                router.request(now, &BOUNDS);
                requests.push(now);
            }
            for _ in 0..step.wishes {
                if router.allows(now, &BOUNDS, Some(3)) {
                    router.repeat(now, &BOUNDS);
                    repeats.push(now);
                    check(now, &requests, &repeats)?;
                }
            }
        }
    }
}

/// The bound as it is judged: by the requests of the window, of the one before, or of the one half before.
fn check(now: Duration, requests: &[Duration], repeats: &[Duration]) -> Result<(), TestCaseError> {
    let window = BOUNDS.window;
    let within = |times: &[Duration], end: Duration| {
        times.iter().filter(|&&at| at <= end && at + window > end).count() as f64
    };
    let ends = [now, now.saturating_sub(window / 2), now.saturating_sub(window)];
    let most = ends.iter().map(|&end| within(requests, end)).fold(0.0, f64::max);
    prop_assert!(within(repeats, now) <= BOUNDS.ratio * most + BOUNDS.slack);
    Ok(())
}
