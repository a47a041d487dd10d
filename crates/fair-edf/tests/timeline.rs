//! The occupancy charts against naive models: all orders, all subsets.

use fair_edf::{Timeline, VariableTimeline};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SIGMA: i64 = 10;

/// A request: its deadline and its slot time.
type Request = (i64, i64);

/// Whether some order serves every request, one after another from `now`, by its deadline.
fn some_order_works(requests: &[Request], now: i64) -> bool {
    requests.is_empty()
        || (0..requests.len()).any(|first| {
            let mut rest = requests.to_vec();
            let (due, sigma) = rest.remove(first);
            now + sigma <= due && some_order_works(&rest, now + sigma)
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
        .filter(|chosen| some_order_works(chosen, now))
        .map(|chosen| chosen.len())
        .max()
        .unwrap_or(0)
}

/// The segments by definition: from the last deadline back, each request starts as late as it can.
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

fn chart(dues: &[i64]) -> Timeline<usize> {
    let mut chart = Timeline::new(SIGMA);
    dues.iter().enumerate().for_each(|(key, due)| chart.insert(*due, key));
    chart
}

fn varied_chart(requests: &[Request]) -> VariableTimeline<usize> {
    let mut chart = VariableTimeline::default();
    requests.iter().enumerate().for_each(|(key, (due, sigma))| chart.insert(*due, key, *sigma));
    chart
}

/// The same cases in each run.
fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn feasible_exactly_when_some_order_works(dues in vec(5i64..80, 0..7)) {
        let feasible = some_order_works(&uniform(&dues), 0);
        let mut chart = chart(&dues);
        prop_assert_eq!(chart.overdue(0).is_none(), feasible);
        prop_assert_eq!(chart.start().is_none_or(|start| start >= 0), feasible);
    }

    #[test]
    fn any_choice_of_what_is_overdue_refuses_the_fewest(
        dues in vec(5i64..60, 1..8),
        choices in vec(any::<prop::sample::Index>(), 8),
    ) {
        let mut chart = chart(&dues);
        let mut refused = 0;
        while let Some(candidates) = chart.overdue(0) {
            let victim = candidates[choices[refused].index(candidates.len())];
            prop_assert!(chart.remove(dues[victim], victim));
            refused += 1;
        }
        prop_assert_eq!(dues.len() - refused, most_served(&uniform(&dues), 0));
        let left: Vec<_> = chart.iter().map(|(due, _)| (due, SIGMA)).collect();
        prop_assert!(some_order_works(&left, 0));
    }

    #[test]
    fn what_is_proposed_first_ends_with_the_first_that_cannot_be_met(dues in vec(5i64..60, 1..8)) {
        let mut chart = chart(&dues);
        if let Some(candidates) = chart.overdue(0) {
            let of = |keys: &[usize]| uniform(&keys.iter().map(|key| dues[*key]).collect::<Vec<_>>());
            prop_assert!(!some_order_works(&of(&candidates), 0));
            prop_assert!(some_order_works(&of(&candidates[..candidates.len() - 1]), 0));
        }
    }

    #[test]
    fn segments_stay_the_latest_schedule_through_any_changes(
        dues in vec(0i64..200, 1..30),
        removals in vec(any::<prop::sample::Index>(), 0..30),
        sigmas in vec(1i64..20, 30),
    ) {
        let mut chart = chart(&dues);
        let mut held: Vec<(i64, usize)> = dues.iter().copied().zip(0..).collect();
        for (removal, sigma) in removals.iter().zip(&sigmas) {
            if held.is_empty() {
                break;
            }
            let (due, key) = held.swap_remove(removal.index(held.len()));
            prop_assert!(chart.remove(due, key));
            prop_assert!(!chart.remove(due, key));
            if sigma % 3 == 0 {
                chart.resize(*sigma);
            }
            let requests: Vec<_> = held.iter().map(|(due, _)| (*due, chart.sigma())).collect();
            prop_assert_eq!(chart.segments(), latest_segments(&requests));
            prop_assert_eq!(chart.len(), held.len());
        }
    }

    #[test]
    fn release_by_earliest_deadline_keeps_the_segments(dues in vec(0i64..200, 1..30)) {
        let mut chart = chart(&dues);
        let mut left = uniform(&dues);
        left.sort_unstable();
        while let Some((due, key)) = chart.first() {
            prop_assert_eq!(left.remove(0).0, due);
            chart.remove(due, key);
            prop_assert_eq!(chart.segments(), latest_segments(&left));
        }
        prop_assert!(left.is_empty() && chart.is_empty());
    }

    #[test]
    fn a_varied_chart_is_feasible_exactly_when_some_order_works(
        requests in vec((5i64..80, 1i64..25), 0..7),
    ) {
        let mut chart = varied_chart(&requests);
        prop_assert_eq!(chart.overdue(0).is_none(), some_order_works(&requests, 0));
        prop_assert_eq!(chart.segments(), latest_segments(&requests));
    }

    #[test]
    fn the_longest_that_are_overdue_refuse_the_fewest(
        requests in vec((5i64..60, 1i64..25), 1..8),
        choices in vec(any::<prop::sample::Index>(), 8),
    ) {
        let mut chart = varied_chart(&requests);
        let mut refused = 0;
        while let Some(candidates) = chart.longest_overdue(0) {
            let victim = candidates[choices[refused].index(candidates.len())];
            prop_assert!(chart.remove(requests[victim].0, victim));
            refused += 1;
        }
        prop_assert_eq!(requests.len() - refused, most_served(&requests, 0));
    }

    #[test]
    fn a_varied_chart_keeps_the_latest_schedule_through_any_removals(
        requests in vec((0i64..200, 1i64..25), 1..30),
        removals in vec(any::<prop::sample::Index>(), 0..30),
    ) {
        let mut chart = varied_chart(&requests);
        let mut held: Vec<(Request, usize)> = requests.iter().copied().zip(0..).collect();
        for removal in &removals {
            if held.is_empty() {
                break;
            }
            let ((due, _), key) = held.swap_remove(removal.index(held.len()));
            prop_assert!(chart.remove(due, key));
            let left: Vec<_> = held.iter().map(|(request, _)| *request).collect();
            prop_assert_eq!(chart.segments(), latest_segments(&left));
        }
    }
}

#[test]
fn the_paper_s_example_makes_its_segments() {
    let mut chart = chart(&[30, 100, 100, 140, 50, 145, 150]);
    assert_eq!(chart.start(), Some(20));
    assert_eq!(chart.segments(), [(20, 30), (40, 50), (80, 100), (120, 150)]);
    chart.insert(70, 10);
    assert_eq!(chart.segments(), [(20, 30), (40, 50), (60, 70), (80, 100), (120, 150)]);
    chart.insert(45, 11);
    assert_eq!(chart.segments()[0], (20, 50));
    chart.insert(25, 12);
    chart.insert(40, 13);
    assert_eq!(chart.segments()[0], (0, 50));
    assert_eq!(chart.overdue(10).map(|first| first.len()), Some(4));
    chart.remove(30, 0);
    assert_eq!((chart.overdue(10), chart.segments()[0]), (None, (10, 50)));
}

#[test]
fn the_deterministic_sweep_drops_the_fewest() {
    // A full sweep over a coarse grid of deadlines: no sampling.
    let mut infeasible = 0;
    for code in 0..6usize.pow(5) {
        let dues: Vec<i64> = (0..5).map(|place| 5 + 9 * (code / 6usize.pow(place) % 6) as i64).collect();
        let mut chart = chart(&dues);
        let mut dropped = 0;
        while let Some(first) = chart.overdue(0) {
            let victim = first[code % first.len()];
            chart.remove(dues[victim], victim);
            dropped += 1;
        }
        assert_eq!(dues.len() - dropped, most_served(&uniform(&dues), 0), "{dues:?}");
        infeasible += usize::from(dropped > 0);
    }
    assert!(infeasible > 100, "only {infeasible} of the charts were infeasible");
}

#[test]
fn a_request_held_twice_counts_once() {
    let mut chart = chart(&[50]);
    chart.insert(50, 0);
    assert_eq!((chart.len(), chart.segments()), (1, &[(40, 50)][..]));
    let mut varied = varied_chart(&[(50, 10)]);
    varied.insert(50, 0, 20);
    assert_eq!((varied.len(), varied.segments()), (1, &[(30, 50)][..]));
}
