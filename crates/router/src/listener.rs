//! Listening sockets and the clients that come to them.

use crate::activity::{Activity, ClientStream, Order, Phase};
use crate::frontend;
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

/// Connections that may wait to be accepted; whoever finds no place comes back only after a second.
const BACKLOG: i32 = 4_096;
/// Pause after a failed accept, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer that the library takes, bytes.
const SMALLEST_BUFFER: usize = 8 * 1024;

/// A listening socket of the runtime.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// The clients' connections.
pub struct Clients {
    open: RefCell<HashMap<u64, Rc<Activity>>>,
    next: Cell<u64>,
    most: usize,
    /// Woken when a connection has ended.
    left: Notify,
}

impl Clients {
    /// Room for `most` connections.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Clients { open: RefCell::default(), next: Cell::new(0), most, left: Notify::new() })
    }

    /// Asks all connections to close once their requests are answered.
    pub fn finish(&self) {
        self.each(|activity| activity.ask(Order::Finish));
    }

    /// Calls `act` with each open connection.
    pub fn each(&self, act: impl FnMut(&Activity)) {
        self.open.borrow().values().map(Rc::as_ref).for_each(act);
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Waits until no connection is open.
    pub async fn all_left(&self) {
        while !self.open.borrow().is_empty() {
            self.left.notified().await;
        }
    }

    async fn room(&self) {
        while self.open.borrow().len() >= self.most {
            self.evict();
            self.left.notified().await;
        }
    }

    /// Closes the connection that has been idle for longest.
    fn evict(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|activity| activity.phase() == Phase::Idle);
        if let Some(longest) = idle.min_by_key(|activity| activity.since()) {
            longest.ask(Order::Finish);
        }
    }

    fn enter(self: &Rc<Self>, activity: Rc<Activity>) -> Presence {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, activity);
        Presence { clients: self.clone(), number }
    }
}

/// A client that is there; it leaves when this is dropped.
struct Presence {
    clients: Rc<Clients>,
    number: u64,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.number);
        self.clients.left.notify_one();
    }
}

/// Accepts clients for as long as it is polled.
pub async fn accept(listener: TcpListener, state: Rc<RouterState>, clients: Rc<Clients>) {
    loop {
        clients.room().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                state.counters.accepted.increment();
                let activity = Activity::new(Instant::now());
                let presence = clients.enter(activity.clone());
                tokio::task::spawn_local(serve(stream, state.clone(), activity, presence));
            }
            Err(error) => {
                log::warn!("a client was not accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, state: Rc<RouterState>, activity: Rc<Activity>, _presence: Presence) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a client left at once: {error}");
        return;
    }
    let io = TokioIo::new(ClientStream::new(stream, activity.clone()));
    let service = service_fn(|request| frontend::handle(state.clone(), activity.clone(), request));
    let mut connection = pin!(builder(&state).serve_connection(io, service));
    let mut finishing = false;
    poll_fn(|cx| {
        let order = activity.order(cx);
        if order == Order::Abort {
            return Poll::Ready(());
        }
        let mut polled = connection.as_mut().poll(cx);
        // A request that has come, or has begun to, is read and answered before the connection is closed.
        if order == Order::Finish && !finishing && polled.is_pending() && activity.phase() != Phase::Head {
            finishing = true;
            connection.as_mut().graceful_shutdown();
            polled = connection.as_mut().poll(cx);
        }
        polled.map(|result| {
            if let Err(error) = result {
                log::debug!("a client's connection ended: {error}");
                activity.broke();
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
