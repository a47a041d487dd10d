//! HTTP/1.1 client for orders and report requests to endpoints.
//!
//! Each call uses its own connection and is sent once, so its answer cannot be confused with that of another call, and
//! nothing is retried here. An order without an answer may have been executed, or may still be in transit. Its
//! connection is reset, so that the kernel does not deliver the order when a link heals much later. An answer whose end is
//! in doubt proves nothing, whatever its status says: it counts as no answer.

use crate::link::dial;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Builder;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lanegate_http_framing::{FramingError, InspectedStream, RefusalCounts};
use lanegate_placement::{EndpointReport, Operation, Order, OrderAnswer};
use serde::Serialize;
use socket2::SockRef;
use std::cell::{Ref, RefCell};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time from the authorization of an order until it reaches its endpoint: connecting, sending and delivery.
pub(crate) const ORDER_WIRE_TIME: Duration = Duration::from_millis(300);
/// Time limit for connecting to an endpoint.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// How long the kernel tries to deliver an order. Below its shortest retransmission timeout, so that the kernel drops
/// data that the link has lost, instead of delivering it after the link heals and the lease has ended.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(180);
const _: () =
    assert!(CONNECT_TIMEOUT.as_millis() + DELIVERY_TIMEOUT.as_millis() <= ORDER_WIRE_TIME.as_millis());
/// Longest wait for an answer; after it the connection is reset.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const INSTANCE_ID: HeaderName = HeaderName::from_static("instance-id");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");

/// The body of an order.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody<'a> {
    operation: Operation,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    if_revision: u64,
    owner: &'a str,
    fencing_token: u64,
}

/// Why a call has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallError {
    /// Nothing was sent.
    NotSent,
    /// The request was sent and may have been executed.
    Unanswered,
    /// The request was sent and may have been executed; the answer is not a valid one.
    Refused(FramingError),
}

/// A complete answer of an endpoint.
#[derive(Debug)]
struct EndpointResponse {
    status: StatusCode,
    /// Whether the endpoint declares that it did not execute the request.
    is_not_executed: bool,
    /// Id of the incarnation that answered, if the endpoint sent it.
    instance: Option<HeaderValue>,
    body: Bytes,
}

/// Sends calls to endpoints, and counts the answers that it refuses.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointClient {
    refusals: Rc<RefCell<RefusalCounts>>,
}

impl EndpointClient {
    /// The answers that were refused, by endpoint and reason.
    pub(crate) fn refusals(&self) -> Ref<'_, RefusalCounts> {
        self.refusals.borrow()
    }

    /// Sends an order under the epoch `epoch`, unless it cannot be sent before `send_by`.
    pub(crate) async fn send_order(
        &self,
        order: &Order,
        owner: &str,
        epoch: u64,
        send_by: Instant,
    ) -> OrderAnswer {
        let body = OrderBody {
            operation: order.operation,
            model: &order.model,
            adapter: order.adapter.as_deref(),
            if_revision: order.if_revision,
            owner,
            fencing_token: epoch,
        };
        let Ok(body) = serde_json::to_vec(&body) else { return OrderAnswer::Invalid };
        let request = addressed(Method::POST, "/order", order.address, &order.instance)
            .header("Content-Type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else { return OrderAnswer::Invalid };
        match self.call(&order.instance, order.address, request, send_by).await {
            Ok(response) => order_answer(&response),
            Err(CallError::NotSent) => OrderAnswer::Unavailable,
            Err(CallError::Unanswered | CallError::Refused(_)) => OrderAnswer::Unknown,
        }
    }

    /// Requests the report of an endpoint. `None` if there is no valid answer, or another incarnation answers.
    pub(crate) async fn request_report(&self, instance: &str, address: SocketAddr) -> Option<EndpointReport> {
        let request =
            addressed(Method::GET, "/report", address, instance).body(Full::new(Bytes::new())).ok()?;
        let response = self.call(instance, address, request, Instant::now() + CONNECT_TIMEOUT).await.ok()?;
        let is_other = response.instance.is_some_and(|id| id.as_bytes() != instance.as_bytes());
        if response.status != StatusCode::OK || is_other {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }

    async fn call(
        &self,
        instance: &str,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        send_by: Instant,
    ) -> Result<EndpointResponse, CallError> {
        let result = call(address, request, send_by).await;
        if let Err(CallError::Refused(refused)) = result {
            let reason = refused.reason();
            log::warn!(
                "answer refused endpoint={instance} address={address} reason={reason} error=\"{refused}\""
            );
            self.refusals.borrow_mut().record(instance, reason);
        }
        result
    }
}

/// Maps a response to the outcome of an order. A status such as 429 or 503 shows that the order was not executed only if
/// the endpoint declares so explicitly.
fn order_answer(response: &EndpointResponse) -> OrderAnswer {
    match OrderAnswer::from_status(response.status.as_u16()) {
        OrderAnswer::Unavailable if !response.is_not_executed => OrderAnswer::Unknown,
        answer => answer,
    }
}

/// The head of a request that only the incarnation `instance` of an endpoint may execute.
fn addressed(method: Method, path: &str, address: SocketAddr, instance: &str) -> Builder {
    let request = Request::builder().method(method).uri(path);
    request.header("Host", address.to_string()).header(EXPECT_INSTANCE, instance)
}

async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    send_by: Instant,
) -> Result<EndpointResponse, CallError> {
    let stream = timeout_at(send_by, dial(address)).await;
    let stream = stream.map_err(|_| CallError::NotSent)?.map_err(|_| CallError::NotSent)?;
    let limited = SockRef::from(&stream).set_tcp_user_timeout(Some(DELIVERY_TIMEOUT));
    limited.map_err(|_| CallError::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(InspectedStream::new(stream))).await;
    let (mut sender, mut connection) = handshake.map_err(|_| CallError::NotSent)?;
    // The process may have stalled since the order was authorized, or while connecting.
    if Instant::now() > send_by {
        return Err(CallError::NotSent);
    }
    let response = timeout(ANSWER_TIMEOUT, exchange(&mut sender, &mut connection, request)).await;
    let error = match response {
        Ok(Ok(response)) => return Ok(response),
        Ok(Err(error)) => FramingError::cause_of(&error).map_or(CallError::Unanswered, CallError::Refused),
        Err(_) => CallError::Unanswered,
    };
    reset(connection.into_parts().io.inner().get_ref());
    Err(error)
}

/// Sends the request and reads the complete answer.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    connection: &mut Connection<TokioIo<InspectedStream>, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> hyper::Result<EndpointResponse> {
    let mut exchange = pin!(async {
        let response = sender.send_request(request).await?;
        read(response).await
    });
    let mut is_open = true;
    poll_fn(|cx| {
        is_open = is_open && connection.poll_without_shutdown(cx).is_pending();
        exchange.as_mut().poll(cx)
    })
    .await
}

async fn read(response: Response<hyper::body::Incoming>) -> hyper::Result<EndpointResponse> {
    let (head, body) = response.into_parts();
    Ok(EndpointResponse {
        status: head.status,
        is_not_executed: head.headers.contains_key(NOT_EXECUTED),
        instance: head.headers.get(INSTANCE_ID).cloned(),
        body: body.collect().await?.to_bytes(),
    })
}

/// Makes the kernel reset the connection on close and discard undelivered data.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!("connection not reset, unanswered call may be delivered late error={error}");
    }
}
