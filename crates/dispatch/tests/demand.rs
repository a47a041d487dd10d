//! The demand that is reported to the placement.

mod support;

use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::Instance;
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use support::{engine, generation, ms};

#[test]
fn a_report_counts_by_model_and_adapter_and_resets_the_counters() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(ms(0), &FeedEvent::Instance(engine("e1", &["m1"])));
    dispatcher.submit(ms(10), generation(1, 10, "m1", &[(1, 100)]));
    dispatcher.submit(ms(20), generation(2, 20, "m1", &[(1, 100)]));
    let mut adapted = generation(3, 30, "m1", &[(1, 100)]);
    adapted.generation.as_mut().expect("a generation").adapter = Some("a1".into());
    dispatcher.submit(ms(30), adapted);
    let report = dispatcher.demand_report(ms(2_000));
    assert_eq!(report.period_ms, 2_000);
    let reported: Vec<_> =
        report.models.iter().map(|model| (model.adapter.as_deref(), model.requests)).collect();
    assert_eq!(reported, [(None, 2), (Some("a1"), 1)]);
    assert_eq!(report.models[0].tokens, 300);
    assert_eq!((report.models[0].unplaced, report.models[1].unplaced), (0, 1));
    let next = dispatcher.demand_report(ms(3_000));
    assert_eq!(next.period_ms, 1_000);
    let reported: Vec<_> =
        next.models.iter().map(|model| (model.adapter.as_deref(), model.requests, model.unplaced)).collect();
    assert_eq!(reported, [(Some("a1"), 0, 1)], "only the request that still waits");
}

/// The previous report may have been lost when the agent or the connection to it failed.
#[test]
fn requests_that_wait_for_a_model_are_in_each_report_until_it_is_loaded() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(ms(0), &FeedEvent::Synchronized);
    dispatcher.apply(ms(0), &FeedEvent::Instance(engine("e1", &["m1"])));
    dispatcher.submit(ms(10), generation(1, 10, "m2", &[(1, 100)]));
    let reported = |dispatcher: &mut Dispatcher, now: u64| -> Vec<_> {
        let report = dispatcher.demand_report(ms(now));
        report.models.iter().map(|model| (model.model.clone(), model.requests, model.unplaced)).collect()
    };
    assert_eq!(reported(&mut dispatcher, 20), [("m2".to_owned(), 1, 1)]);
    assert_eq!(reported(&mut dispatcher, 1_020), [("m2".to_owned(), 0, 1)]);
    assert!(!dispatcher.has_unplaced_demand(), "waiting requests of earlier reports need no immediate one");
    let loaded = Instance { sequence: 2, ..engine("e1", &["m1", "m2"]) };
    dispatcher.apply(ms(1_100), &FeedEvent::Instance(loaded));
    assert_eq!(reported(&mut dispatcher, 2_020), []);
}
