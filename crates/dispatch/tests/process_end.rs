//! What a process that is to end takes on, beyond the scenario of that name.

mod support;

use lanegate_dispatch::interface::{AttemptEnd, Decision, Generation, Progress, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use lanegate_model::configuration::Configuration;
use lanegate_model::feed::FeedEvent;
use std::sync::Arc;
use std::time::Duration;
use support::{engine, generation, instance, ms};

const CONFIGURATION: &str = r#"{
    "Version": 1,
    "Routes": [],
    "Backends": [
        {"Name": "tiles", "MaxConns": 50},
        {"Name": "llm", "MaxConns": 50, "Runtime": {"Capacity": 64, "KvCacheTokens": 9000000, "WeightsMb": 100000,
         "MaxAdapters": 2, "stride": 5, "Models": [{"Name": "m1", "WeightsMb": 1000, "LoadTimeS": 1}]}}
    ]
}"#;

/// When the process is to end in these tests.
const END: Duration = Duration::from_secs(1_000);

/// A dispatcher of a service of one engine and of one without engines.
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

/// A stream with 15 s for an answer of so many tokens.
fn stream(id: u64, arrived: u64, output_tokens: u32) -> Request {
    let request = generation(id, arrived, "m1", &[(id, 100)]);
    let wanted = request.generation.as_ref().expect("what it asks of an engine").clone();
    let deadline = ms(arrived + 15_000);
    Request { deadline, generation: Some(Generation { output_tokens, ..wanted }), ..request }
}

/// Submits a request; whether it was sent.
fn is_sent(dispatcher: &mut Dispatcher, now: u64, request: Request) -> bool {
    dispatcher.submit(ms(now), request);
    dispatcher.take_decisions().iter().any(|decision| matches!(decision, Decision::Send { .. }))
}

/// Answers the only attempt of a request in so many pieces over `output` ms.
fn answer(dispatcher: &mut Dispatcher, id: u64, first_byte: u64, output: u64, pieces: u32) {
    let id = RequestId(id);
    let end = ms(first_byte + output);
    dispatcher.progress(ms(first_byte), id, 1, Progress::FirstByte);
    dispatcher.progress(end, id, 1, Progress::Whole { pieces });
    dispatcher.ended(end, id, 1, AttemptEnd::Answered { success: true, load: None });
    dispatcher.take_decisions();
}

/// An answer of one piece tells how long its end took to come, and nothing of the time of a token.
#[test]
fn answers_of_one_piece_tell_no_pace() {
    let mut dispatcher = dispatcher();
    for id in 0..600 {
        let arrived = id * 100;
        assert!(is_sent(&mut dispatcher, arrived, stream(id, arrived, 5)));
        answer(&mut dispatcher, id, arrived + 20, 3, 1);
    }
    dispatcher.end_by(ms(60_000), ms(68_000));
    assert!(is_sent(&mut dispatcher, 60_500, stream(1_000, 60_500, 100)), "100 tokens fit into 7 s");
}

/// However many one-piece answers came, no time that is computed from them overflows.
#[test]
fn any_output_can_be_asked_for_while_the_process_ends() {
    for answers in [0, 1, 1_000, 2_200, 2_400, 3_000] {
        let mut dispatcher = dispatcher();
        for id in 0..answers {
            let arrived = id * 100;
            assert!(is_sent(&mut dispatcher, arrived, stream(id, arrived, 5)));
            answer(&mut dispatcher, id, arrived + 20, 3, 1);
        }
        dispatcher.end_by(ms(900_000), END);
        for (place, tokens) in (0..32).map(|bits| u32::MAX >> bits).enumerate() {
            let request = stream(1_000_000 + place as u64, 900_000, tokens);
            let sent = is_sent(&mut dispatcher, 900_000, request);
            assert!(!sent || tokens < u32::MAX, "{tokens} tokens fit into no time");
        }
    }
}

/// Without `Token-Usage` nothing tells how long an answer becomes: longer than not at all.
#[test]
fn output_of_unknown_length_is_taken_to_last_as_long_as_usual() {
    let mut dispatcher = dispatcher();
    for id in 0..50 {
        let arrived = id * 10_000;
        assert!(is_sent(&mut dispatcher, arrived, stream(id, arrived, 0)));
        answer(&mut dispatcher, id, arrived + 20, 3_000, 101);
    }
    dispatcher.end_by(ms(600_000), ms(607_800));
    assert!(is_sent(&mut dispatcher, 600_100, stream(100, 600_100, 0)), "3 s fit into 7.7 s");
    dispatcher.cancel(ms(600_200), RequestId(100));
    assert!(!is_sent(&mut dispatcher, 602_400, stream(101, 602_400, 0)), "3 s hardly fit into 5.4 s");
}

/// The pace of a model is that of all its endpoints; one of them may take twice as long.
#[test]
fn a_slow_endpoint_gets_less_before_the_process_ends() {
    let mut dispatcher = dispatcher();
    let teach = |dispatcher: &mut Dispatcher, ids: std::ops::Range<u64>, output: u64| {
        for id in ids {
            let arrived = id * 10_000;
            assert!(is_sent(dispatcher, arrived, stream(id, arrived, 500)));
            answer(dispatcher, id, arrived + 20, output, 101);
        }
    };
    teach(&mut dispatcher, 0..30, 2_500);
    dispatcher.apply(ms(300_000), &FeedEvent::Removed { id: "e1".into() });
    dispatcher.apply(ms(300_000), &FeedEvent::Instance(engine("e2", &["m1"])));
    teach(&mut dispatcher, 31..36, 5_000);
    dispatcher.end_by(ms(400_000), ms(407_500));
    assert!(
        !is_sent(&mut dispatcher, 400_100, stream(100, 400_100, 500)),
        "5 s do not surely fit into 7.4 s"
    );
    dispatcher.apply(ms(400_200), &FeedEvent::Instance(engine("e3", &["m1"])));
    dispatcher.apply(ms(400_200), &FeedEvent::Removed { id: "e2".into() });
    assert!(is_sent(&mut dispatcher, 400_300, stream(101, 400_300, 500)), "some 3 s fit into 7.2 s");
}

/// Its engine may become overloaded after the send, whatever was known before: drawn day
/// `sccx-lanegate-planned-work-131`, where a stream of 1.5 s ran for more than 6 s.
#[test]
fn no_stream_is_begun_once_the_process_is_to_end() {
    let mut dispatcher = dispatcher();
    for id in 0..50 {
        let arrived = id * 10_000;
        assert!(is_sent(&mut dispatcher, arrived, stream(id, arrived, 100)));
        answer(&mut dispatcher, id, arrived + 20, 100, 21);
    }
    dispatcher.end_by(ms(600_000), ms(607_800));
    for (place, tokens) in [0, 1, 5, 100, 1_000, u32::MAX].into_iter().enumerate() {
        let request = stream(100 + place as u64, 600_100, tokens);
        assert!(!is_sent(&mut dispatcher, 600_100, request), "a stream of {tokens} tokens was begun");
    }
}
