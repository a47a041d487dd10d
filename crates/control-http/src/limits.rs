//! Limits on the resources that clients may use.

use std::time::Duration;

/// Limits on the resources that clients of a server may use.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest body, bytes; a larger one is answered 413.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Time without a byte between requests, or within a body.
    pub idle_timeout: Duration,
    /// Number of open connections; further ones wait in the backlog of the listener.
    pub max_connections: usize,
    /// Time that open requests have to finish at a shutdown.
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
