//! Requests that are still accepted during shutdown, and those that are refused.

mod support;

use lanegate_config::configuration::{Configuration, RouteType};
use lanegate_config::feed::FeedEvent;
use lanegate_dispatch::interface::{AttemptEnd, Decision, Generation, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::sync::Arc;
use support::{engine, generation, instance, ms, request};

const CONFIGURATION: &str = r#"{
    "Version": 1,
    "Routes": [],
    "Backends": [
        {"Name": "tiles", "MaxConns": 50},
        {"Name": "llm", "MaxConns": 50, "Runtime": {"Capacity": 64, "KvCacheTokens": 9000000, "WeightsMb": 100000,
         "MaxAdapters": 2, "stride": 5, "Models": [{"Name": "m1", "WeightsMb": 1000, "LoadTimeS": 1}]}}
    ]
}"#;

/// A dispatcher with a service of one engine and a service without engines.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    let configuration: Configuration = serde_json::from_str(CONFIGURATION).expect("a configuration");
    dispatcher.apply(ms(0), &FeedEvent::Configuration(Arc::new(configuration)));
    dispatcher.apply(ms(0), &FeedEvent::Instance(engine("e1", &["m1"])));
    dispatcher.apply(ms(0), &FeedEvent::Instance(instance("i1")));
    dispatcher.apply(ms(0), &FeedEvent::Routers { live: 1 });
    dispatcher.apply(ms(0), &FeedEvent::Synchronized);
    dispatcher
}

/// A stream with 15 s for an answer of `output_tokens`.
fn stream(id: u64, arrived: u64, output_tokens: u32) -> Request {
    let request = generation(id, arrived, "m1", &[(id, 100)]);
    let requested = request.generation.as_ref().expect("a generation").clone();
    let deadline = ms(arrived + 15_000);
    Request { deadline, generation: Some(Generation { output_tokens, ..requested }), ..request }
}

/// Submits a request; returns whether it was sent.
fn is_sent(dispatcher: &mut Dispatcher, now: u64, request: Request) -> bool {
    dispatcher.submit(ms(now), request);
    dispatcher.take_decisions().iter().any(|decision| matches!(decision, Decision::Send { .. }))
}

/// Completes the only attempt of a request `served` ms after it was sent.
fn answer(dispatcher: &mut Dispatcher, id: u64, sent: u64, served: u64) {
    let (id, end) = (RequestId(id), ms(sent + served));
    while let Some(at) = dispatcher.next_wake().filter(|at| *at <= end) {
        dispatcher.wake(at);
    }
    dispatcher.progress(end, id, 1, Progress::FirstByte);
    dispatcher.ended(end, id, 1, AttemptEnd::Answered { success: true, load: None });
    dispatcher.take_decisions();
}

/// A request without a stream, with 1.5 s for its answer.
fn unstreamed_request(id: u64, arrived: u64) -> Request {
    request(id, arrived)
}

/// The engine may become overloaded after it received the request: in the run `sccx-lanegate-planned-work-131`, a
/// stream with an expected duration of 1.5 s took more than 6 s.
#[test]
fn no_stream_is_started_during_shutdown() {
    let mut dispatcher = dispatcher();
    for id in 0..50 {
        let arrived = id * 10_000;
        assert!(is_sent(&mut dispatcher, arrived, stream(id, arrived, 100)));
        answer(&mut dispatcher, id, arrived, 120);
    }
    dispatcher.begin_shutdown(ms(600_000), ms(607_800));
    for (place, tokens) in [0, 1, 5, 100, 1_000, u32::MAX].into_iter().enumerate() {
        let request = stream(100 + place as u64, 600_100, tokens);
        assert!(!is_sent(&mut dispatcher, 600_100, request), "a stream of {tokens} tokens was sent");
    }
}

/// The duration of a stream is unbounded even if all earlier streams of the service were short.
#[test]
fn no_stream_of_a_service_without_engines_is_started_either() {
    for answered in [0, 1, 50] {
        let mut dispatcher = dispatcher();
        let plain =
            |id, arrived| Request { route_type: RouteType::Streaming, ..unstreamed_request(id, arrived) };
        for id in 0..answered {
            let arrived = id * 1_000;
            assert!(is_sent(&mut dispatcher, arrived, plain(id, arrived)));
            answer(&mut dispatcher, id, arrived, 5);
        }
        dispatcher.begin_shutdown(ms(100_000), ms(107_800));
        assert!(!is_sent(&mut dispatcher, 100_100, plain(100, 100_100)));
    }
}

/// At least twice the usual time and a margin have to remain.
#[test]
fn requests_without_a_stream_are_sent_while_there_is_time() {
    let mut dispatcher = dispatcher();
    for id in 0..100 {
        let arrived = id * 2_000;
        assert!(is_sent(&mut dispatcher, arrived, unstreamed_request(id, arrived)));
        answer(&mut dispatcher, id, arrived, 500);
    }
    dispatcher.begin_shutdown(ms(300_000), ms(307_800));
    assert!(is_sent(&mut dispatcher, 304_000, unstreamed_request(200, 304_000)), "0.5 s fit into 3.8 s");
    answer(&mut dispatcher, 200, 304_000, 500);
    assert!(
        !is_sent(&mut dispatcher, 306_700, unstreamed_request(201, 306_700)),
        "0.5 s and the margins do not fit into 1.1 s"
    );
}

/// They must not stay queued until their clients time out.
#[test]
fn queued_streams_are_refused_at_the_start_of_the_shutdown() {
    let mut dispatcher = dispatcher();
    let mut waiting = stream(1, 1_000, 100);
    waiting.generation.as_mut().expect("a generation").adapter = Some("a1".into());
    assert!(!is_sent(&mut dispatcher, 1_000, waiting));
    dispatcher.begin_shutdown(ms(1_100), ms(8_900));
    let decisions = dispatcher.take_decisions();
    assert!(matches!(decisions[..], [Decision::Refuse { request: RequestId(1), .. }]), "{decisions:?}");
}
