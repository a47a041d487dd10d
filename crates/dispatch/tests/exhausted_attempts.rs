//! A request that was sent to as many endpoints as its route allows ends once none of these can serve it.

mod support;

use lanegate_config::feed::FeedEvent;
use lanegate_dispatch::Dispatcher;
use lanegate_dispatch::interface::{AttemptEnd, Decision, Request, RequestId};
use std::time::Duration;
use support::{engine, generation, ms, synchronized};

const MISDIRECTED: AttemptEnd = AttemptEnd::NotExecuted { status: 421, load: None, wrong_instance: false };

/// A request that may be sent to one endpoint.
fn once(id: u64, arrived: u64, model: &str) -> Request {
    Request { max_attempts: 1, ..generation(id, arrived, model, &[(id, 100)]) }
}

fn refused(dispatcher: &mut Dispatcher) -> Option<Duration> {
    dispatcher.take_decisions().into_iter().find_map(|decision| match decision {
        Decision::Refuse { retry_after, .. } => Some(retry_after),
        _ => None,
    })
}

#[test]
fn a_request_is_refused_at_once_when_its_only_endpoint_has_evicted_the_model() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1"]), engine("e2", &["m2"])]);
    dispatcher.submit(ms(10), once(1, 10, "m1"));
    dispatcher.ended(ms(20), RequestId(1), 1, MISDIRECTED);
    let wait =
        refused(&mut dispatcher).expect("a refusal: the request has not run, and no endpoint may serve it");
    assert!(wait > ms(500), "the model has to be loaded first: {wait:?}");
}

#[test]
fn the_client_may_retry_at_once_when_another_endpoint_has_the_model() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1"])]);
    dispatcher.submit(ms(10), once(1, 10, "m1"));
    dispatcher.apply(ms(15), &FeedEvent::Instance(engine("e2", &["m1"])));
    dispatcher.ended(ms(20), RequestId(1), 1, MISDIRECTED);
    let wait = refused(&mut dispatcher).expect("a refusal: another endpoint can serve a new request");
    assert!(wait <= ms(50), "{wait:?}");
}

#[test]
fn a_request_stays_queued_while_its_endpoint_still_has_the_model() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1"])]);
    dispatcher.submit(ms(10), once(1, 10, "m1"));
    dispatcher.ended(
        ms(20),
        RequestId(1),
        1,
        AttemptEnd::NotExecuted { status: 503, load: None, wrong_instance: false },
    );
    assert_eq!(refused(&mut dispatcher), None);
}

#[test]
fn a_request_with_two_attempts_waits_for_a_second_endpoint() {
    let mut dispatcher = synchronized(&[engine("e1", &["m1"])]);
    dispatcher.submit(ms(10), generation(1, 10, "m1", &[(1, 100)]));
    dispatcher.ended(ms(20), RequestId(1), 1, MISDIRECTED);
    assert_eq!(refused(&mut dispatcher), None, "the model may still be loaded in time");
}
