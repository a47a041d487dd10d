//! A client that opens a connection for each request.

use crate::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Status and body of the answer to one request.
pub(crate) async fn get(address: SocketAddr, path: &str, attempt: &str) -> Outcome<(u16, String)> {
    let stream = TokioIo::new(TcpStream::connect(address).await?);
    let (mut sender, connection) = handshake(stream).await?;
    tokio::task::spawn_local(connection);
    let request = Request::get(path)
        .header("Host", "models.example")
        .header("Attempt-Id", attempt)
        .header("Deadline-Ms", "2000")
        .body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
