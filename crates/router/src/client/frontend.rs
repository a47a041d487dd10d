//! The front end: reads requests completely, finds their route and submits them to the dispatcher.

use crate::client::activity::{Activity, BusyGuard};
use crate::client::body::RouterBody;
use crate::client::local_reply::LocalReply;
use crate::endpoint::outbound::Outbound;
use crate::headers::{ATTEMPT_ID, client_deadline, generation, remove_framing, remove_hop_by_hop};
use crate::request::forward::forward;
use crate::request::handle::RequestHandle;
use crate::request::outcome::Outcome;
use crate::routing::table::{ResolvedRoute, host};
use crate::state::RouterState;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri, Version};
use lanegate_config::configuration::{Limits, RouteType};
use lanegate_dispatch::interface;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The router answers a request at the latest this long before its deadline, so that the answer reaches the client in time.
/// This is several round trips within a region.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// The margin is at most the time of the request divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 10;
/// `Retry-After` of a refusal because the router has no configuration or may have an old one.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Answers one request of a client.
///
/// # Errors
///
/// Never; the HTTP library requires a `Result`.
pub async fn handle(
    state: Rc<RouterState>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<RouterBody>, Infallible> {
    let arrived = state.time_of(activity.on_head_complete(Instant::now()));
    state.counters.requests.increment();
    if request.version() == Version::HTTP_10 {
        activity.mark_close_delimited();
    }
    let answer = answer(&state, &activity, request, arrived).await;
    let mut answer = answer.map(|body| body.with_busy_guard(BusyGuard::new(activity)));
    if state.is_draining() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn answer(
    state: &Rc<RouterState>,
    activity: &Rc<Activity>,
    request: Request<Incoming>,
    arrived: Duration,
) -> Response<RouterBody> {
    let (head, incoming) = request.into_parts();
    let body = match read_body(incoming, BodyLimit::new(state)).await {
        Ok(body) => {
            activity.on_body_complete();
            body
        }
        Err(_) if state.routing().is_none() => return unconfigured(state).into(),
        Err(status) => {
            state.counters.outcomes.count(Outcome::RejectedMalformed);
            return LocalReply::FailureAndClose(status).into();
        }
    };
    let _guard = BusyGuard::new(activity.clone());
    if state.routing().is_none() {
        state.await_configuration(arrived, client_deadline(&head.headers), body.len()).await;
    }
    let (request, outbound) = match prepare(state, head, body, arrived) {
        Ok(prepared) => prepared,
        Err(answer) => return answer.into(),
    };
    activity.set_answer_deadline(state.instant_of(request.deadline));
    let handle = RequestHandle::open(state.clone(), request, outbound.attempt_id.clone());
    forward(Rc::new(handle), Rc::new(outbound)).await
}

/// The reply to any request while there is no configuration.
fn unconfigured(state: &RouterState) -> LocalReply {
    state.counters.outcomes.count(Outcome::RefusedNoConfiguration);
    LocalReply::Refusal { retry_after: UNCONFIGURED_RETRY_AFTER }
}

/// The largest body of one request: the limit in force now, or when its head was complete if that was larger. A body
/// that takes long must not be refused by a limit that has been raised, nor by one that was lowered after it began.
struct BodyLimit<'a> {
    state: &'a RouterState,
    /// Bytes; `None` if there was no configuration.
    at_head: Option<usize>,
}

impl<'a> BodyLimit<'a> {
    fn new(state: &'a RouterState) -> Self {
        BodyLimit { state, at_head: state.body_limit() }
    }

    fn allows(&self, bytes: usize) -> bool {
        let limit = self.at_head.max(self.state.body_limit());
        bytes <= limit.unwrap_or_else(|| Limits::default().max_body_bytes)
    }
}

/// Reads the complete body. The error is the status with which the client is answered.
async fn read_body(mut incoming: Incoming, limit: BodyLimit<'_>) -> Result<Bytes, StatusCode> {
    let announced = usize::try_from(incoming.size_hint().lower()).unwrap_or(usize::MAX);
    if !limit.allows(announced) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut first = Bytes::new();
    let mut buffered = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else {
            continue;
        };
        if !limit.allows(first.len().max(buffered.len()) + data.len()) {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if first.is_empty() {
            first = data;
            continue;
        }
        if buffered.is_empty() {
            buffered.extend_from_slice(&first);
        }
        buffered.extend_from_slice(&data);
    }
    Ok(if buffered.is_empty() { first } else { buffered.freeze() })
}

/// Finds the route of a completely received request and prepares it for the dispatcher and for sending.
fn prepare(
    state: &RouterState,
    head: Parts,
    body: Bytes,
    arrived: Duration,
) -> Result<(interface::Request, Outbound), LocalReply> {
    let Some(routing) = state.routing() else {
        return Err(unconfigured(state));
    };
    let Some(host) = host(&head.uri, &head.headers) else {
        state.counters.outcomes.count(Outcome::RejectedMalformed);
        return Err(LocalReply::Failure(StatusCode::BAD_REQUEST));
    };
    let Some(resolved) = routing.resolve(host, head.uri.path(), |route| state.split_position(route)) else {
        if state.is_configuration_behind() {
            // A newer configuration may have the route.
            state.counters.outcomes.count(Outcome::RefusedConfigurationBehind);
            return Err(LocalReply::Refusal { retry_after: UNCONFIGURED_RETRY_AFTER });
        }
        state.counters.outcomes.count(Outcome::RejectedNoRoute);
        return Err(LocalReply::Failure(StatusCode::NOT_FOUND));
    };
    let request = describe(state, resolved, &head, body.len() as u64, arrived);
    let outbound = outbound(resolved, head, body, request.deadline);
    Ok((request, outbound))
}

/// The description of the request for the dispatcher.
fn describe(
    state: &RouterState,
    resolved: ResolvedRoute<'_>,
    head: &Parts,
    body_bytes: u64,
    arrived: Duration,
) -> interface::Request {
    let route = resolved.route;
    let allowed = milliseconds(route.timeout_ms);
    let time = client_deadline(&head.headers).map_or(allowed, |requested| requested.min(allowed));
    let margin = ANSWER_MARGIN.min(time / ANSWER_MARGIN_DIVISOR);
    interface::Request {
        id: state.requests.new_id(),
        backend: resolved.backend.into(),
        route: route.name.as_str().into(),
        route_type: route.route_type,
        resumable: route.resumable,
        max_attempts: route.max_attempts,
        priority: route.priority,
        arrived,
        target: arrived + milliseconds(route.target_ms),
        deadline: arrived + time - margin,
        body_bytes,
        generation: resolved.engine.then(|| generation(&head.headers)).flatten(),
    }
}

fn outbound(resolved: ResolvedRoute<'_>, head: Parts, body: Bytes, deadline: Duration) -> Outbound {
    let route = resolved.route;
    let resumable = route.route_type == RouteType::Streaming && route.resumable;
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    remove_framing(&mut headers);
    Outbound {
        method: head.method,
        target: origin_form(head.uri),
        attempt_id: headers.get(&ATTEMPT_ID).cloned(),
        headers,
        body,
        deadline,
        engine: resolved.engine,
        retryable: resumable || route.route_type == RouteType::Idempotent,
        resumable,
        used_connections: RefCell::default(),
    }
}

/// The target reduced to path and query (origin form).
fn origin_form(target: Uri) -> Uri {
    match target.into_parts().path_and_query {
        Some(path) => Uri::from(path),
        None => Uri::default(),
    }
}

/// A duration from ms; zero if `value` is negative or not finite.
fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}
