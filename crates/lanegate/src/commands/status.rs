//! Asks a controller how it is.

use super::CommandError;
use super::process::block_on;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Longest time that the operator waits at the terminal.
const TIME_OUT: Duration = Duration::from_secs(5);

/// Path of the status at the control interface.
const PATH: &str = "/status";

/// Why there is no status to print.
#[derive(Debug, Error)]
pub enum StatusError {
    /// No connection, or no answer in HTTP.
    #[error("{address}: {reason}")]
    NoAnswer { address: SocketAddr, reason: String },
    /// An answer that is no status.
    #[error("{address} answered {status}")]
    Refused { address: SocketAddr, status: StatusCode },
}

/// Prints the answer of the controller at `address`.
pub fn run(address: SocketAddr) -> Result<(), CommandError> {
    let (status, body) = block_on(ask_in_time(address))
        .map_err(|error| StatusError::NoAnswer { address, reason: describe(error.as_ref()) })?;
    if !status.is_success() {
        return Err(StatusError::Refused { address, status }.into());
    }
    let mut output = std::io::stdout().lock();
    let written = output.write_all(&body).and_then(|()| output.write_all(b"\n"));
    written.map_err(|error| CommandError::Process(error.into()))
}

async fn ask_in_time(address: SocketAddr) -> Result<(StatusCode, Bytes), Box<dyn Error>> {
    let answer = tokio::time::timeout(TIME_OUT, ask(address)).await;
    answer.map_err(|_| format!("no answer within {} s", TIME_OUT.as_secs()))?
}

async fn ask(address: SocketAddr) -> Result<(StatusCode, Bytes), Box<dyn Error>> {
    let stream = TokioIo::new(TcpStream::connect(address).await?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    tokio::task::spawn_local(connection);
    let request = Request::get(PATH).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    Ok((status, body))
}

/// The error with its causes.
fn describe(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
