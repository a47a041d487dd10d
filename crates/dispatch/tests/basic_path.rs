//! The basic path: an endpoint registers, a request is sent there and answered.

use lanegate_config::configuration::RouteType;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::{Instance, InstanceState};
use lanegate_dispatch::interface::{AttemptEnd, Decision, FailReason, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn instance(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        backend: "tiles".to_owned(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".to_owned(),
        version: String::new(),
        capacity: 4,
        state: InstanceState::Ready,
        warmup_remaining_ms: 0.0,
        phase: None,
        models: Vec::new(),
        sequence: 1,
        remaining_ms: None,
    }
}

fn request(id: u64, now: u64) -> Request {
    Request {
        id: RequestId(id),
        backend: "tiles".into(),
        route: "fetch".into(),
        route_type: RouteType::NonIdempotent,
        resumable: false,
        max_attempts: 2,
        priority: 1,
        arrived: at(now),
        target: at(now + 300),
        deadline: at(now + 1500),
        body_bytes: 0,
        generation: None,
    }
}

#[test]
fn a_request_goes_to_a_registered_endpoint_and_is_answered() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(at(0), &FeedEvent::Instance(instance("i1")));
    dispatcher.submit(at(10), request(1, 10));
    let sent = dispatcher.take_decisions();
    assert!(
        matches!(&sent[..], [Decision::Send { request: RequestId(1), attempt: 1, instance, .. }] if &**instance == "i1")
    );
    dispatcher.ended(at(60), RequestId(1), 1, AttemptEnd::Answered { success: true, load: None });
    assert!(dispatcher.take_decisions().is_empty());
    assert_eq!(dispatcher.next_wake(), None);
}

#[test]
fn a_request_that_may_have_run_is_failed_and_never_refused() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(at(0), &FeedEvent::Instance(instance("i1")));
    dispatcher.apply(at(0), &FeedEvent::Instance(instance("i2")));
    dispatcher.submit(at(10), request(1, 10));
    dispatcher.take_decisions();
    dispatcher.ended(at(60), RequestId(1), 1, AttemptEnd::Broken);
    let failed = Decision::Fail { request: RequestId(1), reason: FailReason::MayHaveRun };
    assert_eq!(dispatcher.take_decisions(), [failed]);
}
