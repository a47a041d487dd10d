//! The basic path: an endpoint registers, a request is sent there and answered.

mod support;

use lanegate_config::feed::FeedEvent;
use lanegate_dispatch::interface::{AttemptEnd, Decision, FailReason, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use support::{instance, ms, request};

#[test]
fn a_request_goes_to_a_registered_endpoint_and_is_answered() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(ms(0), &FeedEvent::Instance(instance("i1")));
    dispatcher.submit(ms(10), request(1, 10));
    let sent = dispatcher.take_decisions();
    assert!(
        matches!(&sent[..], [Decision::Send { request: RequestId(1), attempt: 1, instance, .. }] if &**instance == "i1")
    );
    dispatcher.ended(ms(60), RequestId(1), 1, AttemptEnd::Answered { success: true, load: None });
    assert!(dispatcher.take_decisions().is_empty());
    assert_eq!(dispatcher.next_wake(), None);
}

#[test]
fn a_request_that_may_have_run_is_failed_and_never_refused() {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    dispatcher.apply(ms(0), &FeedEvent::Instance(instance("i1")));
    dispatcher.apply(ms(0), &FeedEvent::Instance(instance("i2")));
    dispatcher.submit(ms(10), request(1, 10));
    dispatcher.take_decisions();
    dispatcher.ended(ms(60), RequestId(1), 1, AttemptEnd::Broken);
    let failed = Decision::Fail { request: RequestId(1), reason: FailReason::MayHaveRun };
    assert_eq!(dispatcher.take_decisions(), [failed]);
}
