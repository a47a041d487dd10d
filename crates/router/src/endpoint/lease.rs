//! Leases by which the pool counts the open connections to each endpoint.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Id of a connection; never reused in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

impl ConnectionNumber {
    /// The connection with this number.
    pub(crate) fn new(number: u64) -> Self {
        ConnectionNumber(number)
    }
}

/// One of the limited number of connections to an endpoint. Dropping the lease frees its place.
#[derive(Debug)]
pub struct Lease {
    instance: Arc<str>,
    address: SocketAddr,
    number: ConnectionNumber,
    open: Rc<Cell<u32>>,
}

impl Lease {
    /// Counts one more open connection in `open` until the lease is dropped.
    pub(crate) fn new(
        instance: Arc<str>,
        address: SocketAddr,
        number: ConnectionNumber,
        open: Rc<Cell<u32>>,
    ) -> Self {
        open.set(open.get() + 1);
        Lease { instance, address, number, open }
    }

    /// Id of the endpoint.
    pub(crate) fn instance(&self) -> &str {
        &self.instance
    }

    /// Address to which the connection was opened.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The id of the connection.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}
