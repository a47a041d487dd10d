//! The answer of an endpoint.

use crate::endpoint::connection::EndpointConnection;
use crate::endpoint::invalid_answer::InvalidAnswer;
use crate::fault::RouterFault;
use crate::state::RouterState;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use lanegate_dispatch::interface::InstanceLoad;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// The verified head of an endpoint's answer, and its body, which may not have arrived yet.
pub struct EndpointAnswer {
    /// The head.
    pub head: Parts,
    /// The load that the endpoint reported.
    pub load: Option<InstanceLoad>,
    /// The body.
    pub body: EndpointBody,
}

/// The body of an endpoint's answer. Its connection returns to the pool after the last byte; dropping the body earlier closes
/// the connection.
pub struct EndpointBody {
    pub(crate) state: Rc<RouterState>,
    pub(crate) connection: Option<EndpointConnection>,
    pub(crate) incoming: Incoming,
    /// How long the endpoint keeps the connection when it is idle.
    pub(crate) idle_timeout: Option<Duration>,
    /// Whether the body has neither a length nor chunks, so that it ends with its connection.
    pub(crate) ends_with_connection: bool,
    /// Whether the connection may be used for other requests afterwards.
    pub(crate) is_reusable: bool,
}

impl EndpointBody {
    /// The next bytes. An error or the end of the body releases the connection.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<hyper::Result<Bytes>>> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(None);
        };
        let mut next = ready!(connection.poll_body(&mut self.incoming, cx));
        if self.state.has_fault(RouterFault::ResetCompletesBody) {
            next = next.filter(Result::is_ok);
        }
        match &next {
            Some(Ok(data)) => self.state.counters.forwarded_bytes.add(data.len() as u64),
            Some(Err(error)) => self.abandon(InvalidAnswer::in_framing(error)),
            None => self.release(),
        }
        Poll::Ready(next)
    }

    /// Waits for the next bytes.
    pub async fn next(&mut self) -> Option<hyper::Result<Bytes>> {
        poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Length of the body, if it is known from the head.
    pub fn exact_length(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Whether the body ends with its connection. If such a body ends inside an event, it is incomplete.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Closes the connection after an error, which `invalid` caused if that is given.
    fn abandon(&mut self, invalid: Option<InvalidAnswer>) {
        let connection = self.connection.take();
        if let (Some(connection), Some(invalid)) = (connection, invalid) {
            self.state.on_invalid_answer(connection.lease().instance(), invalid);
        }
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take().filter(|_| self.is_reusable) {
            self.state.pool.release(connection, self.idle_timeout);
        }
    }
}
