//! Calls to endpoints, probes, and their connection pool. A connection carries one call at a time. Calls that may
//! have run are distinguished from those that certainly did not.

use super::input::Input;
use super::journal::Message;
use super::link::{CallError, CallResponse, Link, UNREAD_GRACE};
use super::log::log_line;
use super::register::Register;
use crate::interface::{EndpointId, Outcome, Report};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How a call ended.
#[derive(Debug)]
pub struct CallEnd {
    pub outcome: Outcome,
    /// The message has ended; further attempts are pointless.
    pub over: bool,
    pub report: Option<Report>,
    pub at: Instant,
}

/// Parameters of an attempt.
pub struct Call {
    pub message: u64,
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub host: String,
    pub address: SocketAddr,
    pub submitted: Rc<Message>,
    pub timeout: Duration,
    /// It must not be sent again if it may have run.
    pub once: bool,
    pub start_permit: StartPermit,
}

/// Permission to start a call once its connection is open. Connecting can outlast the permission: the endpoint
/// drains, the destination asks to wait, or the endpoint's deduplication window ends.
#[derive(Clone, Default)]
pub struct StartPermit {
    revoked: Rc<Cell<bool>>,
    begun: Rc<Cell<bool>>,
    /// The call must not start after this.
    pub ends: Option<Instant>,
}

impl StartPermit {
    /// Prevents the call from starting; a started one continues.
    pub fn revoke(&self) {
        self.revoked.set(true);
    }

    /// Whether its first byte may have been sent.
    pub fn has_started(&self) -> bool {
        self.begun.get()
    }

    fn is_valid(&self) -> bool {
        !self.revoked.get() && self.ends.is_none_or(|at| Instant::now() < at)
    }
}

/// Break rates of calls by how long their connection had been idle. Some endpoints, or middleboxes, drop idle
/// connections long before the limit and reset only on the next request, which then counts as one that may have run.
#[derive(Default)]
struct BreakRates {
    fresh: BreakRate,
    idle: [BreakRate; 8],
}

/// Smoothed share of calls whose connection broke, as of the last update.
#[derive(Clone, Copy, Default)]
struct BreakRate {
    share: f64,
    at: Option<Instant>,
}

const BREAK_RATE_GAIN: f64 = 0.05;
/// Half-life of a share, s: it decays so that avoided connections are tried again.
const BREAK_RATE_HALF_LIFE_S: f64 = 10.0;
/// Tolerated break rate above that of fresh connections, for messages that may be sent again and for those that may
/// not: these are lost if the connection breaks, which costs far more than a new connection.
const MAX_EXCESS: f64 = 0.1;
const MAX_EXCESS_ONCE: f64 = 0.03;

impl BreakRate {
    fn now(&self) -> f64 {
        let age = self.at.map_or(0.0, |at| at.elapsed().as_secs_f64());
        self.share * 0.5f64.powf(age / BREAK_RATE_HALF_LIFE_S)
    }

    fn note(&mut self, broke: bool) {
        let share = self.now();
        let seen = if broke { 1.0 } else { 0.0 };
        *self = BreakRate { share: share + BREAK_RATE_GAIN * (seen - share), at: Some(Instant::now()) };
    }
}

impl BreakRates {
    /// Buckets double in width, from 50 ms.
    fn bucket(idle: Duration) -> usize {
        (idle.as_millis() as u64 / 25).max(1).ilog2().min(7) as usize
    }

    fn note(&mut self, idle: Option<Duration>, broke: bool) {
        match idle {
            Some(idle) => self.idle[Self::bucket(idle)].note(broke),
            None => self.fresh.note(broke),
        }
    }

    /// Break rate above that of fresh connections. A connection dropped after some idle time is also gone after a longer
    /// one; only a close right after a response, the first bucket, implies nothing for the others.
    fn excess(&self, idle: Duration) -> f64 {
        let row = Self::bucket(idle);
        let rows = self.idle[row.min(1)..=row].iter();
        rows.map(BreakRate::now).fold(0.0, f64::max) - self.fresh.now()
    }
}

struct IdleConnection {
    link: Link,
    since: Instant,
}

#[derive(Clone)]
pub struct Calls {
    connect: Duration,
    keep: Duration,
    sockets: Arc<Semaphore>,
    /// By endpoint, not by address: a new endpoint at the address of a former one must not inherit its connections.
    idle: Rc<RefCell<HashMap<EndpointId, Vec<IdleConnection>>>>,
    break_rates: Rc<RefCell<BreakRates>>,
    /// Checked before the first byte of each call: an endpoint gets no call once operators were told it is offline.
    register: Arc<Register>,
}

