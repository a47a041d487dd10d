//! The clients' side: takes messages in over HTTP, and tells whether the courier is ready. This module accepts
//! connections; each of the others has one step of a connection's or a request's way.

mod closing;
mod connection;
mod eviction;
mod framing;
mod guards;
mod limits;
mod message;
mod offer;
mod requests;
mod response;
mod serving;
mod standing;
mod stream;

pub use offer::{Answer, Offer, Reply};
pub use standing::{PassedConnection, Standing};

use super::log::say;
use super::news::News;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

/// Nobody has come for so long: the listening socket may close.
const SHUT_TIME: Duration = Duration::from_millis(20);
/// When a newcomer is looked at again for whom there was no room.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(5);
/// When connections are accepted again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Takes clients' connections and their messages in.
pub struct Intake {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub standing: Rc<Standing>,
    pub news: Sender<News>,
    /// Clients' connections at most.
    pub sockets: usize,
    /// Bytes of bodies in flight at most.
    pub bodies: usize,
}

impl Intake {
    /// Accepts clients until the task is dropped, or the listening socket is to close.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut shut = false;
        self.standing.listening.set(true);
        loop {
            // Out of sockets is backpressure: the one of least use makes room, else the newcomer waits
            // outside. Each closed one lets one in at once, so that hundreds that say nothing starve nobody.
            if self.standing.open.borrow().len() >= self.sockets && !self.standing.shed() {
                sleep(NO_ROOM_PAUSE).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.standing.shut.notified(), if !shut => {
                    shut = true;
                    continue;
                }
                // Whoever was let in by the system, and not by this loop yet, would be reset with the socket.
                () = sleep(SHUT_TIME), if shut => return self.standing.listening.set(false),
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve(stream, Duration::ZERO, false, Bytes::new()));
                    // A newcomer's request is read before the next may push it out.
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    say!("intake: cannot accept: {e}");
                    sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}
