//! The log line of a request that shutdown aborts.

use hyper::header::HeaderValue;
use lanegate_config::configuration::RouteType;
use lanegate_dispatch::interface::{Decision, Request, RequestId};
use lanegate_router::process::aborted_requests::AbortedRequests;
use lanegate_router::request::open_request::OpenRequest;
use std::time::Duration;

const SIGTERM: Duration = Duration::from_millis(4_000);
const NOW: Duration = Duration::from_millis(11_400);

fn open_request() -> OpenRequest {
    let request = Request {
        id: RequestId(7),
        backend: "plain".into(),
        route: "stream".into(),
        route_type: RouteType::Streaming,
        resumable: false,
        max_attempts: 1,
        priority: 1,
        arrived: Duration::from_millis(3_000),
        target: Duration::from_millis(8_000),
        deadline: Duration::from_millis(23_000),
        body_bytes: 0,
        generation: None,
    };
    OpenRequest::new(&request, Some(HeaderValue::from_static("q-1")))
}

fn send_decision() -> Decision {
    Decision::Send {
        request: RequestId(7),
        attempt: 1,
        instance: "i-1".into(),
        address: "127.0.0.1:80".parse().unwrap(),
        engine_priority: 1,
        resume: false,
    }
}

#[test]
fn a_queued_request_has_no_endpoint() {
    assert_eq!(
        open_request().summary(NOW, SIGTERM).to_string(),
        "attempt_id=q-1 route=stream endpoint=none age_ms=8400 since_sigterm_ms=7400 \
         sent_before_sigterm=true answer=not_begun last_event_ms_ago=none"
    );
}

#[test]
fn a_stream_names_its_endpoint_and_the_time_of_its_last_event() {
    let open = open_request();
    open.on_decision(send_decision());
    open.record_forwarded(Duration::from_millis(10_900));
    let line = open.summary(NOW, SIGTERM).to_string();
    assert!(line.contains(" endpoint=i-1 "), "{line}");
    assert!(line.ends_with(" answer=begun last_event_ms_ago=500"), "{line}");
}

#[test]
fn an_answer_that_the_client_has_not_taken_is_reported_as_complete() {
    let open = open_request();
    open.on_decision(send_decision());
    open.record_forwarded(Duration::from_millis(10_900));
    open.record_completed();
    assert!(open.summary(NOW, SIGTERM).to_string().contains(" answer=complete "));
}

#[test]
fn requests_aborted_at_shutdown_are_counted_by_age() {
    let aborted = AbortedRequests::default();
    for milliseconds in [0, 999, 1_000, 5_999, 6_000, 12_000, 90_000] {
        aborted.count(Duration::from_millis(milliseconds));
    }
    let counts: Vec<(&str, u64)> = aborted.by_age().collect();
    let expected = [("under_1s", 2), ("1s_to_3s", 1), ("3s_to_6s", 1), ("6s_to_12s", 1), ("over_12s", 2)];
    assert_eq!(counts, expected);
}