impl Calls {
    /// `keep` is how long a connection may stand idle, well below the endpoints' own limit.
    pub fn new(connect: Duration, keep: Duration, sockets: usize, register: Arc<Register>) -> Self {
        let idle = Rc::new(RefCell::new(HashMap::<EndpointId, Vec<IdleConnection>>::new()));
        let swept = Rc::downgrade(&idle);
        tokio::task::spawn_local(async move {
            while let Some(idle) = swept.upgrade() {
                idle.borrow_mut().retain(|_, kept| {
                    kept.retain_mut(|k| k.since.elapsed() < keep && k.link.is_usable());
                    !kept.is_empty()
                });
                drop(idle);
                sleep(SWEEP_INTERVAL).await;
            }
        });
        let sockets = Arc::new(Semaphore::new(sockets));
        Calls { connect, keep, sockets, idle, break_rates: Rc::default(), register }
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// An idle connection from the pool, and its idle time.
    fn take(&self, endpoint: EndpointId, once: bool) -> Option<(Link, Duration)> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&endpoint)?;
        while let Some(mut k) = kept.pop() {
            // A request on a connection that the peer has closed, or is about to, would end as a reset and
            // count as one that may have run.
            let age = k.since.elapsed();
            if age >= self.keep || !k.link.is_usable() {
                continue;
            }
            // So would one on a connection that has been idle for as long as those that broke recently.
            let excess = self.break_rates.borrow().excess(age);
            if excess <= if once { MAX_EXCESS_ONCE } else { MAX_EXCESS } {
                return Some((k.link, age));
            }
            if excess <= MAX_EXCESS {
                kept.push(k);
                return None;
            }
        }
        None
    }

    fn keep(&self, endpoint: EndpointId, link: Link) {
        self.idle
            .borrow_mut()
            .entry(endpoint)
            .or_default()
            .push(IdleConnection { link, since: Instant::now() });
    }

    /// A permit for one more socket; if there is none, closes the oldest idle connection.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
            return Some(permit);
        }
        {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.iter().filter_map(|(a, k)| Some((k.first()?.since, *a))).min();
            if let Some(kept) = oldest.and_then(|(_, a)| idle.get_mut(&a)) {
                kept.remove(0);
            }
        }
        timeout(self.connect, self.sockets.clone().acquire_owned()).await.ok()?.ok()
    }

    async fn link(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        once: bool,
    ) -> Option<(Link, Option<Duration>)> {
        if let Some((link, idle)) = self.take(endpoint, once) {
            return Some((link, Some(idle)));
        }
        let permit = self.permit().await?;
        Link::open(address, self.connect, Some(permit)).await.map(|link| (link, None))
    }

    async fn ask(
        &self,
        (endpoint, host): (EndpointId, &str),
        (to, once): (SocketAddr, bool),
        request: Request<Full<Bytes>>,
        until: Instant,
        start_permit: &StartPermit,
    ) -> Result<CallResponse, CallError> {
        // A call whose time is up while it still has no connection was never sent.
        let link = timeout_at(until, self.link(endpoint, to, once)).await.ok().flatten();
        let (mut link, idle) = link.ok_or(CallError::NotSent)?;
        if !start_permit.is_valid() || self.register.is_out(host) {
            return Err(CallError::Revoked);
        }
        start_permit.begun.set(true);
        let answer = link.ask(request, until).await;
        if let Some(refused) = link.refusal() {
            log_line!("{host} at {to}: answer refused, {}: {refused}", refused.reason());
        }
        if let Err(lost) = answer {
            let stood = idle.map_or("new".to_owned(), |i| format!("idle for {} ms", i.as_millis()));
            log_line!("{to} {lost:?}: on a connection {stood}");
        }
        self.break_rates.borrow_mut().note(idle, matches!(answer, Err(CallError::ConnectionLost)));
        let answer = answer?;
        if answer.reusable {
            self.keep(endpoint, link);
        }
        Ok(answer)
    }

    /// Makes one attempt and reports its end. The connection is closed before a time-out or a cancellation is
    /// reported: otherwise the next call would find this one's slot still occupied.
    pub async fn call(self, call: Call, cancel: oneshot::Receiver<()>, inputs: Sender<Input>) {
        let Call { message, attempt, endpoint, host, address, submitted, timeout, once, start_permit } = call;
        let until = Instant::now() + timeout;
        let mut request = Request::post("/inbox")
            .header(HOST, address.to_string())
            .header("X-Request-ID", &submitted.id)
            .header("X-Timeout", format!("{}m", timeout.as_millis().max(1)));
        if let Some(key) = &submitted.key {
            request = request.header("Idempotency-Key", key);
        }
        let end = match request.body(Full::new(submitted.body.clone())) {
            Ok(request) => {
                let mut asked =
                    pin!(self.ask((endpoint, &host), (address, once), request, until, &start_permit));
                let answer = tokio::select! {
                    biased;
                    answer = &mut asked => Some(answer),
                    _ = cancel => {
                        // The call must not start any more, but a response that has already arrived counts.
                        start_permit.revoke();
                        tokio::time::timeout(UNREAD_GRACE, &mut asked).await.ok()
                    }
                };
                answer.map_or_else(
                    || CallEnd { outcome: Outcome::Cancelled, over: false, report: None, at: Instant::now() },
                    ended,
                )
            }
            Err(_) => CallEnd { outcome: Outcome::NotSent, over: false, report: None, at: Instant::now() },
        };
        let _ = inputs.send(Input::CallEnded { message, attempt, endpoint, end }).await;
    }

    /// Sends a load probe and reports its end.
    pub async fn probe(
        self,
        (endpoint, host): (EndpointId, String),
        address: SocketAddr,
        timeout: Duration,
        inputs: Sender<Input>,
    ) {
        let sent = Instant::now();
        let request = Request::get("/-/load").header(HOST, address.to_string()).body(Full::default());
        let answer = match request {
            Ok(request) => {
                self.ask(
                    (endpoint, &host),
                    (address, false),
                    request,
                    sent + timeout,
                    &StartPermit::default(),
                )
                .await
            }
            Err(_) => Err(CallError::NotSent),
        };
        let _ = inputs.send(Input::Probed { endpoint, sent, end: ended(answer) }).await;
    }
}

