//! Which engine gets a prompt.

mod support;

use lanegate_config::configuration::Configuration;
use lanegate_config::feed::FeedEvent;
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad, Progress, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::sync::Arc;
use support::{engine, generation, ms};

const SERVICES: &str = r#"{"Version":1,"Backends":[{"Name":"llm","Runtime":
    {"Capacity":64,"KvCacheTokens":233500,"Models":[{"Name":"m","WeightsMb":1,"LoadTimeS":2}]}}]}"#;

/// A dispatcher with two engines, of which the first reported `running` streams.
fn dispatcher(running: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    let configuration: Configuration = serde_json::from_str(SERVICES).expect("a configuration");
    dispatcher.apply(ms(0), &FeedEvent::Configuration(Arc::new(configuration)));
    dispatcher.apply(ms(0), &FeedEvent::Instance(engine("busy", &["m"])));
    let load = Some(InstanceLoad { running, waiting: 0, slots: 64 });
    dispatcher.submit(ms(0), generation(1, 0, "m", &[]));
    dispatcher.take_decisions();
    dispatcher.progress(ms(20), RequestId(1), 1, Progress::Head { load });
    dispatcher.ended(ms(20), RequestId(1), 1, AttemptEnd::Answered { success: true, load });
    dispatcher.apply(ms(20), &FeedEvent::Instance(engine("idle", &["m"])));
    dispatcher
}

/// How many of 40 long prompts, each with another prefix, go to the engine that reported load.
fn long_prompts_at_busy(running: u32) -> usize {
    let sent = (0..40).filter(|&subject| {
        let mut dispatcher = dispatcher(running);
        dispatcher.submit(ms(30), generation(2, 30, "m", &[(1_000 + subject, 6_300), (subject, 2_890)]));
        let decisions = dispatcher.take_decisions();
        matches!(&decisions[..], [Decision::Send { instance, .. }] if &**instance == "busy")
    });
    sent.count()
}

#[test]
fn prefix_affinity_decides_between_equally_loaded_engines() {
    assert!((8..32).contains(&long_prompts_at_busy(0)));
}

#[test]
fn a_long_prompt_avoids_an_engine_whose_many_streams_it_would_stall() {
    assert_eq!(long_prompts_at_busy(25), 0);
}

#[test]
fn prompts_with_one_prefix_go_to_one_engine() {
    let mut dispatcher = dispatcher(0);
    let mut instances = Vec::new();
    for request in 2..12 {
        let now = 30 + request * 1_000;
        dispatcher.submit(ms(now), generation(request, now, "m", &[(7, 6_300), (request, 500)]));
        for decision in dispatcher.take_decisions() {
            let Decision::Send { instance, .. } = decision else { panic!("{decision:?}") };
            instances.push(instance);
        }
        dispatcher.progress(ms(now + 100), RequestId(request), 1, Progress::FirstByte);
        let end = AttemptEnd::Answered { success: true, load: None };
        dispatcher.ended(ms(now + 200), RequestId(request), 1, end);
    }
    assert_eq!(instances.len(), 10);
    assert!(instances.iter().all(|instance| *instance == instances[0]), "{instances:?}");
}
