//! The operators' address: a thread and a runtime of its own, so that its answers wait neither for clients
//! nor for the courier's loop. It accesses only the register.

use super::log::{BackgroundLog, log_line};
use super::register::{Change, ChangeError, Register};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Callers with an open connection at most; beyond it the one longest without a complete call gives way. Fewer
/// where there are few descriptors: a part of all.
const MAX_CALLERS: usize = 24;
const MIN_CALLERS: usize = 8;
const SOCKETS_PER_CALLER: usize = 16;
/// Descriptors open besides callers: a listener, a runtime, and a file while it is written.
const OWN_DESCRIPTORS: usize = 6;
/// A complete call is there within this time. Answers are owed within 1 s of it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a caller that does not read its response may keep its connection.
const LINGER: Duration = Duration::from_secs(1);
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 16 * 1024;

/// A request from an operator.
#[derive(Debug, PartialEq, Eq)]
enum Command {
    Ready,
    Set(Change),
}

/// Parses a request; an error is the response's status.
fn parse_command(method: &Method, path: &str) -> Result<Command, StatusCode> {
    let (wanted, call) = match path.strip_prefix("/control/").ok_or(StatusCode::NOT_FOUND)? {
        "ready" => (Method::GET, Command::Ready),
        "out-of-service" => (Method::POST, Command::Set(Change::Service { out: true })),
        "in-service" => (Method::POST, Command::Set(Change::Service { out: false })),
        other => {
            let of = other.strip_prefix("endpoints/").and_then(|rest| rest.split_once('/'));
            let (id, out) = match of {
                Some((id, "offline")) if !id.is_empty() => (id, true),
                Some((id, "online")) if !id.is_empty() => (id, false),
                _ => return Err(StatusCode::NOT_FOUND),
            };
            (Method::POST, Command::Set(Change::Endpoint { id: id.to_owned(), out }))
        }
    };
    if *method == wanted { Ok(call) } else { Err(StatusCode::METHOD_NOT_ALLOWED) }
}

fn max_callers(sockets: usize) -> usize {
    (sockets / SOCKETS_PER_CALLER).clamp(MIN_CALLERS, MAX_CALLERS)
}

/// What this thread holds open at most where the courier may have so many descriptors.
pub fn sockets(of: usize) -> usize {
    max_callers(of) + OWN_DESCRIPTORS
}

struct Caller {
    /// A complete call has come.
    complete: Cell<bool>,
    drop: Notify,
}

struct OperatorServer {
    register: Arc<Register>,
    /// Not written here: a reader of the log that stalls must not hold up an answer.
    log: BackgroundLog,
    most: usize,
    callers: RefCell<BTreeMap<u64, Rc<Caller>>>,
}

/// Binds the address, then serves it until the process ends.
pub fn open(address: SocketAddr, sockets: usize, register: Arc<Register>) -> io::Result<()> {
    // Sets SO_REUSEADDR: the process before this one may have left connections behind.
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let log = BackgroundLog::new()?;
    thread::Builder::new().name("operators".to_owned()).spawn(move || {
        let server = Rc::new(OperatorServer {
            register,
            log,
            most: max_callers(sockets),
            callers: RefCell::default(),
        });
        LocalSet::new().block_on(&runtime, async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => server.run(listener).await,
                Err(e) => server.log.line(format!("operators: cannot listen: {e}")),
            }
        });
    })?;
    log_line!("operators: called at {at}");
    Ok(())
}

