//! For random histories: no decision violates an invariant, and every request has exactly one end.

mod support;

use lanegate_config::mechanism::SwitchedOff;
use proptest::prelude::*;
use std::time::Duration;
use support::history::{Budget, ENDPOINTS, Event, RandomHistory};
use support::ms;

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..ENDPOINTS, 0..4usize, prop::bool::weighted(0.2))
            .prop_map(|(endpoint, models, draining)| Event::Register { endpoint, models, draining }),
        1 => (0..ENDPOINTS).prop_map(|endpoint| Event::Remove { endpoint }),
        8 => (0..5usize, 1..4u32, 0..3usize)
            .prop_map(|(class, attempts, model)| Event::Submit { class, attempts, model }),
        2 => (0..8usize, 0..3u32).prop_map(|(request, waiting)| Event::Head { request, waiting }),
        4 => (0..8usize).prop_map(|request| Event::FirstByte { request }),
        12 => (0..8usize, 0..9usize).prop_map(|(request, how)| Event::End { request, how }),
        1 => (0..8usize).prop_map(|request| Event::Cancel { request }),
        1 => Just(Event::Stall),
    ]
}

fn budget() -> impl Strategy<Value = Budget> {
    let ratio = prop_oneof![Just(0.0), Just(0.05), Just(0.2), Just(2.0)];
    let slack = prop_oneof![Just(0.0), Just(4.0), Just(12.0), Just(400.0)];
    (ratio, slack).prop_map(|(ratio, slack)| Budget { ratio, slack })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_histories_violate_no_invariant(
        budget in budget(),
        steps in prop::collection::vec((0..200u64, event()), 1..250),
    ) {
        let mut history = RandomHistory::new(budget, SwitchedOff::default());
        for (pause, event) in &steps {
            let to = history.now + ms(*pause);
            history.advance_to(to);
            history.apply_event(event);
        }
        // Requests that are still open end by their deadlines at the latest.
        let end = history.now + Duration::from_secs(10);
        history.advance_to(end);
        prop_assert!(history.open.is_empty(), "open at the end: {:?}", history.open.keys().collect::<Vec<_>>());
        let mut ended = history.ended.clone();
        ended.sort();
        ended.dedup();
        prop_assert_eq!(ended.len(), history.ended.len());
        prop_assert_eq!(history.dispatcher.next_wake(), None);
    }
}
