//! Listening sockets and client connections.

use crate::client::activity::{Activity, ClientStream, CloseMode, Phase};
use crate::client::frontend;
use crate::state::RouterState;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Listen backlog. If it is full, the client's SYN is dropped, and the client retries it only after a second.
const BACKLOG: i32 = 4_096;
/// Wait after a failed accept. The usual cause is that no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library accepts, bytes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// Opens a listening socket.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// The open client connections.
pub struct ClientConnections {
    open: RefCell<HashMap<u64, Rc<Activity>>>,
    next: Cell<u64>,
    max_open: usize,
    /// Notified when a connection has closed.
    closed: Notify,
}

impl ClientConnections {
    /// An empty set that admits at most `max_open` connections.
    pub fn new(max_open: usize) -> Rc<Self> {
        Rc::new(ClientConnections {
            open: RefCell::default(),
            next: Cell::new(0),
            max_open,
            closed: Notify::new(),
        })
    }

    /// Requests that each connection is closed once its requests are answered.
    pub fn close_gracefully(&self) {
        self.for_each(|activity| activity.request_close(CloseMode::Graceful));
    }

    /// Calls `act` with each open connection.
    pub fn for_each(&self, act: impl FnMut(&Activity)) {
        self.open.borrow().values().map(Rc::as_ref).for_each(act);
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while !self.open.borrow().is_empty() {
            self.closed.notified().await;
        }
    }

    async fn wait_for_capacity(&self) {
        while self.open.borrow().len() >= self.max_open {
            self.close_longest_idle();
            self.closed.notified().await;
        }
    }

    /// Closes the connection that has been idle for longest.
    fn close_longest_idle(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|activity| activity.phase() == Phase::Idle);
        if let Some(longest) = idle.min_by_key(|activity| activity.since()) {
            longest.request_close(CloseMode::Graceful);
        }
    }

    fn register(self: &Rc<Self>, activity: Rc<Activity>) -> Registration {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, activity);
        Registration { clients: self.clone(), number }
    }
}

/// The registration of an open connection, removed on drop.
struct Registration {
    clients: Rc<ClientConnections>,
    number: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.number);
        self.clients.closed.notify_one();
    }
}

/// Accepts connections; never returns.
pub async fn accept(listener: TcpListener, state: Rc<RouterState>, clients: Rc<ClientConnections>) {
    loop {
        clients.wait_for_capacity().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                state.counters.accepted.increment();
                let activity = Activity::new(Instant::now());
                let registration = clients.register(activity.clone());
                tokio::task::spawn_local(serve(stream, state.clone(), activity, registration));
            }
            Err(error) => {
                log::warn!("accept failed error={error}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    state: Rc<RouterState>,
    activity: Rc<Activity>,
    _registration: Registration,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("client socket option not set error={error}");
        return;
    }
    let io = TokioIo::new(ClientStream::new(stream, activity.clone()));
    let service = service_fn(|request| frontend::handle(state.clone(), activity.clone(), request));
    let mut connection = pin!(builder(&state).serve_connection(io, service));
    let mut is_closing = false;
    poll_fn(|cx| {
        let close_mode = activity.close_mode(cx);
        if close_mode == CloseMode::Abort {
            return Poll::Ready(());
        }
        let mut polled = connection.as_mut().poll(cx);
        // A request of which at least a part has arrived is read and answered before the connection is closed.
        if close_mode == CloseMode::Graceful
            && !is_closing
            && polled.is_pending()
            && activity.phase() != Phase::Head
        {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
            polled = connection.as_mut().poll(cx);
        }
        polled.map(|result| {
            if let Err(error) = result {
                log::debug!("client connection failed error={error}");
                activity.mark_broken();
            }
        })
    })
    .await;
}

fn builder(state: &RouterState) -> Builder {
    let largest_head = state.routing().map(|routing| routing.limits().max_header_bytes).unwrap_or_default();
    let mut builder = Builder::new();
    builder.auto_date_header(false);
    if largest_head > 0 {
        builder.max_header_size(largest_head).max_buf_size(largest_head.max(SMALLEST_BUFFER));
    }
    builder
}