impl OperatorServer {
    async fn run(self: Rc<Self>, listener: tokio::net::TcpListener) {
        for number in 0.. {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.make_room().await;
                    tokio::task::spawn_local(self.clone().serve(number, stream));
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    self.log.line(format!("operators: cannot accept: {e}"));
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn make_room(&self) {
        // Where all have a complete call, they are answered in a moment.
        while self.callers.borrow().len() >= self.most && !self.evict_oldest() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Closes the connection that has been open longest without a complete call, if there is one.
    fn evict_oldest(&self) -> bool {
        let mut callers = self.callers.borrow_mut();
        let oldest = callers.iter().find(|(_, c)| !c.complete.get()).map(|(n, _)| *n);
        let caller = oldest.and_then(|n| callers.remove(&n));
        caller.inspect(|c| c.drop.notify_one()).is_some()
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream) {
        let caller = Rc::new(Caller { complete: Cell::new(false), drop: Notify::new() });
        self.callers.borrow_mut().insert(number, caller.clone());
        let (this, of) = (self.clone(), caller.clone());
        let service = service_fn(move |request| {
            let (this, caller) = (this.clone(), of.clone());
            async move { Ok::<_, Infallible>(this.answer(request, &caller).await) }
        });
        let conn = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .keep_alive(false)
            .half_close(true)
            .serve_connection(TokioIo::new(stream), service);
        let mut conn = pin!(conn);
        let complete = async {
            sleep(REQUEST_TIMEOUT).await;
            if caller.complete.get() {
                sleep(LINGER).await;
            }
        };
        tokio::select! {
            biased;
            () = caller.drop.notified() => {}
            _ = conn.as_mut() => {}
            () = complete => {}
        }
        self.callers.borrow_mut().remove(&number);
    }

    async fn answer(&self, request: Request<Incoming>, caller: &Caller) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let asked = parse_command(&parts.method, parts.uri.path());
        // Acted on only once the request is complete.
        let body = Limited::new(body, MAX_BODY).collect().await;
        caller.complete.set(true);
        let (status, text) = match asked {
            _ if body.is_err() => (StatusCode::BAD_REQUEST, "the body cannot be read\n"),
            Err(status) => (status, "no such call\n"),
            Ok(Command::Ready) if self.register.serves() => (StatusCode::OK, "ready\n"),
            Ok(Command::Ready) => (StatusCode::SERVICE_UNAVAILABLE, "this process takes no clients\n"),
            Ok(Command::Set(change)) => {
                let told = change.to_string();
                let set = timeout(CHANGE_TIMEOUT, self.register.clone().set(change)).await;
                let answer = match set {
                    Ok(Ok(())) => (StatusCode::OK, "done\n"),
                    Ok(Err(ChangeError::UnknownEndpoint)) => (StatusCode::NOT_FOUND, "no such endpoint\n"),
                    Ok(Err(ChangeError::NotServing)) => {
                        (StatusCode::SERVICE_UNAVAILABLE, "this process takes no clients\n")
                    }
                    Ok(Err(ChangeError::NotPersisted)) => {
                        (StatusCode::INSUFFICIENT_STORAGE, "it cannot be kept\n")
                    }
                    Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "not done in time: ask again\n"),
                };
                self.log.line(format!("operators: {told}: {}", answer.0));
                answer
            }
        };
        let mut answer = Response::new(Full::from(text));
        *answer.status_mut() = status;
        let heads = answer.headers_mut();
        heads.insert(CONNECTION, HeaderValue::from_static("close"));
        if status == StatusCode::METHOD_NOT_ALLOWED {
            let allowed = if parts.method == Method::GET { "POST" } else { "GET, POST" };
            heads.insert(ALLOW, HeaderValue::from_static(allowed));
        }
        answer
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_and_all_else_is_a_no() {
        let endpoint = |out| Ok(Command::Set(Change::Endpoint { id: "s-1".to_owned(), out }));
        assert_eq!(parse_command(&Method::GET, "/control/ready"), Ok(Command::Ready));
        assert_eq!(parse_command(&Method::POST, "/control/endpoints/s-1/offline"), endpoint(true));
        assert_eq!(parse_command(&Method::POST, "/control/endpoints/s-1/online"), endpoint(false));
        for (path, out) in [("/control/out-of-service", true), ("/control/in-service", false)] {
            assert_eq!(parse_command(&Method::POST, path), Ok(Command::Set(Change::Service { out })));
            assert_eq!(parse_command(&Method::GET, path), Err(StatusCode::METHOD_NOT_ALLOWED));
        }
        assert_eq!(parse_command(&Method::POST, "/control/ready"), Err(StatusCode::METHOD_NOT_ALLOWED));
        for path in ["/", "/-/ready", "/control", "/control/", "/control/readyy", "/control/endpoints/s-1"] {
            assert_eq!(parse_command(&Method::GET, path), Err(StatusCode::NOT_FOUND), "{path}");
        }
        for path in
            ["/control/endpoints//offline", "/control/endpoints/s-1/gone", "/control/endpoints/a/b/online"]
        {
            assert_eq!(parse_command(&Method::POST, path), Err(StatusCode::NOT_FOUND), "{path}");
        }
    }
}
