//! The clients' side: takes messages in over HTTP, and tells whether the courier is ready. This module accepts
//! connections; each of the others has one step of a connection's or a request's way.

mod closing;
mod connection;
mod eviction;
mod framing;
mod guards;
mod limits;
mod message;
mod requests;
mod response;
mod serving;
mod state;
mod stream;
mod submission;

pub use state::{IntakeState, PassedConnection};
pub use submission::{Answer, Reply, Submission};

use super::input::Input;
use super::log::log_line;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

/// The listening socket closes after this long without a new connection.
const QUIET_BEFORE_SHUT: Duration = Duration::from_millis(20);
/// Retry interval for accepting while no socket is free.
const FULL_RETRY: Duration = Duration::from_millis(5);
/// When connections are accepted again after an error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Takes clients' connections and their messages in.
pub struct Intake {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub intake_state: Rc<IntakeState>,
    pub inputs: Sender<Input>,
    /// Clients' connections at most.
    pub sockets: usize,
    /// Bytes of bodies in flight at most.
    pub bodies: usize,
}

impl Intake {
    /// Accepts clients until the task is dropped, or the listening socket is to close.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut shut = false;
        self.intake_state.listening.set(true);
        loop {
            // Out of sockets is backpressure: the one of least use makes room, else the newcomer waits
            // outside. Each closed one lets one in at once, so that hundreds that say nothing starve nobody.
            if self.intake_state.open.borrow().len() >= self.sockets && !self.intake_state.evict_one() {
                sleep(FULL_RETRY).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.intake_state.shut.notified(), if !shut => {
                    shut = true;
                    continue;
                }
                // Connections still in the kernel's backlog would be reset with the socket.
                () = sleep(QUIET_BEFORE_SHUT), if shut => return self.intake_state.listening.set(false),
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve(stream, Duration::ZERO, false, Bytes::new()));
                    // Let the new connection's request be read before the next one may evict it.
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    log_line!("intake: cannot accept: {e}");
                    sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}
