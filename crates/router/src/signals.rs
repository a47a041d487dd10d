//! Signals of the platform.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process listens for.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    /// Settings are not read again; the signal is taken so that it does not end the process.
    _hangup: Signal,
}

impl Signals {
    /// Listens from now on.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, _hangup: signal(SignalKind::hangup())? })
    }

    /// Waits until the process is asked to end.
    pub async fn terminated(&mut self) {
        self.terminate.recv().await;
    }
}
