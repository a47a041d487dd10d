//! One attempt to send a request to an endpoint. The lowest of the forwarding layers.

use crate::connection::{EndpointConnection, ExchangeError};
use crate::fault::RouterFault;
use crate::headers::{
    DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID, PRIORITY, instance_load, keep_alive, milliseconds,
};
use crate::pool::{Availability, ConnectionNumber};
use crate::state::RouterState;
use crate::verify::{self, Expected};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, Uri};
use lanegate_dispatch::interface::{AttemptEnd, Decision, InstanceLoad};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A request of a client, ready to be sent.
#[derive(Debug)]
pub struct Outbound {
    /// Method as the client sent it.
    pub method: Method,
    /// Path and query as the client sent them.
    pub target: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// `Attempt-Id` of the client.
    pub attempt_id: Option<HeaderValue>,
    /// When the time of the client or of the route ends.
    pub deadline: Duration,
    /// Whether its service has engines.
    pub engine: bool,
    /// Whether it may be executed more than once.
    pub retryable: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Connections on which it was sent. It is never sent again on one of these: a second answer to the earlier attempt could
    /// not be distinguished from the answer to the later one.
    pub used_connections: RefCell<Vec<ConnectionNumber>>,
}

/// Where the dispatcher sends a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Number of the attempt.
    pub attempt: u32,
    /// Id of the endpoint.
    pub instance: Arc<str>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Priority for an engine, 0 (first) to 9.
    pub engine_priority: u8,
    /// Whether the attempt resumes a stream.
    pub resume: bool,
}

impl Destination {
    /// The destination of a decision; `None` for decisions that end the request.
    pub fn of(decision: Decision) -> Option<Self> {
        match decision {
            Decision::Send { attempt, instance, address, engine_priority, resume, .. } => {
                Some(Destination { attempt, instance, address, engine_priority, resume })
            }
            Decision::Refuse { .. } | Decision::Fail { .. } => None,
        }
    }
}

/// The verified head of the answer of an endpoint, and its body, which still arrives.
pub struct EndpointAnswer {
    /// The head.
    pub head: Parts,
    /// The load that the endpoint reported.
    pub load: Option<InstanceLoad>,
    /// The body.
    pub body: EndpointBody,
}

/// The body of the answer of an endpoint. Its connection returns to the pool after the last byte, and is closed if this is
/// dropped before.
pub struct EndpointBody {
    state: Rc<RouterState>,
    connection: Option<EndpointConnection>,
    incoming: Incoming,
    idle_timeout: Option<Duration>,
    /// Whether it has neither a length nor chunks and so ends with its connection.
    ends_with_connection: bool,
    /// Whether the connection may be used for other requests afterwards.
    is_reusable: bool,
}

impl EndpointBody {
    /// The next bytes. After an error or the end the connection is no longer held.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
        let mut next = ready!(connection.poll_body(&mut self.incoming, cx));
        if self.state.has_fault(RouterFault::ResetIsEnd) {
            next = next.filter(Result::is_ok);
        }
        match &next {
            Some(Ok(data)) => self.state.counters.forwarded_bytes.add(data.len() as u64),
            Some(Err(_)) => self.connection = None,
            None => self.release(),
        }
        Poll::Ready(next)
    }

    /// Waits for the next bytes.
    pub async fn next(&mut self) -> Option<hyper::Result<Bytes>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Length of the body, if the head has it.
    pub fn exact_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Whether the body ends with its connection, so that an end inside an event does not prove completeness.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.is_reusable) {
            self.state.pool.release(connection, self.idle_timeout);
        }
    }
}

/// Sends the request and waits for the head of the answer. `sent` is set as soon as the endpoint may have received some of
/// the request.
///
/// # Errors
///
/// The end of the attempt, if there is no answer that can be forwarded.
pub async fn send(
    state: &Rc<RouterState>,
    request: &Outbound,
    destination: &Destination,
    last_event: Option<HeaderValue>,
    sent: &Cell<bool>,
) -> Result<EndpointAnswer, AttemptEnd> {
    state.counters.attempts.increment();
    let result = exchange(state, request, destination, last_event, sent).await;
    if let Err(end) = &result {
        state.counters.failed_attempts.increment();
        if *end == AttemptEnd::Garbled {
            state.pool.quarantine(&destination.instance);
        }
        log::debug!(
            "attempt failed attempt_id={:?} endpoint={} end={end:?}",
            request.attempt_id,
            destination.instance
        );
    }
    result
}

