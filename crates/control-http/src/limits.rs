//! What callers may cost a server.

use std::time::Duration;

/// What callers may cost a server; all figures are set by whoever starts it.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Longest body that is taken, bytes; longer ones are answered with 413.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Longest time without a byte between requests, or within a body.
    pub idle_timeout: Duration,
    /// Connections that are open at once; further ones wait in the queue of the listener.
    pub max_connections: usize,
    /// Longest time that open requests have after the server is told to stop.
    pub shutdown_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            max_connections: 512,
            shutdown_timeout: Duration::from_secs(5),
        }
    }
}
