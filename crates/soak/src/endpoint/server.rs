//! What an endpoint answers.

use super::body::{AnswerBody, BrokenOff};
use super::engine::{Holding, OrderBody, RunOf};
use super::incarnation::{Incarnation, Run, State};
use crate::answer::{event, plain_body};
use crate::catalog::{EVENT_PAUSE, RouteKind, Service, TOKENS_PER_EVENT};
use crate::journal::{Decision, RunEnd, What};
use crate::names::AttemptId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName};
use hyper::http::response::Builder as ResponseBuilder;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Idle connections are closed after this time.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The time that answers tell of it, s.
const TOLD_IDLE_S: u64 = 4;
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(20);
/// Time until the first event of a stream.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// How much longer a slow endpoint takes.
const SLOWNESS: u32 = 4;
/// How long the caller waits in vain for an answer that is lost.
const LOST_ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Time that a delayed order waits: less than the caller waits for its answer.
const ORDER_DELAY: Duration = Duration::from_millis(250);
/// How often an eviction looks whether its runs have ended.
const EVICTION_PAUSE: Duration = Duration::from_millis(10);
/// Pieces of a stream that may wait for a slow reader.
const STREAM_ROOM: usize = 8;

type Answer = Result<Response<AnswerBody>, BrokenOff>;

/// Serves until the life is over; what runs then is broken off.
pub async fn serve(listener: TcpListener, endpoint: Rc<Incarnation>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = endpoint.ended() => return,
            Some(_) = connections.join_next() => {}
            Ok((stream, _)) = listener.accept() => {
                connections.spawn_local(serve_connection(stream, endpoint.clone()));
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, endpoint: Rc<Incarnation>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(endpoint.clone(), request));
    let mut builder = Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIME);
    // How it ended shows in the runs.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn answer(endpoint: Rc<Incarnation>, request: Request<Incoming>) -> Answer {
    let expected = text(request.headers(), "expect-instance");
    let is_other = expected.is_some_and(|expected| expected != endpoint.id.to_string());
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => health(&endpoint),
        (&Method::GET, "/report") => report(&endpoint),
        (&Method::POST, "/order") if is_other => refusal(&endpoint, None, 421),
        (&Method::POST, "/order") => order(endpoint, request).await,
        _ => run_request(endpoint, request, is_other).await,
    }
}

fn head(endpoint: &Incarnation, status: u16) -> ResponseBuilder {
    let mut head = Response::builder()
        .status(status)
        .header("Instance-Id", endpoint.id.to_string())
        .header("Keep-Alive", format!("timeout={TOLD_IDLE_S}"))
        .header("Instance-Load", format!("{},0,{}", endpoint.active(), endpoint.service.capacity()));
    if endpoint.state.get() == State::Draining {
        head = head.header(CONNECTION, "close");
    }
    head
}

fn finish(head: ResponseBuilder, body: AnswerBody) -> Answer {
    head.body(body).map_err(|_| BrokenOff)
}

fn health(endpoint: &Incarnation) -> Answer {
    let status = if endpoint.state.get() == State::Ready { 200 } else { 503 };
    finish(head(endpoint, status), AnswerBody::whole(""))
}

fn report(endpoint: &Incarnation) -> Answer {
    let report = endpoint.engine.borrow_mut().report(endpoint.journal.now(), endpoint.active());
    let head = head(endpoint, 200).header(CONTENT_TYPE, "application/json");
    finish(head, AnswerBody::whole(report.to_string()))
}

/// Says that nothing was done.
fn refusal(endpoint: &Incarnation, attempt: Option<AttemptId>, status: u16) -> Answer {
    let mut head = head(endpoint, status).header("Not-Executed", "1");
    if let Some(attempt) = attempt {
        head = head.header("Attempt-Id", attempt.to_string());
    }
    finish(head, AnswerBody::whole(""))
}

async fn order(endpoint: Rc<Incarnation>, request: Request<Incoming>) -> Answer {
    let body = request.into_body().collect().await.map_err(|_| BrokenOff)?.to_bytes();
    let Ok(body) = serde_json::from_slice::<OrderBody>(&body) else {
        return refusal(&endpoint, None, 400);
    };
    if endpoint.conditions.orders_delayed.is_on() {
        sleep(ORDER_DELAY).await;
    }
    let reply = endpoint.engine.borrow_mut().take(endpoint.journal.now(), &body);
    endpoint.journal.note(What::OrderArrived {
        instance: endpoint.id,
        service: endpoint.service,
        order: body.facts(),
        status: reply.status(),
    });
    if reply.status() == 202 {
        spawn_local(carry_out(endpoint.clone(), body));
    }
    if endpoint.conditions.order_answers_lost.is_on() {
        sleep(LOST_ANSWER_TIME).await;
        return Err(BrokenOff);
    }
    finish(head(&endpoint, reply.status()), AnswerBody::whole("{}"))
}

async fn carry_out(endpoint: Rc<Incarnation>, body: OrderBody) {
    let order = body.facts();
    let needed = endpoint.engine.borrow().time_needed(&order);
    sleep(stretched(&endpoint, needed)).await;
    while endpoint.engine.borrow().is_needed(&order) {
        sleep(EVICTION_PAUSE).await;
    }
    if endpoint.has_ended() {
        return;
    }
    let done = endpoint.engine.borrow_mut().finish(endpoint.journal.now());
    if let Some(order) = done {
        endpoint.journal.note(What::OrderDone { instance: endpoint.id, order });
    }
}

