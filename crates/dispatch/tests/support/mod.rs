//! Shared test code: builders of instances and requests.

#![allow(dead_code)]

pub(crate) mod digest;
pub(crate) mod engine;
pub(crate) mod fleet;
pub(crate) mod history;
pub(crate) mod scenario;

use lanegate_config::configuration::RouteType;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::{Instance, InstanceState, ResidentModel};
use lanegate_dispatch::interface::{Generation, PromptPart, Request, RequestId};
use lanegate_dispatch::{DispatchSettings, Dispatcher};
use std::time::Duration;

/// A time or duration in ms.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An endpoint of service `tiles` in zone `a`, without an engine.
pub(crate) fn instance(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        backend: "tiles".to_owned(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "a".to_owned(),
        version: String::new(),
        capacity: 6,
        state: InstanceState::Ready,
        warmup_remaining_ms: 0.0,
        phase: None,
        models: Vec::new(),
        sequence: 1,
        remaining_ms: None,
    }
}

/// An engine of service `llm` with loaded models, each written as [`resident_model`] takes it.
pub(crate) fn engine(id: &str, models: &[&str]) -> Instance {
    let models = models.iter().map(|model| resident_model(model)).collect();
    Instance { backend: "llm".to_owned(), capacity: 64, models, ..instance(id) }
}

/// A dispatcher that has received a complete feed with these endpoints.
pub(crate) fn synchronized(instances: &[Instance]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), 1);
    for instance in instances {
        dispatcher.apply(ms(0), &FeedEvent::Instance(instance.clone()));
    }
    dispatcher.apply(ms(0), &FeedEvent::Synchronized);
    dispatcher
}

/// `model` or `model/adapter/adapter`.
pub(crate) fn resident_model(text: &str) -> ResidentModel {
    let mut names = text.split('/');
    let name = names.next().unwrap_or_default().to_owned();
    ResidentModel { name, version: 1, adapters: names.map(str::to_owned).collect() }
}

/// A request for `tiles` that must not run twice, with a target of 300 ms and a deadline of 1.5 s.
pub(crate) fn request(id: u64, arrived: u64) -> Request {
    Request {
        id: RequestId(id),
        backend: "tiles".into(),
        route: "fetch".into(),
        route_type: RouteType::NonIdempotent,
        resumable: false,
        max_attempts: 2,
        priority: 1,
        arrived: ms(arrived),
        target: ms(arrived + 300),
        deadline: ms(arrived + 1_500),
        body_bytes: 0,
        generation: None,
    }
}

/// A stream of `llm` for a model, with a target of 800 ms and a deadline of 5 s.
pub(crate) fn generation(id: u64, arrived: u64, model: &str, parts: &[(u64, u32)]) -> Request {
    let prefix: Vec<PromptPart> = parts.iter().map(|&(id, tokens)| PromptPart { id, tokens }).collect();
    let requested = Generation {
        model: model.into(),
        adapter: None,
        prompt_tokens: prefix.iter().map(|part| part.tokens).sum(),
        output_tokens: 50,
        prefix,
    };
    Request {
        backend: "llm".into(),
        route: "draft".into(),
        route_type: RouteType::Streaming,
        target: ms(arrived + 800),
        deadline: ms(arrived + 5_000),
        generation: Some(requested),
        ..request(id, arrived)
    }
}
