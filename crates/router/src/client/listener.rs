//! Listening sockets, and the set of open client connections.

use crate::client::activity::{Activity, CloseMode, Phase};
use crate::client::connection::serve;
use crate::state::RouterState;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Listen backlog. If it is full, the client's SYN is dropped, and the client retries it only after a second.
const BACKLOG: i32 = 4_096;
/// Wait after a failed accept. The usual cause is that no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

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
                let serving = serve(stream, state.clone(), activity);
                tokio::task::spawn_local(async move {
                    serving.await;
                    drop(registration);
                });
            }
            Err(error) => {
                log::warn!("accept failed error={error}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
