//! One client connection: reads requests with the HTTP library and closes when it is requested to.
//!
//! Invariant: the head of a request is read under the limit of the configuration in force when the head begins, or under
//! a higher one that has come into force since, and its number of fields is not limited beside that. The HTTP library takes the limit when a connection is created, but a
//! client may keep its connection across any number of configurations. So between two requests the library's
//! connection is replaced by one with the new limit, on the same stream.
//!
//! An exception: bytes that a client sends ahead of the answer to its previous request may already be in the library's
//! buffer, and are read under the limit of that request.

use crate::client::activity::{Activity, CloseMode, Phase};
use crate::client::body::RouterBody;
use crate::client::frontend;
use crate::client::stream::ClientStream;
use crate::fault::RouterFault;
use crate::header_fields::max_fields;
use crate::state::RouterState;
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Smallest buffer that the HTTP library accepts, bytes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// Serves the requests of one client until the connection ends.
pub(crate) async fn serve(stream: TcpStream, state: Rc<RouterState>, activity: Rc<Activity>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("client socket option not set error={error}");
        return;
    }
    let io = TokioIo::new(ClientStream::new(stream, activity.clone()));
    let service = {
        let (state, activity) = (state.clone(), activity.clone());
        service_fn(move |request| frontend::handle(state.clone(), activity.clone(), request))
    };
    let mut connection = ClientConnection::new(state, activity, io, service);
    poll_fn(|cx| connection.poll(cx)).await;
}

/// The connection of the HTTP library, and the limit with which it was created.
struct ClientConnection<S>
where
    S: HttpService<Incoming, ResBody = RouterBody>,
{
    state: Rc<RouterState>,
    activity: Rc<Activity>,
    /// Present, except while it is replaced.
    http: Option<Connection<TokioIo<ClientStream>, S>>,
    /// Largest head of a request, bytes; `None` while there is no configuration.
    head_limit: Option<usize>,
    is_closing: bool,
}

impl<S> ClientConnection<S>
where
    S: HttpService<Incoming, ResBody = RouterBody, Error = Infallible>,
{
    fn new(state: Rc<RouterState>, activity: Rc<Activity>, io: TokioIo<ClientStream>, service: S) -> Self {
        let head_limit = state.head_limit();
        let http = Some(builder(head_limit).serve_connection(io, service));
        ClientConnection { state, activity, http, head_limit, is_closing: false }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let close_mode = self.activity.close_mode(cx);
        if close_mode == CloseMode::Abort {
            return Poll::Ready(());
        }
        self.apply_head_limit();
        let mut polled = self.poll_http(cx);
        // A request of which at least a part has arrived is read and answered before the connection is closed.
        if close_mode == CloseMode::Graceful
            && !self.is_closing
            && polled.is_pending()
            && self.activity.phase() != Phase::Head
        {
            self.close_gracefully();
            polled = self.poll_http(cx);
        }
        polled.map(|result| {
            if let Err(error) = result {
                log::debug!("client connection failed error={error}");
                self.activity.mark_broken();
            }
        })
    }

    fn poll_http(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        match &mut self.http {
            Some(http) => Pin::new(http).poll(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    fn close_gracefully(&mut self) {
        self.is_closing = true;
        if let Some(http) = &mut self.http {
            Pin::new(http).graceful_shutdown();
        }
    }

    /// Replaces the connection of the HTTP library if the limit in force is another one and no request is open.
    fn apply_head_limit(&mut self) {
        let head_limit = self.state.head_limit();
        if self.is_closing || !self.may_apply(head_limit) || self.state.has_fault(RouterFault::KeepHeadLimit)
        {
            return;
        }
        let Some(http) = self.http.take() else { return };
        let mut parts = http.into_parts();
        parts.io.inner_mut().unread(parts.read_buf);
        self.http = Some(builder(head_limit).serve_connection(parts.io, parts.service));
        self.head_limit = head_limit;
    }

    /// Whether the next head may be read under `head_limit`. A head of which a part has arrived is not held to a lower
    /// limit than the one under which it began.
    ///
    /// While a part of an answer is not written, or a part of a body is not read, the library's connection has to stay:
    /// the rest of the answer would be lost, and the rest of the body would be read as a request.
    fn may_apply(&self, head_limit: Option<usize>) -> bool {
        let is_due = match self.activity.phase() {
            Phase::Head => self.head_limit.is_some() && head_limit > self.head_limit,
            _ => head_limit != self.head_limit,
        };
        is_due && self.activity.is_between_requests()
    }
}

fn builder(head_limit: Option<usize>) -> Builder {
    let mut builder = Builder::new();
    let head_limit = head_limit.filter(|limit| *limit > 0);
    builder.auto_date_header(false).max_headers(max_fields(head_limit));
    if let Some(largest_head) = head_limit {
        builder.max_header_size(largest_head).max_buf_size(largest_head.max(SMALLEST_BUFFER));
    }
    builder
}
