//! Orders to endpoints and questions to them, over HTTP/1.1.

use crate::link::dial;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lanegate_placement::{EndpointReport, Operation, Order, OrderAnswer};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time in which an order reaches its endpoint, once it may be sent.
pub const ORDER_WIRE_TIME: Duration = Duration::from_millis(200);
/// Longest wait for the connection that carries an order; with the sending it stays within
/// [`ORDER_WIRE_TIME`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of an order.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody<'a> {
    operation: Operation,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    if_revision: Option<u64>,
    owner: &'a str,
    fencing_token: u64,
}

/// Why a call has no answer.
enum CallError {
    /// Nothing was sent.
    NotSent,
    /// It may have been taken.
    Unanswered,
}

/// Gives an order under the epoch `epoch`.
pub async fn give(order: &Order, owner: &str, epoch: u64) -> OrderAnswer {
    let body = OrderBody {
        operation: order.operation,
        model: &order.model,
        adapter: order.adapter.as_deref(),
        if_revision: order.if_revision,
        owner,
        fencing_token: epoch,
    };
    let Ok(body) = serde_json::to_vec(&body) else { return OrderAnswer::Invalid };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/order")
        .header("Host", order.address.to_string())
        .header("Content-Type", "application/json")
        .header("Expect-Instance", &*order.instance)
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return OrderAnswer::Invalid };
    match call(order.address, request).await {
        Ok((status, _)) => OrderAnswer::from_status(status.as_u16()),
        Err(CallError::NotSent) => OrderAnswer::Unavailable,
        Err(CallError::Unanswered) => OrderAnswer::Unknown,
    }
}

/// Asks an endpoint for its report on itself.
pub async fn ask_report(address: SocketAddr) -> Option<EndpointReport> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/report")
        .header("Host", address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let (status, body) = call(address, request).await.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}

async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), CallError> {
    let stream = timeout(CONNECT_TIMEOUT, dial(address)).await;
    let stream = stream.map_err(|_| CallError::NotSent)?.map_err(|_| CallError::NotSent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| CallError::NotSent)?;
    let connection = tokio::task::spawn_local(connection);
    let answer = timeout(ANSWER_TIMEOUT, async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        Ok::<_, hyper::Error>((status, response.into_body().collect().await?.to_bytes()))
    })
    .await;
    connection.abort();
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(CallError::Unanswered),
    }
}
