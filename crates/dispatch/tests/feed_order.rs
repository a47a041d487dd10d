//! Feed events between two heartbeats of an endpoint, which carry the sequence of the first.

mod support;

use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::Instance;
use lanegate_dispatch::Dispatcher;
use lanegate_dispatch::interface::Decision;
use support::{engine, generation, ms, synchronized};

/// The endpoints to which requests were sent since the last call.
fn sent(dispatcher: &mut Dispatcher) -> Vec<String> {
    let decisions = dispatcher.take_decisions();
    let sends = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Send { instance, .. } => Some(instance.to_string()),
        _ => None,
    });
    sends.collect()
}

#[test]
fn a_model_that_is_being_evicted_gets_no_requests_before_the_next_heartbeat() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1", "m2"]), engine("e2", &["m1"])]);
    dispatcher.apply(ms(100), &FeedEvent::Instance(engine("e1", &["m2"])));
    for id in 1..=8 {
        dispatcher.submit(ms(200 + id), generation(id, 200 + id, "m1", &[(id, 100)]));
    }
    assert_eq!(sent(&mut dispatcher), ["e2"; 8]);
}

#[test]
fn a_loaded_model_serves_queued_requests_before_the_next_heartbeat() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1"])]);
    dispatcher.submit(ms(10), generation(1, 10, "m2", &[(1, 100)]));
    assert_eq!(sent(&mut dispatcher), [""; 0]);
    dispatcher.apply(ms(700), &FeedEvent::Instance(engine("e1", &["m1", "m2"])));
    assert_eq!(sent(&mut dispatcher), ["e1"]);
}

#[test]
fn events_older_than_the_newest_heartbeat_are_ignored() {
    let newer = Instance { sequence: 5, ..engine("e1", &["m1"]) };
    let mut dispatcher = synchronized(&[newer]);
    dispatcher.apply(ms(100), &FeedEvent::Instance(Instance { sequence: 4, ..engine("e1", &["m2"]) }));
    dispatcher.submit(ms(200), generation(1, 200, "m1", &[(1, 100)]));
    assert_eq!(sent(&mut dispatcher), ["e1"]);
}
