//! Closing a client's connection so that its last response, if there is one, arrives.

use super::connection::{Connection, Stage};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::time::sleep;

/// How long, and up to how many bytes, to read and discard after the last response: closing a socket with unread
/// bytes sends a reset, which may overtake that response.
const LINGER: Duration = Duration::from_millis(60);
const MAX_LINGER_BYTES: usize = 256 * 1024;

const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const SERVICE_UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\n\
      Content-Length: 0\r\n\r\n";

/// Why a connection ends.
pub(super) enum CloseReason {
    /// It was passed to another process.
    Passed,
    /// Its last response is written, or its client has disconnected.
    Done,
    /// No complete request arrived in time.
    Late,
    /// Its descriptor is needed for another client.
    Evicted,
    /// The process is about to exit.
    Stopping,
}

impl CloseReason {
    /// The response to a client with an incomplete request.
    fn last_answer(&self) -> Option<&'static [u8]> {
        match self {
            CloseReason::Passed | CloseReason::Done => None,
            CloseReason::Late => Some(REQUEST_TIMEOUT),
            CloseReason::Evicted | CloseReason::Stopping => Some(SERVICE_UNAVAILABLE),
        }
    }
}

impl Connection {
    /// Writes the last response, if one is due, and closes so that it arrives.
    pub(super) async fn finish(&self, reason: CloseReason) {
        if let Some(answer) = reason.last_answer().filter(|_| self.has_unanswered_request()) {
            // Nothing else is being sent to the client, so the send buffer has room for it.
            let _ = self.stream.try_write(answer);
        }
        self.enter(Stage::Closing);
        let _ = match reason {
            CloseReason::Passed | CloseReason::Evicted => return,
            CloseReason::Done | CloseReason::Late | CloseReason::Stopping => {
                SockRef::from(&self.stream).shutdown(Shutdown::Write)
            }
        };
        tokio::select! {
            () = self.drop_what_comes() => {}
            () = self.evict.notified() => {}
            () = sleep(LINGER) => {}
        }
    }

    /// Reads and discards what the client still sends, until it disconnects.
    async fn drop_what_comes(&self) {
        let (mut bytes, mut dropped) = ([0; 4096], 0);
        while dropped < MAX_LINGER_BYTES && self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => break,
                Ok(n) => dropped += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
}