fn stretched(endpoint: &Incarnation, time: Duration) -> Duration {
    if endpoint.conditions.slow.is_on() { time * SLOWNESS } else { time }
}

/// What an endpoint reads of a request.
struct Asked {
    attempt: AttemptId,
    route: RouteKind,
    model: Option<String>,
    adapter: Option<String>,
    events: u32,
    /// Id of the last event that the caller has.
    after: u32,
    deadline: Instant,
}

impl Asked {
    fn run_of(&self) -> Option<RunOf> {
        Some(RunOf { model: self.model.clone()?, adapter: self.adapter.clone() })
    }
}

fn read_request(request: &Request<Incoming>) -> Option<Asked> {
    let headers = request.headers();
    let (model, adapter) = match text(headers, "model").map(|model| model.split_once('/').ok_or(model)) {
        Some(Ok((model, adapter))) => (Some(model.to_owned()), Some(adapter.to_owned())),
        Some(Err(model)) => (Some(model.to_owned()), None),
        None => (None, None),
    };
    let tokens = text(headers, "token-usage").and_then(|usage| usage.split_once(',')?.1.parse::<u32>().ok());
    let left = text(headers, "deadline-ms").and_then(|left| left.parse().ok());
    Some(Asked {
        attempt: text(headers, "attempt-id")?.parse().ok()?,
        route: RouteKind::of_path(request.uri().path())?,
        model,
        adapter,
        events: tokens.unwrap_or_default() / TOKENS_PER_EVENT,
        after: text(headers, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default(),
        deadline: Instant::now() + left.map_or(Duration::from_secs(60), Duration::from_millis),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers.get(HeaderName::from_static(name))?.to_str().ok()
}

async fn run_request(endpoint: Rc<Incarnation>, request: Request<Incoming>, is_other: bool) -> Answer {
    let Some(asked) = read_request(&request) else {
        return refusal(&endpoint, None, 400);
    };
    request.into_body().collect().await.map_err(|_| BrokenOff)?;
    let decision = if is_other { Decision::TurnedAway(421) } else { decide(&endpoint, &asked) };
    let (attempt, instance, service) = (asked.attempt, endpoint.id, endpoint.service);
    endpoint.journal.note(What::Arrived { attempt, instance, service, decision });
    match decision {
        Decision::TurnedAway(status) => refusal(&endpoint, Some(attempt), status),
        Decision::Run => {
            let run = endpoint.begin_run(attempt, asked.run_of());
            if asked.route.is_stream() {
                stream(&endpoint, asked, run)
            } else {
                plain(&endpoint, asked, run).await
            }
        }
    }
}

fn decide(endpoint: &Incarnation, asked: &Asked) -> Decision {
    if endpoint.service == Service::Engines {
        let model = asked.model.as_deref().unwrap_or_default();
        match endpoint.engine.borrow().holding_of(model, asked.adapter.as_deref()) {
            Holding::Held => {}
            Holding::Changing => return Decision::TurnedAway(503),
            Holding::Absent => return Decision::TurnedAway(421),
        }
    }
    if endpoint.has_room() { Decision::Run } else { Decision::TurnedAway(503) }
}

async fn plain(endpoint: &Rc<Incarnation>, asked: Asked, mut run: Run) -> Answer {
    sleep(stretched(endpoint, PLAIN_WORK)).await;
    run.ends(RunEnd::Whole);
    let body = plain_body(asked.attempt, &endpoint.id.to_string());
    finish(own_answer(endpoint, &asked, "text/plain"), AnswerBody::whole(body))
}

fn own_answer(endpoint: &Incarnation, asked: &Asked, kind: &str) -> ResponseBuilder {
    head(endpoint, 200)
        .header("Attempt-Id", asked.attempt.to_string())
        .header("Server-Signature", endpoint.id.to_string())
        .header(CONTENT_TYPE, kind)
}

fn stream(endpoint: &Rc<Incarnation>, asked: Asked, run: Run) -> Answer {
    let head = own_answer(endpoint, &asked, "text/event-stream");
    let (sender, body) = AnswerBody::channel(STREAM_ROOM);
    spawn_local(write_events(endpoint.clone(), asked, run, sender));
    finish(head, body)
}

async fn write_events(
    endpoint: Rc<Incarnation>,
    asked: Asked,
    mut run: Run,
    sender: Sender<Result<Bytes, BrokenOff>>,
) {
    let end = tokio::select! {
        end = send_events(&endpoint, &asked, &sender) => end,
        () = sleep_until(asked.deadline) => RunEnd::DeadlinePassed,
        () = endpoint.ended() => RunEnd::EndpointEnded,
        () = sender.closed() => RunEnd::CallerLeft,
    };
    run.ends(end);
    if end != RunEnd::Whole {
        // Without it the answer would look whole; the reader may be gone.
        let _ = sender.send(Err(BrokenOff)).await;
    }
}

async fn send_events(
    endpoint: &Incarnation,
    asked: &Asked,
    sender: &Sender<Result<Bytes, BrokenOff>>,
) -> RunEnd {
    let first = asked.after + 1;
    for id in first..=asked.events {
        let pause = if id == first { FIRST_EVENT } else { EVENT_PAUSE };
        sleep(stretched(endpoint, pause)).await;
        if sender.send(Ok(event(asked.attempt, id).into())).await.is_err() {
            return RunEnd::CallerLeft;
        }
    }
    RunEnd::Whole
}
