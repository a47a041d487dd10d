//! For random histories: no decision breaks a rule, and every request gets exactly one end.

mod support;

use lanegate_config::mechanism::SwitchedOff;
use proptest::prelude::*;
use std::time::Duration;
use support::history::{Budget, ENDPOINTS, Happening, World};
use support::ms;

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        3 => (0..ENDPOINTS, 0..4usize, prop::bool::weighted(0.2))
            .prop_map(|(endpoint, models, draining)| Happening::Register { endpoint, models, draining }),
        1 => (0..ENDPOINTS).prop_map(|endpoint| Happening::Remove { endpoint }),
        8 => (0..5usize, 1..4u32, 0..3usize)
            .prop_map(|(kind, attempts, model)| Happening::Submit { kind, attempts, model }),
        2 => (0..8usize, 0..3u32).prop_map(|(request, waiting)| Happening::Head { request, waiting }),
        4 => (0..8usize).prop_map(|request| Happening::FirstByte { request }),
        12 => (0..8usize, 0..9usize).prop_map(|(request, how)| Happening::End { request, how }),
        1 => (0..8usize).prop_map(|request| Happening::Cancel { request }),
        1 => Just(Happening::Oversleep),
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
    fn no_history_breaks_a_rule(
        budget in budget(),
        steps in prop::collection::vec((0..200u64, happening()), 1..250),
    ) {
        let mut world = World::new(budget, SwitchedOff::default());
        for (pause, happening) in &steps {
            let to = world.now + ms(*pause);
            world.pass(to);
            world.happen(happening);
        }
        // Whatever is still open ends by its deadline at the latest.
        let end = world.now + Duration::from_secs(10);
        world.pass(end);
        prop_assert!(world.open.is_empty(), "open at the end: {:?}", world.open.keys().collect::<Vec<_>>());
        let mut ended = world.ended.clone();
        ended.sort();
        ended.dedup();
        prop_assert_eq!(ended.len(), world.ended.len());
        prop_assert_eq!(world.dispatcher.next_wake(), None);
    }
}
