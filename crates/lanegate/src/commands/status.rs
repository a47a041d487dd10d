//! `lanegate status`: prints the status of a controller.

use super::CommandError;
use super::process::block_on;
use lanegate_control_http::{CallError, ClientRequest, call};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Time limit for the complete answer; an operator is waiting at the terminal.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Path of the status on the control interface.
const STATUS_PATH: &str = "/status";

/// Why the status could not be fetched.
#[derive(Debug, Error)]
pub(crate) enum StatusError {
    /// The controller gave no complete answer.
    #[error("{address}: {source}")]
    NoAnswer { address: SocketAddr, source: CallError },
    /// The controller answered with an error status.
    #[error("{address} answered with HTTP status {status}")]
    Refused { address: SocketAddr, status: u16 },
}

/// Prints the answer of the controller at `address`.
pub(super) fn run(address: SocketAddr) -> Result<(), CommandError> {
    let request = ClientRequest::get(STATUS_PATH);
    let answer = block_on(async { Ok(call(address, &request, TIMEOUT).await) });
    let answer = answer.map_err(CommandError::Process)?;
    let answer = answer.map_err(|source| StatusError::NoAnswer { address, source })?;
    if !(200..300).contains(&answer.status) {
        return Err(StatusError::Refused { address, status: answer.status }.into());
    }
    let mut output = std::io::stdout().lock();
    let written = output.write_all(&answer.body).and_then(|()| output.write_all(b"\n"));
    written.map_err(|error| CommandError::Process(error.into()))
}
