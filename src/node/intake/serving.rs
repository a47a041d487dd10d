//! Serves one client's connection from its first byte to its close.

use super::Intake;
use super::closing::CloseReason;
use super::connection::{Connection, Stage};
use super::limits::{MAX_HEAD, SILENT_TIMEOUT, UNREAD_GRACE, UNREAD_STEP};
use super::stream::ClientStream;
use crate::node::channel::ClientConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::os::fd::OwnedFd;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

type HttpConnection<S> = http1::Connection<TokioIo<ClientStream>, S>;

impl Intake {
    /// Goes on with a connection that another process had.
    pub fn adopt(self: Rc<Self>, descriptor: OwnedFd, client: ClientConnection) -> io::Result<()> {
        let stream = std::net::TcpStream::from(descriptor);
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        tokio::task::spawn_local(self.serve(stream, client.age, client.served, client.received.into()));
        Ok(())
    }

    /// Serves a connection until it is closed; `ahead` is what another process has read of it.
    pub(super) async fn serve(self: Rc<Self>, stream: TcpStream, age: Duration, served: bool, ahead: Bytes) {
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(Connection::new(stream, age, served));
        let id = self.intake_state.admit(connection.clone());
        let http = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .keep_alive(!self.intake_state.sends_away())
            .serve_connection(
                TokioIo::new(ClientStream::new(connection.clone(), ahead)),
                self.clone().service(connection.clone()),
            );
        // It outlives the loop: what it still holds is given back once the connection is closed.
        let mut http = pin!(http);
        let reason = self.drive(id, &connection, http.as_mut()).await;
        connection.finish(reason).await;
        self.intake_state.open.borrow_mut().remove(&id);
    }

    fn service(
        self: Rc<Self>,
        connection: Rc<Connection>,
    ) -> impl Service<Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible> {
        service_fn(move |request| {
            let (this, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(this.answer(request, &connection).await) }
        })
    }

    async fn answer(&self, request: Request<Incoming>, connection: &Connection) -> Response<Full<Bytes>> {
        connection.enter(Stage::Reading);
        let answer = self.handle(request, connection).await;
        connection.answered(!answer.status().is_client_error());
        if self.intake_state.passes_on() {
            connection.pass.notify_one();
        }
        answer
    }

    /// Lets hyper read and answer requests until there is a reason to close.
    async fn drive<S>(
        &self,
        id: u64,
        connection: &Rc<Connection>,
        mut http: Pin<&mut HttpConnection<S>>,
    ) -> CloseReason
    where
        S: Service<Request<Incoming>, Response = Response<Full<Bytes>>, Error = Infallible>,
    {
        let mut timer = pin!(sleep_until(connection.since.get() + SILENT_TIMEOUT));
        let mut grace_ends: Option<Instant> = None;
        if self.intake_state.passes_on() {
            connection.pass.notify_one();
        }
        loop {
            tokio::select! {
                biased;
                () = connection.evict.notified() => match connection.stage.get() {
                    // Its request came between the choice and the close: it stays, if only for that.
                    Stage::Silent | Stage::Idle { .. } if !connection.nothing_unread() => {
                        self.intake_state.open.borrow_mut().insert(id, connection.clone());
                    }
                    _ => return CloseReason::Evicted,
                },
                _ = http.as_mut() => return CloseReason::Done,
                () = connection.pass.notified() => {
                    if self.intake_state.pass(connection) {
                        return CloseReason::Passed;
                    }
                }
                () = connection.close.notified() => match connection.stage.get() {
                    // One whose next request is on its way goes after its answer, like all that are at work.
                    Stage::Idle { .. } if connection.nothing_unread() => http.as_mut().graceful_shutdown(),
                    Stage::Silent | Stage::Head | Stage::Reading if self.intake_state.closing.get() => {
                        connection.end_by(Instant::now());
                        timer.as_mut().reset(Instant::now());
                    }
                    _ => {}
                },
                () = timer.as_mut() => {
                    if let Some(reason) = self.check_due(connection, timer.as_mut(), &mut grace_ends) {
                        return reason;
                    }
                }
            }
        }
    }

    /// Whether the connection is closed for want of a request; else the timer is set anew. A head without an end,
    /// or nothing at all, must not hold a socket.
    fn check_due(
        &self,
        connection: &Connection,
        timer: Pin<&mut Sleep>,
        grace_ends: &mut Option<Instant>,
    ) -> Option<CloseReason> {
        match connection.due() {
            Some(due) if due <= Instant::now() => {
                let now = Instant::now();
                if connection.nothing_unread() || now >= *grace_ends.get_or_insert(now + UNREAD_GRACE) {
                    let stopping = self.intake_state.closing.get();
                    return Some(if stopping { CloseReason::Stopping } else { CloseReason::Late });
                }
                timer.reset(now + UNREAD_STEP);
            }
            due => {
                *grace_ends = None;
                timer.reset(due.unwrap_or_else(|| Instant::now() + SILENT_TIMEOUT));
            }
        }
        None
    }
}
