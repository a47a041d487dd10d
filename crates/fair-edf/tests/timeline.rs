//! Compares the timelines with an exhaustive search over all orders and all subsets of requests.

use fair_edf::{Timeline, VariableTimeline};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SIGMA: i64 = 10;

/// A request: its due time and its slot time.
type Request = (i64, i64);

/// Whether all requests, run one after another from `now`, are in time in some order.
fn is_feasible_in_some_order(requests: &[Request], now: i64) -> bool {
    requests.is_empty()
        || (0..requests.len()).any(|first| {
            let mut rest = requests.to_vec();
            let (due, sigma) = rest.remove(first);
            now + sigma <= due && is_feasible_in_some_order(&rest, now + sigma)
        })
}

/// The most requests that can be served, over all subsets.
fn most_served(requests: &[Request], now: i64) -> usize {
    let subset = |bits: u32| -> Vec<Request> {
        let chosen = |index: &usize| bits >> index & 1 == 1;
        (0..requests.len()).filter(chosen).map(|index| requests[index]).collect()
    };
    (0..1u32 << requests.len())
        .map(subset)
        .filter(|chosen| is_feasible_in_some_order(chosen, now))
        .map(|chosen| chosen.len())
        .max()
        .unwrap_or(0)
}

/// The segments by their definition: from the last due time back, each request starts as late as possible.
fn latest_segments(requests: &[Request]) -> Vec<(i64, i64)> {
    let mut by_deadline = requests.to_vec();
    by_deadline.sort_unstable();
    let mut segments: Vec<(i64, i64)> = Vec::new();
    for (due, sigma) in by_deadline.into_iter().rev() {
        match segments.last_mut() {
            Some(next) if next.0 <= due => next.0 -= sigma,
            _ => segments.push((due - sigma, due)),
        }
    }
    segments.reverse();
    segments
}

fn uniform(dues: &[i64]) -> Vec<Request> {
    dues.iter().map(|due| (*due, SIGMA)).collect()
}

fn timeline(dues: &[i64]) -> Timeline<usize> {
    let mut timeline = Timeline::new(SIGMA);
    dues.iter().enumerate().for_each(|(key, due)| timeline.insert(*due, key));
    timeline
}

fn variable_timeline(requests: &[Request]) -> VariableTimeline<usize> {
    let mut timeline = VariableTimeline::default();
    requests.iter().enumerate().for_each(|(key, (due, sigma))| timeline.insert(*due, key, *sigma));
    timeline
}