async fn exchange(
    state: &Rc<RouterState>,
    request: &Outbound,
    destination: &Destination,
    last_event: Option<HeaderValue>,
    sent: &Cell<bool>,
) -> Result<EndpointAnswer, AttemptEnd> {
    loop {
        let (mut connection, used_before) = connect(state, request, destination).await?;
        let late_before = connection.late_responses();
        let Some(left) = time_left(state, request) else {
            return Err(AttemptEnd::NotSent);
        };
        if state.pool.availability(&destination.instance) == Availability::Unavailable {
            return Err(AttemptEnd::NotSent);
        }
        sent.set(true);
        request.used_connections.borrow_mut().push(connection.lease().number());
        if state.has_fault(RouterFault::PassStaleAnswers) {
            connection.forward_late_responses();
        }
        let mut message = compose(request, destination, &last_event, left);
        if state.has_fault(RouterFault::KeepDeadline) {
            let told = request.headers.get(DEADLINE_MS).cloned();
            told.and_then(|told| message.headers_mut().insert(DEADLINE_MS, told));
        }
        let answer = match connection.exchange(message).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotSent) => {
                sent.set(false);
                if used_before { continue } else { return Err(AttemptEnd::NotSent) }
            }
            Err(ExchangeError::Garbled(_)) => return Err(AttemptEnd::Garbled),
            Err(ExchangeError::Broken(_))
                if used_before && state.has_fault(RouterFault::RepeatAfterReset) =>
            {
                continue;
            }
            Err(ExchangeError::Broken(_)) => return Err(AttemptEnd::Broken),
        };
        let expected = Expected {
            attempt_id: request.attempt_id.as_ref(),
            instance: &destination.instance,
            engine: request.engine,
            fault: state.fault(),
        };
        let verdict = verify::check(expected, &answer);
        let ends_with_connection = verify::ends_with_connection(&answer);
        state.counters.late_responses.add(connection.late_responses() - late_before);
        let (head, incoming) = answer.into_parts();
        let idle_timeout = keep_alive(&head.headers);
        let body = EndpointBody {
            state: state.clone(),
            connection: Some(connection),
            incoming,
            idle_timeout,
            ends_with_connection,
            is_reusable: request.attempt_id.is_some(),
        };
        return match verdict {
            Ok(()) => Ok(EndpointAnswer { load: instance_load(&head.headers), head, body }),
            Err(end) => {
                discard(body, end).await;
                Err(end)
            }
        };
    }
}

/// Reads the rest of an answer to a request that did not run, so that the connection can be reused. Reads only what has
/// already arrived.
async fn discard(mut body: EndpointBody, end: AttemptEnd) {
    if !matches!(end, AttemptEnd::NotExecuted { .. }) {
        return;
    }
    poll_fn(|cx| {
        while let Poll::Ready(Some(Ok(_))) = body.poll_data(cx) {}
        Poll::Ready(())
    })
    .await;
}

/// A connection for the request, and whether it was used before.
async fn connect(
    state: &Rc<RouterState>,
    request: &Outbound,
    destination: &Destination,
) -> Result<(EndpointConnection, bool), AttemptEnd> {
    if let Some(connection) = idle_connection(state, request, destination) {
        return Ok((connection, true));
    }
    let lease = state.pool.lease(&destination.instance, destination.address).ok_or(AttemptEnd::NotSent)?;
    state.counters.connections_opened.increment();
    match EndpointConnection::open(destination.address, lease).await {
        Ok(connection) => Ok((connection, false)),
        Err(error) => {
            log::debug!(
                "connection failed endpoint={} address={} error={error}",
                destination.instance,
                destination.address
            );
            Err(AttemptEnd::NotSent)
        }
    }
}

/// An idle connection for the request: not one on which it was sent before, and none at all if it has no id by which its
/// answer can be recognised.
fn idle_connection(
    state: &RouterState,
    request: &Outbound,
    destination: &Destination,
) -> Option<EndpointConnection> {
    request.attempt_id.as_ref()?;
    let used_connections = if state.has_fault(RouterFault::ReuseCarrier) {
        Vec::new()
    } else {
        request.used_connections.borrow().clone()
    };
    state.pool.take_idle(&destination.instance, destination.address, &used_connections)
}

fn time_left(state: &RouterState, request: &Outbound) -> Option<Duration> {
    request.deadline.checked_sub(state.now()).filter(|left| !left.is_zero())
}

fn compose(
    request: &Outbound,
    destination: &Destination,
    last_event: &Option<HeaderValue>,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    let mut headers = request.headers.clone();
    headers.insert(DEADLINE_MS, milliseconds(left));
    if let Ok(instance) = HeaderValue::from_str(&destination.instance) {
        headers.insert(EXPECT_INSTANCE, instance);
    }
    if request.engine {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(destination.engine_priority)));
    }
    if let Some(id) = last_event {
        headers.insert(LAST_EVENT_ID, id.clone());
    }
    *message.headers_mut() = headers;
    message
}
