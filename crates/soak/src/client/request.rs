//! What a client asks for.

use super::traffic::Demand;
use crate::catalog::{HOST, MODELS, ModelFacts, RouteKind, TOKENS_PER_EVENT};
use crate::names::AttemptId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Tokens of a prompt.
const PROMPT_TOKENS: u32 = 400;
/// Part of requests that ask for the model that most ask for, and for the next one, and so on.
const POPULARITY: f64 = 0.55;
/// Part of the requests for a model with adapters that name one.
const ADAPTER_PART: f64 = 0.3;
/// Bytes of a body at most.
const MOST_BODY_BYTES: usize = 3_000;

/// One thing that a client wants; every attempt at it is the same but for its id and deadline.
#[derive(Debug, Clone)]
pub struct Wish {
    pub route: RouteKind,
    /// Zone of the client.
    pub zone: usize,
    /// `Model`, with the adapter.
    model: Option<String>,
    /// Events of the answer; 0 where it is no stream.
    pub events: u32,
    body: Bytes,
    path: String,
}

impl Wish {
    /// Draws one.
    pub fn draw(random: &mut SmallRng, demand: Demand, zones: usize) -> Self {
        let route = draw_route(random);
        let model = route.is_stream().then(|| draw_model(random, demand));
        let events = match route {
            RouteKind::Lookup | RouteKind::Booking => 0,
            RouteKind::Chat => random.random_range(2..=15),
            // Up to nine seconds.
            RouteKind::Draft => random.random_range(5..=110),
        };
        let size = random.random_range(0..MOST_BODY_BYTES);
        let path = format!("/{}/{}", route.name(), random.random_range(0..1_000));
        let zone = random.random_range(0..zones);
        Wish { route, zone, model, events, body: Bytes::from(vec![b'x'; size]), path }
    }

    /// The request of one attempt.
    pub fn request(&self, attempt: AttemptId, left: Duration) -> hyper::http::Result<Request<Full<Bytes>>> {
        let mut request = Request::post(&self.path)
            .header("Host", HOST)
            .header("Attempt-Id", attempt.to_string())
            .header("Deadline-Ms", left.as_millis().to_string());
        if let Some(model) = &self.model {
            let output = self.events * TOKENS_PER_EVENT;
            request = request
                .header("Model", model)
                .header("Token-Usage", format!("{PROMPT_TOKENS},{output}"))
                .header("Prompt-Prefix", format!("5c1e07a2:200,{attempt}:200"));
        }
        request.body(Full::new(self.body.clone()))
    }
}

fn draw_route(random: &mut SmallRng) -> RouteKind {
    match random.random_range(0..100) {
        0..34 => RouteKind::Lookup,
        34..54 => RouteKind::Booking,
        54..80 => RouteKind::Chat,
        _ => RouteKind::Draft,
    }
}

fn draw_model(random: &mut SmallRng, demand: Demand) -> String {
    let mut index = demand.first;
    while !random.random_bool(POPULARITY) {
        index += 1;
    }
    let model: &ModelFacts = &MODELS[index % MODELS.len()];
    if model.adapters > 0 && random.random_bool(ADAPTER_PART) {
        return format!("{}/a{}", model.name, random.random_range(1..=model.adapters));
    }
    model.name.to_owned()
}
