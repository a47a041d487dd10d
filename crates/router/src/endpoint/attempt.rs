//! One attempt to send a request to an endpoint. This is the lowest of the forwarding layers listed in `request::forward`.

use crate::endpoint::answer::{EndpointAnswer, EndpointBody};
use crate::endpoint::connection::{EndpointConnection, ExchangeError};
use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::endpoint::outbound::{Destination, Outbound};
use crate::endpoint::pool::Availability;
use crate::endpoint::verify::{self, Expected, Rejection};
use crate::fault::RouterFault;
use crate::headers::{
    DEADLINE_MS, EXPECT_INSTANCE, LAST_EVENT_ID, PRIORITY, instance_load, keep_alive, milliseconds,
};
use crate::state::RouterState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use lanegate_dispatch::interface::AttemptEnd;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Sends the request and waits for the head of the answer. `sent` is true once the endpoint may have received some
/// of the request.
///
/// # Errors
///
/// How the attempt ended, if there is no answer that can be forwarded.
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
        let discarded_before = connection.discarded_responses();
        let remaining = remaining_time(state, request).ok_or(AttemptEnd::NotSent)?;
        if state.pool.availability(&destination.instance) == Availability::Unavailable {
            return Err(AttemptEnd::NotSent);
        }
        sent.set(true);
        request.used_connections.borrow_mut().push(connection.lease().number());
        if state.has_fault(RouterFault::ForwardLateResponses) {
            connection.forward_late_responses();
        }
        let message = compose(state, request, destination, &last_event, remaining);
        match connection.exchange(message).await {
            Ok(answer) => {
                state.counters.late_responses.add(connection.discarded_responses() - discarded_before);
                return receive(state, request, destination, connection, answer).await;
            }
            Err(ExchangeError::NotSent) => {
                sent.set(false);
                if !used_before {
                    return Err(AttemptEnd::NotSent);
                }
            }
            Err(ExchangeError::InvalidResponse(invalid)) => {
                state.on_invalid_answer(&destination.instance, invalid);
                return Err(AttemptEnd::InvalidResponse);
            }
            Err(ExchangeError::Broken(_)) => {
                if !(used_before && state.has_fault(RouterFault::RetryAfterReset)) {
                    return Err(AttemptEnd::Broken);
                }
            }
        }
    }
}

/// Verifies the head of an answer. The rest of an answer that cannot be forwarded is discarded.
async fn receive(
    state: &Rc<RouterState>,
    request: &Outbound,
    destination: &Destination,
    connection: EndpointConnection,
    answer: Response<Incoming>,
) -> Result<EndpointAnswer, AttemptEnd> {
    let expected = Expected {
        attempt_id: request.attempt_id.as_ref(),
        instance: &destination.instance,
        engine: request.engine,
        fault: state.fault(),
    };
    let verdict = verify::check(expected, &answer);
    let ends_with_connection = verify::ends_with_connection(&answer);
    let (head, incoming) = answer.into_parts();
    let body = EndpointBody {
        state: state.clone(),
        connection: Some(connection),
        incoming,
        idle_timeout: keep_alive(&head.headers),
        ends_with_connection,
        is_reusable: request.attempt_id.is_some(),
    };
    match verdict {
        Ok(()) => Ok(EndpointAnswer { load: instance_load(&head.headers), head, body }),
        Err(Rejection::Invalid(invalid)) => {
            state.on_invalid_answer(&destination.instance, invalid);
            Err(AttemptEnd::InvalidResponse)
        }
        Err(Rejection::Ended(end @ AttemptEnd::NotExecuted { .. })) => discard(body).await.and(Err(end)),
        Err(Rejection::Ended(end)) => Err(end),
    }
}

/// Reads what has already arrived of an answer to a request that did not run. If that is the complete answer, the connection
/// can be reused.
///
/// # Errors
///
/// If the body contradicts the head, which then proves nothing.
async fn discard(mut body: EndpointBody) -> Result<(), AttemptEnd> {
    poll_fn(|cx| {
        loop {
            match body.poll_data(cx) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(Some(Err(error))) if InvalidAnswer::in_framing(&error).is_some() => {
                    return Poll::Ready(Err(AttemptEnd::InvalidResponse));
                }
                Poll::Ready(_) | Poll::Pending => return Poll::Ready(Ok(())),
            }
        }
    })
    .await
}

/// A connection for the request, and whether it was used for an earlier request.
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

/// An idle connection for the request, but not one on which it was sent before. A request without an id always gets a new
/// connection, because its answer could not be told from a late answer to another request.
fn idle_connection(
    state: &RouterState,
    request: &Outbound,
    destination: &Destination,
) -> Option<EndpointConnection> {
    request.attempt_id.as_ref()?;
    let used_connections = if state.has_fault(RouterFault::RetryOnSameConnection) {
        Vec::new()
    } else {
        request.used_connections.borrow().clone()
    };
    state.pool.take_idle(&destination.instance, destination.address, &used_connections)
}

fn remaining_time(state: &RouterState, request: &Outbound) -> Option<Duration> {
    request.deadline.checked_sub(state.now()).filter(|remaining| !remaining.is_zero())
}

fn compose(
    state: &RouterState,
    request: &Outbound,
    destination: &Destination,
    last_event: &Option<HeaderValue>,
    remaining: Duration,
) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    let mut headers = request.headers.clone();
    if !state.has_fault(RouterFault::SendOriginalDeadline) || !headers.contains_key(DEADLINE_MS) {
        headers.insert(DEADLINE_MS, milliseconds(remaining));
    }
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
