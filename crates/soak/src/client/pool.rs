//! Clients' connections: new ones, and those that are kept.

use crate::catalog::IDLE_TIMEOUT_MS;
use crate::random::unseeded;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are idle for longer than four fifths of the limit are not used again.
const REUSE_TIME: Duration = Duration::from_millis(IDLE_TIMEOUT_MS * 4 / 5);
/// Idle connections that are kept.
const MOST_IDLE: usize = 40;

/// A connection to a router.
pub struct Connection {
    pub router: u8,
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it before.
    pub used: bool,
}

impl Connection {
    /// Opens one.
    pub async fn open(router: u8, address: SocketAddr) -> Option<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(connection);
        Some(Connection { router, sender, used: false })
    }
}

/// Idle connections.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<(Connection, Instant)>>,
}

impl Pool {
    /// Any idle connection that may still be used.
    pub fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|(connection, since)| connection.sender.is_ready() && now - *since < REUSE_TIME);
        if idle.is_empty() {
            return None;
        }
        let index = unseeded().random_range(0..idle.len());
        Some(idle.swap_remove(index).0)
    }

    /// Keeps a connection for later.
    pub fn put(&self, mut connection: Connection) {
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MOST_IDLE {
            idle.push((connection, Instant::now()));
        }
    }
}
