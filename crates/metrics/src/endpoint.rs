//! The HTTP endpoint of a process's metrics: `GET /metrics`.

use crate::exposition::Exposition;
use crate::process::ProcessIdentity;
use lanegate_control_http::{
    ContentType, ControlMethod, ControlRequest, ControlResponse, ServerLimits, serve,
};
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Connections that may wait in the backlog.
const BACKLOG: u32 = 8;
/// Number of open connections; a scraper needs one.
const MAX_CONNECTIONS: usize = 4;
/// Time for a request to arrive, once it has begun.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a client has to read the answer and begin its next request; metrics are scraped every 5 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest body of a request, bytes; a scrape has none.
const MAX_BODY_BYTES: usize = 1_024;

/// The address of a process's metrics. Nothing is bound yet, so that the role can bind its own listeners first.
#[derive(Debug, Clone, Copy)]
pub struct MetricsAddress {
    identity: ProcessIdentity,
    address: SocketAddr,
}

impl MetricsAddress {
    /// The metrics of a process at this address.
    pub fn new(identity: ProcessIdentity, address: SocketAddr) -> Self {
        MetricsAddress { identity, address }
    }

    /// Binds the address. If that fails, a warning is logged once and the process goes on without metrics.
    pub fn bind(self) -> MetricsEndpoint {
        MetricsEndpoint::bind(self.identity, self.address)
    }
}

/// The bound listener of a process's metrics; there may be none.
#[derive(Debug)]
pub struct MetricsEndpoint {
    identity: ProcessIdentity,
    listener: Option<TcpListener>,
}

impl MetricsEndpoint {
    /// Binds `address`. If that fails, a warning is logged once and the process goes on without metrics.
    pub fn bind(identity: ProcessIdentity, address: SocketAddr) -> Self {
        let listener = listen(address);
        let listener = listener
            .inspect_err(|error| log::warn!("metrics endpoint not bound address={address} error=\"{error}\""))
            .ok();
        MetricsEndpoint { identity, listener }
    }

    /// The bound address, if any.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Answers scrapes for as long as it is polled. `collect` returns the metrics of the role, or `None` while it
    /// cannot.
    ///
    /// Must run inside a `LocalSet`: connections are tasks of this thread.
    pub async fn serve<C, F>(self, collect: C)
    where
        C: Fn() -> F + Clone + 'static,
        F: Future<Output = Option<Exposition>> + 'static,
    {
        let Some(listener) = self.listener else { return };
        let identity = self.identity;
        let handler = move |request: ControlRequest| answer(identity, request, collect.clone());
        serve(listener, limits(), handler, pending()).await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout: HEADER_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_connections: MAX_CONNECTIONS,
        shutdown_timeout: Duration::ZERO,
    }
}

async fn answer<C, F>(identity: ProcessIdentity, request: ControlRequest, collect: C) -> ControlResponse
where
    C: Fn() -> F,
    F: Future<Output = Option<Exposition>>,
{
    if request.path != METRICS_PATH {
        return ControlResponse::status(404);
    }
    if request.method != ControlMethod::Get {
        return ControlResponse::status(405);
    }
    let Some(mut exposition) = collect().await else { return ControlResponse::status(503) };
    identity.add_to(&mut exposition);
    match exposition.render() {
        Ok(text) => ControlResponse::text(200, ContentType::Metrics, text),
        Err(error) => {
            log::warn!("metrics not rendered error=\"{error}\"");
            ControlResponse::status(500)
        }
    }
}