/// Maps a response to an outcome. Only calls that were rejected or never sent count as not run.
fn ended(answer: Result<CallResponse, CallError>) -> CallEnd {
    let answer = match answer {
        Ok(answer) => answer,
        Err(lost) => {
            let outcome = match lost {
                CallError::NotSent => Outcome::ConnectFailed,
                CallError::Revoked => Outcome::NotSent,
                CallError::ConnectionLost => Outcome::Reset,
                CallError::TimedOut => Outcome::TimedOut,
            };
            return CallEnd { outcome, over: false, report: None, at: Instant::now() };
        }
    };
    // A broken response proves something only if its status is 200; otherwise the request may have run.
    if !answer.whole && answer.status != StatusCode::OK {
        return CallEnd { outcome: Outcome::Reset, over: false, report: None, at: answer.at };
    }
    let head = |name| answer.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
    let outcome = match answer.status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::TOO_MANY_REQUESTS => {
            let ms = head("Wait-Ms").and_then(|v| v.parse::<f64>().ok()).filter(|ms| *ms > 0.0 && *ms < 1e9);
            Outcome::Full { wait: ms.map(|ms| Duration::from_secs_f64(ms / 1000.0)) }
        }
        StatusCode::SERVICE_UNAVAILABLE if head("Slots-Taken") == Some("1") => Outcome::NotSent,
        // The endpoint rejects the connection, not the call: it is at its connection limit, and pooled ones keep
        // working. Treating this as the destination's limit would stop those too. Also covers an endpoint that is
        // shutting down. Drawback: if a destination at its limit closes every rejected connection, only new
        // connections are held back, and the limit is found on pooled ones.
        StatusCode::SERVICE_UNAVAILABLE if closes(&answer.headers) => Outcome::ConnectFailed,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full { wait: None },
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::NotSent,
        _ => Outcome::Error,
    };
    let over = matches!(answer.status, StatusCode::OK | StatusCode::GONE);
    CallEnd { outcome, over, report: report(&answer.headers), at: answer.at }
}

/// Whether the endpoint closes the connection after this response.
fn closes(headers: &HeaderMap) -> bool {
    let all = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    all.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case("close"))
}

/// Reads `X-Server-Load: TEXT x0=0.4, x1=25`.
fn report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("X-Server-Load")?.to_str().ok()?;
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let field = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| key.trim() == name).map(|(_, value)| value.trim()).next()?;
        value.parse::<f64>().ok().filter(|v| v.is_finite())
    };
    Some(Report { left: field("x0")?, limit: field("x1")? })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Option<(f64, f64)> {
        let mut headers = HeaderMap::new();
        headers.insert("X-Server-Load", text.parse().expect("a header"));
        report(&headers).map(|r| (r.left, r.limit))
    }

    #[test]
    fn reports_are_read_and_nonsense_is_none() {
        assert_eq!(read("TEXT x0=0.4, x1=25"), Some((0.4, 25.0)));
        assert_eq!(read("TEXT  x1=2.5 ,x0=0"), Some((0.0, 2.5)));
        for bad in ["", "TEXT", "TEXT x0=0.4", "TEXT x0=a, x1=2", "TEXT x0=NaN, x1=2", "x0 x1"] {
            assert_eq!(read(bad), None, "{bad}");
        }
    }
}
