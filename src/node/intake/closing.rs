//! How a client's connection ends: with a last answer, if one is owed, that arrives.

use super::connection::{Connection, Stage};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::time::sleep;

/// What comes behind the courier's last answer is read and dropped for so long: a close over unread bytes is a
/// reset, which may overtake that answer.
const LINGER: Duration = Duration::from_millis(60);
const MAX_LINGER_BYTES: usize = 256 * 1024;

const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const SERVICE_UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\n\
      Content-Length: 0\r\n\r\n";

/// Why a connection ends.
pub(super) enum CloseReason {
    /// Another process goes on with it.
    Passed,
    /// Its last answer is written, or its client has gone.
    Done,
    /// For want of a request in time.
    Late,
    /// Its descriptor is needed.
    Evicted,
    /// The process is about to end.
    Stopping,
}

impl CloseReason {
    /// What a client is told that has begun a request.
    fn last_answer(&self) -> Option<&'static [u8]> {
        match self {
            CloseReason::Passed | CloseReason::Done => None,
            CloseReason::Late => Some(REQUEST_TIMEOUT),
            CloseReason::Evicted | CloseReason::Stopping => Some(SERVICE_UNAVAILABLE),
        }
    }
}

impl Connection {
    /// Writes the last answer, if one is owed, and closes so that it arrives.
    pub(super) async fn finish(&self, reason: CloseReason) {
        if let Some(answer) = reason.last_answer().filter(|_| self.has_unanswered_request()) {
            // Nothing else is on its way to the client, so that there is room for so little.
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

    /// Reads and drops what the client still sends, until it goes.
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
