//! The signals that the platform sends to the process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that the process listens for.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    /// Settings are not reloaded; the handler keeps SIGHUP from ending the process.
    _hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, _hangup: signal(SignalKind::hangup())? })
    }

    /// Waits for SIGTERM.
    pub async fn terminated(&mut self) {
        self.terminate.recv().await;
    }
}