/// A fixed seed, so that every run has the same cases.
fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn feasible_exactly_when_some_order_is(dues in vec(5i64..80, 0..7)) {
        let feasible = is_feasible_in_some_order(&uniform(&dues), 0);
        let mut timeline = timeline(&dues);
        prop_assert_eq!(timeline.overdue(0).is_none(), feasible);
        prop_assert_eq!(timeline.start().is_none_or(|start| start >= 0), feasible);
    }

    #[test]
    fn refusing_any_overdue_request_refuses_the_fewest(
        dues in vec(5i64..60, 1..8),
        choices in vec(any::<prop::sample::Index>(), 8),
    ) {
        let mut timeline = timeline(&dues);
        let mut refused = 0;
        while let Some(candidates) = timeline.overdue(0) {
            let victim = candidates[choices[refused].index(candidates.len())];
            prop_assert!(timeline.remove(dues[victim], victim));
            refused += 1;
        }
        prop_assert_eq!(dues.len() - refused, most_served(&uniform(&dues), 0));
        let left: Vec<_> = timeline.iter().map(|(due, _)| (due, SIGMA)).collect();
        prop_assert!(is_feasible_in_some_order(&left, 0));
    }

    #[test]
    fn overdue_requests_end_with_the_first_that_cannot_be_met(dues in vec(5i64..60, 1..8)) {
        let mut timeline = timeline(&dues);
        if let Some(candidates) = timeline.overdue(0) {
            let of = |keys: &[usize]| uniform(&keys.iter().map(|key| dues[*key]).collect::<Vec<_>>());
            prop_assert!(!is_feasible_in_some_order(&of(&candidates), 0));
            prop_assert!(is_feasible_in_some_order(&of(&candidates[..candidates.len() - 1]), 0));
        }
    }

    #[test]
    fn segments_stay_the_latest_schedule_through_any_changes(
        dues in vec(0i64..200, 1..30),
        removals in vec(any::<prop::sample::Index>(), 0..30),
        sigmas in vec(1i64..20, 30),
    ) {
        let mut timeline = timeline(&dues);
        let mut queued: Vec<(i64, usize)> = dues.iter().copied().zip(0..).collect();
        for (removal, sigma) in removals.iter().zip(&sigmas) {
            if queued.is_empty() {
                break;
            }
            let (due, key) = queued.swap_remove(removal.index(queued.len()));
            prop_assert!(timeline.remove(due, key));
            prop_assert!(!timeline.remove(due, key));
            if sigma % 3 == 0 {
                timeline.set_sigma(*sigma);
            }
            let requests: Vec<_> = queued.iter().map(|(due, _)| (*due, timeline.sigma())).collect();
            prop_assert_eq!(timeline.segments(), latest_segments(&requests));
            prop_assert_eq!(timeline.len(), queued.len());
        }
    }

    #[test]
    fn release_by_earliest_deadline_keeps_the_segments(dues in vec(0i64..200, 1..30)) {
        let mut timeline = timeline(&dues);
        let mut left = uniform(&dues);
        left.sort_unstable();
        while let Some((due, key)) = timeline.first() {
            prop_assert_eq!(left.remove(0).0, due);
            timeline.remove(due, key);
            prop_assert_eq!(timeline.segments(), latest_segments(&left));
        }
        prop_assert!(left.is_empty() && timeline.is_empty());
    }

    #[test]
    fn a_variable_timeline_is_feasible_exactly_when_some_order_is(
        requests in vec((5i64..80, 1i64..25), 0..7),
    ) {
        let mut timeline = variable_timeline(&requests);
        prop_assert_eq!(timeline.overdue(0).is_none(), is_feasible_in_some_order(&requests, 0));
        prop_assert_eq!(timeline.segments(), latest_segments(&requests));
    }

    #[test]
    fn refusing_the_longest_overdue_requests_refuses_the_fewest(
        requests in vec((5i64..60, 1i64..25), 1..8),
        choices in vec(any::<prop::sample::Index>(), 8),
    ) {
        let mut timeline = variable_timeline(&requests);
        let mut refused = 0;
        while let Some(candidates) = timeline.longest_overdue(0) {
            let victim = candidates[choices[refused].index(candidates.len())];
            prop_assert!(timeline.remove(requests[victim].0, victim));
            refused += 1;
        }
        prop_assert_eq!(requests.len() - refused, most_served(&requests, 0));
    }

    #[test]
    fn a_variable_timeline_keeps_the_latest_schedule_through_any_removals(
        requests in vec((0i64..200, 1i64..25), 1..30),
        removals in vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let mut timeline = variable_timeline(&requests);
        let mut queued: Vec<(Request, usize)> = requests.iter().copied().zip(0..).collect();
        for removal in &removals {
            if queued.is_empty() {
                break;
            }
            let ((due, _), key) = queued.swap_remove(removal.index(queued.len()));
            prop_assert!(timeline.remove(due, key));
            let left: Vec<_> = queued.iter().map(|(request, _)| *request).collect();
            prop_assert_eq!(timeline.segments(), latest_segments(&left));
        }
    }
}

#[test]
fn the_example_of_the_paper_gives_its_segments() {
    let mut timeline = timeline(&[30, 100, 100, 140, 50, 145, 150]);
    assert_eq!(timeline.start(), Some(20));
    assert_eq!(timeline.segments(), [(20, 30), (40, 50), (80, 100), (120, 150)]);
    timeline.insert(70, 10);
    assert_eq!(timeline.segments(), [(20, 30), (40, 50), (60, 70), (80, 100), (120, 150)]);
    timeline.insert(45, 11);
    assert_eq!(timeline.segments()[0], (20, 50));
    timeline.insert(25, 12);
    timeline.insert(40, 13);
    assert_eq!(timeline.segments()[0], (0, 50));
    assert_eq!(timeline.overdue(10).map(|first| first.len()), Some(4));
    timeline.remove(30, 0);
    assert_eq!((timeline.overdue(10), timeline.segments()[0]), (None, (10, 50)));
}

#[test]
fn the_deterministic_sweep_refuses_the_fewest() {
    // A full sweep over a coarse grid of deadlines: no sampling.
    let mut infeasible = 0;
    for code in 0..6usize.pow(5) {
        let dues: Vec<i64> = (0..5).map(|place| 5 + 9 * (code / 6usize.pow(place) % 6) as i64).collect();
        let mut timeline = timeline(&dues);
        let mut dropped = 0;
        while let Some(first) = timeline.overdue(0) {
            let victim = first[code % first.len()];
            timeline.remove(dues[victim], victim);
            dropped += 1;
        }
        assert_eq!(dues.len() - dropped, most_served(&uniform(&dues), 0), "{dues:?}");
        infeasible += usize::from(dropped > 0);
    }
    assert!(infeasible > 100, "only {infeasible} of the timelines were infeasible");
}

#[test]
fn a_request_inserted_twice_counts_once() {
    let mut timeline = timeline(&[50]);
    timeline.insert(50, 0);
    assert_eq!((timeline.len(), timeline.segments()), (1, &[(40, 50)][..]));
    let mut timeline = variable_timeline(&[(50, 10)]);
    timeline.insert(50, 0, 20);
    assert_eq!((timeline.len(), timeline.segments()), (1, &[(30, 50)][..]));
}
