//! The operators' address: a thread and a runtime of its own, so that its answers wait neither for clients
//! nor for the courier's loop. What it may touch is the register alone.

use super::log::{Aside, say};
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

/// Callers with an open connection at most; beyond it the one longest without a whole call gives way. Fewer
/// where there are few descriptors: a part of all.
const CALLERS_MOST: usize = 24;
const CALLERS_LEAST: usize = 8;
const CALLERS_PART: usize = 16;
/// Held open beside callers: a listener, a runtime, and a file while it is written.
const OWN: usize = 6;
/// A whole call is there within this time. Answers are owed within 1 s of it.
const CALL_TIME: Duration = Duration::from_secs(5);
const ANSWER_TIME: Duration = Duration::from_millis(800);
/// A caller that does not read its answer does not hold its connection.
const LINGER: Duration = Duration::from_secs(1);
const HEAD_MOST: usize = 8 * 1024;
const BODY_MOST: usize = 16 * 1024;

/// What a call asks for.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Set(Change),
}

/// Reads a call; an error is its no.
fn call(method: &Method, path: &str) -> Result<Call, StatusCode> {
    let (wanted, call) = match path.strip_prefix("/control/").ok_or(StatusCode::NOT_FOUND)? {
        "ready" => (Method::GET, Call::Ready),
        "out-of-service" => (Method::POST, Call::Set(Change::Service { out: true })),
        "in-service" => (Method::POST, Call::Set(Change::Service { out: false })),
        other => {
            let of = other.strip_prefix("endpoints/").and_then(|rest| rest.split_once('/'));
            let (id, out) = match of {
                Some((id, "offline")) if !id.is_empty() => (id, true),
                Some((id, "online")) if !id.is_empty() => (id, false),
                _ => return Err(StatusCode::NOT_FOUND),
            };
            (Method::POST, Call::Set(Change::Endpoint { id: id.to_owned(), out }))
        }
    };
    if *method == wanted { Ok(call) } else { Err(StatusCode::METHOD_NOT_ALLOWED) }
}

fn callers_most(sockets: usize) -> usize {
    (sockets / CALLERS_PART).clamp(CALLERS_LEAST, CALLERS_MOST)
}

/// What this thread holds open at most where the courier may have so many descriptors.
pub fn sockets(of: usize) -> usize {
    callers_most(of) + OWN
}

struct Caller {
    /// A whole call has come.
    whole: Cell<bool>,
    drop: Notify,
}

struct Desk {
    register: Arc<Register>,
    /// Not written here: a reader of the log that stalls must not hold up an answer.
    log: Aside,
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
    let log = Aside::new()?;
    thread::Builder::new().name("operators".to_owned()).spawn(move || {
        let desk = Rc::new(Desk { register, log, most: callers_most(sockets), callers: RefCell::default() });
        LocalSet::new().block_on(&runtime, async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => desk.run(listener).await,
                Err(e) => desk.log.line(format!("operators: cannot listen: {e}")),
            }
        });
    })?;
    say!("operators: called at {at}");
    Ok(())
}

impl Desk {
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
        // Where all have a whole call, they are answered in a moment.
        while self.callers.borrow().len() >= self.most && !self.shed() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Closes the connection that has been open longest without a whole call, if there is one.
    fn shed(&self) -> bool {
        let mut callers = self.callers.borrow_mut();
        let oldest = callers.iter().find(|(_, c)| !c.whole.get()).map(|(n, _)| *n);
        let caller = oldest.and_then(|n| callers.remove(&n));
        caller.inspect(|c| c.drop.notify_one()).is_some()
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream) {
        let caller = Rc::new(Caller { whole: Cell::new(false), drop: Notify::new() });
        self.callers.borrow_mut().insert(number, caller.clone());
        let (this, of) = (self.clone(), caller.clone());
        let service = service_fn(move |request| {
            let (this, caller) = (this.clone(), of.clone());
            async move { Ok::<_, Infallible>(this.answer(request, &caller).await) }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .keep_alive(false)
            .half_close(true)
            .serve_connection(TokioIo::new(stream), service);
        let mut conn = pin!(conn);
        let whole = async {
            sleep(CALL_TIME).await;
            if caller.whole.get() {
                sleep(LINGER).await;
            }
        };
        tokio::select! {
            biased;
            () = caller.drop.notified() => {}
            _ = conn.as_mut() => {}
            () = whole => {}
        }
        self.callers.borrow_mut().remove(&number);
    }

    async fn answer(&self, request: Request<Incoming>, caller: &Caller) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let asked = call(&parts.method, parts.uri.path());
        // Acted on once all of it is here: half a call is none.
        let body = Limited::new(body, BODY_MOST).collect().await;
        caller.whole.set(true);
        let (status, text) = match asked {
            _ if body.is_err() => (StatusCode::BAD_REQUEST, "the body cannot be read\n"),
            Err(status) => (status, "no such call\n"),
            Ok(Call::Ready) if self.register.serves() => (StatusCode::OK, "ready\n"),
            Ok(Call::Ready) => (StatusCode::SERVICE_UNAVAILABLE, "this process takes no clients\n"),
            Ok(Call::Set(change)) => {
                let told = change.to_string();
                let set = timeout(ANSWER_TIME, self.register.clone().set(change)).await;
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
        let endpoint = |out| Ok(Call::Set(Change::Endpoint { id: "s-1".to_owned(), out }));
        assert_eq!(call(&Method::GET, "/control/ready"), Ok(Call::Ready));
        assert_eq!(call(&Method::POST, "/control/endpoints/s-1/offline"), endpoint(true));
        assert_eq!(call(&Method::POST, "/control/endpoints/s-1/online"), endpoint(false));
        for (path, out) in [("/control/out-of-service", true), ("/control/in-service", false)] {
            assert_eq!(call(&Method::POST, path), Ok(Call::Set(Change::Service { out })));
            assert_eq!(call(&Method::GET, path), Err(StatusCode::METHOD_NOT_ALLOWED));
        }
        assert_eq!(call(&Method::POST, "/control/ready"), Err(StatusCode::METHOD_NOT_ALLOWED));
        for path in ["/", "/-/ready", "/control", "/control/", "/control/readyy", "/control/endpoints/s-1"] {
            assert_eq!(call(&Method::GET, path), Err(StatusCode::NOT_FOUND), "{path}");
        }
        for path in
            ["/control/endpoints//offline", "/control/endpoints/s-1/gone", "/control/endpoints/a/b/online"]
        {
            assert_eq!(call(&Method::POST, path), Err(StatusCode::NOT_FOUND), "{path}");
        }
    }
}
