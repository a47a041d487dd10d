//! The retry budget: what one router may use, and what all routers use together.

mod support;

use lanegate_dispatch::budget::{BudgetBounds, RetryBudget};
use proptest::prelude::*;
use std::time::Duration;
use support::ms;

const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.2, window: Duration::from_secs(10), slack: 8.0 };

#[test]
fn a_new_router_may_use_only_its_part_of_half_the_slack() {
    let mut budget = RetryBudget::default();
    assert!(!budget.allows(ms(0), &BOUNDS, None));
    for _ in 0..2 {
        assert!(budget.allows(ms(0), &BOUNDS, Some(2)));
        budget.record_retry(ms(0), &BOUNDS);
    }
    assert!(!budget.allows(ms(0), &BOUNDS, Some(2)));
}

#[test]
fn only_requests_of_the_current_window_allow_retries() {
    let mut budget = RetryBudget::default();
    let bounds = BudgetBounds { slack: 0.0, ..BOUNDS };
    for _ in 0..7 {
        budget.record_request(ms(0), &bounds);
    }
    assert!(budget.allows(ms(100), &bounds, Some(1)));
    budget.record_retry(ms(100), &bounds);
    assert!(!budget.allows(ms(100), &bounds, Some(1)));
    assert_eq!(budget.next_expiry(ms(100), &bounds), Some(ms(10_100)));
    // The retry has left the window, and so have the requests.
    assert!(!budget.allows(ms(10_200), &bounds, Some(1)));
}

#[derive(Debug, Clone)]
struct Step {
    pause: u64,
    router: usize,
    requests: usize,
    requests_made: usize,
}

fn step() -> impl Strategy<Value = Step> {
    (0..1_500u64, 0..3usize, 0..12usize, 0..8usize)
        .prop_map(|(pause, router, requests, requests_made)| Step { pause, router, requests, requests_made })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// In every window that ends with a retry, all routers together stay within the shared bound.
    #[test]
    fn all_routers_together_stay_within_the_shared_budget(steps in prop::collection::vec(step(), 1..200)) {
        let mut routers: Vec<RetryBudget> = (0..3).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries): (Vec<Duration>, Vec<Duration>) = (Vec::new(), Vec::new());
        let mut now = ms(0);
        for step in &steps {
            now += ms(step.pause);
            let router = &mut routers[step.router];
            for _ in 0..step.requests {
                router.record_request(now, &BOUNDS);
                requests.push(now);
            }
            for _ in 0..step.requests_made {
                if router.allows(now, &BOUNDS, Some(3)) {
                    router.record_retry(now, &BOUNDS);
                    retries.push(now);
                    check(now, &requests, &retries)?;
                }
            }
        }
    }
}

/// Checks the bound as an external observer would: against the requests of this window, of the one half a window
/// earlier or of the previous one, whichever has the most.
fn check(now: Duration, requests: &[Duration], retries: &[Duration]) -> Result<(), TestCaseError> {
    let window = BOUNDS.window;
    let within = |times: &[Duration], end: Duration| {
        times.iter().filter(|&&at| at <= end && at + window > end).count() as f64
    };
    let ends = [now, now.saturating_sub(window / 2), now.saturating_sub(window)];
    let most = ends.iter().map(|&end| within(requests, end)).fold(0.0, f64::max);
    prop_assert!(within(retries, now) <= BOUNDS.ratio * most + BOUNDS.slack);
    Ok(())
}
