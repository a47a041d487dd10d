//! The clients' side: takes messages in over HTTP, and tells whether the courier is ready.

use super::channel::Client;
use super::journal::Letter;
use super::log::say;
use super::news::News;
use super::register::Register;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::OwnedFd;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Sender, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

pub const BODY_MOST: usize = 64 * 1024;
/// A longer body is read no further and costs its connection.
const BODY_DRAINED: usize = 1024 * 1024;
/// A client is owed an answer or a close within 3 s of connecting: so long it may stay silent, and so long its
/// request may take, from its first byte or, for the first one, from connecting. Usual clients connect ahead
/// and send a second or two later, and some that are true take 2 s to write: a close before that fails them.
const SILENT_TIME: Duration = Duration::from_millis(2500);
const REQUEST_TIME: Duration = Duration::from_millis(2850);
/// A connection without an open request may be closed after this time, where room is needed.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// A request that comes in several pieces counts as at work for so long after each.
const WORK_TIME: Duration = Duration::from_millis(500);
/// A new connection's request is mostly there already and read by then.
const FRESH_TIME: Duration = Duration::from_millis(10);
/// Bytes that wait unread when a connection's time is up may be the rest of its request: they are read for so long
/// yet, in steps, which still ends within the 3 s.
const LAST_LOOK: Duration = Duration::from_millis(80);
const LOOK_STEP: Duration = Duration::from_millis(5);
/// What comes behind the courier's last word is read and dropped for so long: a close over unread bytes is a reset,
/// which may overtake that word.
const LINGER: Duration = Duration::from_millis(60);
const LINGER_MOST: usize = 256 * 1024;
/// Of those to whom room could go, so many are looked at more closely; the others are for the next time.
const SHED_TRIES: usize = 8;
/// Nobody has come for so long: the listening socket may close.
const SHUT_TIME: Duration = Duration::from_millis(20);
const HEAD_MOST: usize = 16 * 1024;
const HEARD_MOST: usize = HEAD_MOST + BODY_MOST;
const ID_MOST: usize = 256;
/// No class has a time-out near this.
const TIMEOUT_MOST: Duration = Duration::from_secs(24 * 3600);
/// Well under the time for which a client waits.
const PATIENCE: Duration = Duration::from_millis(300);
/// When to come again, where the module has not said it.
const COME_AGAIN: Duration = Duration::from_millis(500);

/// A message that is offered, and where its answer goes.
pub struct Offer {
    pub letter: Rc<Letter>,
    pub class: usize,
    pub tenant: usize,
    pub time_left: Duration,
    pub at: Instant,
    pub reply: Answer,
}

/// Where an answer goes: to all who have handed in the same message under the same id. One told otherwise than the
/// others might hand it in anew though it is taken on.
pub struct Answer(Vec<oneshot::Sender<Reply>>);

impl Answer {
    pub fn new() -> (Self, oneshot::Receiver<Reply>) {
        let (reply, answered) = oneshot::channel();
        (Answer(vec![reply]), answered)
    }

    /// Goes to those as well.
    pub fn join(&mut self, others: Answer) {
        self.0.extend(others.0);
    }

    /// Nobody waits for it any more.
    pub fn is_closed(&self) -> bool {
        self.0.iter().all(oneshot::Sender::is_closed)
    }

    /// False if nobody hears it.
    pub fn send(self, reply: Reply) -> bool {
        let heard: Vec<_> = self.0.into_iter().map(|to| to.send(reply).is_ok()).collect();
        heard.contains(&true)
    }
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Taken,
    Refused {
        wait: Option<Duration>,
    },
    /// The courier cannot take anything just now.
    Unavailable,
    NoDestination,
    Failed,
}

/// Standing of the program, as clients may know it.
pub struct Standing {
    /// What operators have set.
    pub register: Arc<Register>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// No request is waited for any more.
    closing: Cell<bool>,
    /// The listening socket is to close once nobody stands before it.
    shut: Notify,
    /// It is open.
    pub listening: Cell<bool>,
    /// Told to all connections when the courier stops.
    pub open: RefCell<BTreeMap<u64, Rc<Line>>>,
    next: Cell<u64>,
    /// Bytes of bodies that are being read or have no answer yet.
    bodies: Cell<usize>,
    /// Offers that the courier has not answered.
    judging: Cell<usize>,
    /// A successor asks: nothing new is offered to the courier.
    held: Cell<bool>,
    go_on: Notify,
    /// Where connections go once another process is the courier.
    heir: RefCell<Option<UnboundedSender<Passed>>>,
}

/// A client's connection on its way to another process.
pub struct Passed {
    pub descriptor: OwnedFd,
    pub heard: Vec<u8>,
    pub age: Duration,
    pub served: bool,
}

/// An offer that the courier judges.
struct Judging<'a>(&'a Standing);

impl<'a> Judging<'a> {
    fn new(standing: &'a Standing) -> Self {
        standing.judging.set(standing.judging.get() + 1);
        Judging(standing)
    }
}

impl Drop for Judging<'_> {
    fn drop(&mut self) {
        self.0.judging.set(self.0.judging.get() - 1);
    }
}

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has come on it yet.
    Silent,
    /// Part of a head has come.
    Head,
    /// A request is being read.
    Busy,
    /// All of it is here, and it waits to be judged.
    Whole,
    /// It is with the courier, or its answer is on its way.
    Judged,
    /// Between requests; `well` if the last one was not at fault.
    Idle { well: bool },
    /// Its last word is said, and it waits for the client to go.
    Over,
}

/// How a connection ends.
enum Parting {
    /// Another process goes on with it.
    Passed,
    /// Its last answer is written, or its client has gone.
    Done,
    /// For want of a request in time.
    Late,
    /// Its descriptor is needed.
    Room,
    /// The process is about to end.
    Closing,
}

impl Parting {
    /// What a client is told that has begun a request.
    fn word(&self) -> Option<&'static [u8]> {
        match self {
            Parting::Passed | Parting::Done => None,
            Parting::Late => {
                Some(b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            }
            Parting::Room | Parting::Closing => Some(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\n\
                  Content-Length: 0\r\n\r\n",
            ),
        }
    }
}

/// One client's connection.
pub struct Line {
    stream: Rc<TcpStream>,
    stage: Cell<Stage>,
    /// Since when it stands there.
    since: Cell<Instant>,
    /// When something last came on it.
    last: Cell<Instant>,
    /// In how many pieces the request has come so far.
    pieces: Cell<u32>,
    /// When the request counts as begun.
    begun: Cell<Instant>,
    /// Nothing is waited for after this, whatever has begun.
    ends: Cell<Option<Instant>>,
    /// An answer has gone out on it.
    served: Cell<bool>,
    /// An answer is not wholly written.
    answering: Cell<bool>,
    framing: RefCell<Framing>,
    /// What has come of a request that has no answer yet, for another process to read on from; none once it
    /// is longer than any that is taken.
    heard: RefCell<Option<Vec<u8>>>,
    close: Notify,
    /// Closes it whatever has come on it.
    drop: Notify,
    /// Another process goes on with it.
    pass: Notify,
}

impl Line {
    /// For a connection that came so long ago, or stood for so long where it stands.
    fn new(stream: Rc<TcpStream>, age: Duration, served: bool) -> Self {
        let since = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
        Line {
            stream,
            stage: Cell::new(if served { Stage::Idle { well: true } } else { Stage::Silent }),
            since: Cell::new(since),
            last: Cell::new(since),
            pieces: Cell::new(0),
            begun: Cell::new(since),
            ends: Cell::new(None),
            served: Cell::new(served),
            answering: Cell::new(false),
            framing: RefCell::default(),
            heard: RefCell::new(Some(Vec::new())),
            close: Notify::new(),
            drop: Notify::new(),
            pass: Notify::new(),
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
    }

    /// Whether nothing has come that is not read. Asks the kernel: the runtime may not have heard of it yet.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*self.stream).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether a request is under way that has no answer yet, and of which nothing is written. Empty lines between
    /// two requests are none.
    fn unanswered(&self) -> bool {
        let begun = match self.stage.get() {
            Stage::Head => self.framing.borrow().begun,
            Stage::Busy | Stage::Whole => true,
            Stage::Silent | Stage::Judged | Stage::Idle { .. } | Stage::Over => false,
        };
        begun && !self.answering.get()
    }

    fn heard(&self, bytes: &[u8]) {
        self.framing.borrow_mut().hear(bytes);
        self.last.set(Instant::now());
        self.pieces.set(self.pieces.get() + 1);
        let mut heard = self.heard.borrow_mut();
        *heard = heard.take().filter(|h| h.len() + bytes.len() <= HEARD_MOST).map(|mut h| {
            h.extend_from_slice(bytes);
            h
        });
        if let Stage::Idle { .. } = self.stage.get() {
            self.begun.set(Instant::now());
        }
        if matches!(self.stage.get(), Stage::Silent | Stage::Idle { .. }) {
            self.enter(Stage::Head);
        }
    }

    /// The answer is decided: what follows is another request.
    fn answered(&self, well: bool) {
        *self.framing.borrow_mut() = Framing::default();
        *self.heard.borrow_mut() = Some(Vec::new());
        self.pieces.set(0);
        self.answering.set(true);
        self.served.set(true);
        self.enter(Stage::Idle { well });
    }

    /// When the request that is being read must be there.
    fn request_due(&self) -> Instant {
        self.begun.get() + REQUEST_TIME
    }

    /// Whatever has not come whole by then is not waited for.
    fn end_by(&self, at: Instant) {
        self.ends.set(Some(at));
    }

    /// When it is closed for want of a request.
    fn due(&self) -> Option<Instant> {
        match self.stage.get() {
            Stage::Silent | Stage::Head | Stage::Busy if self.ends.get().is_some() => self.ends.get(),
            Stage::Silent => Some(self.since.get() + SILENT_TIME),
            Stage::Head => Some(self.request_due()),
            Stage::Busy | Stage::Whole | Stage::Judged | Stage::Idle { .. } | Stage::Over => None,
        }
    }

    /// How readily it is closed to make room: low first, None not at all. What has never handed in anything
    /// goes before a usual client's connection.
    fn use_of(&self) -> Option<u8> {
        let age = self.since.get().elapsed();
        // Of those that write: what only began, and then stopped, goes before what goes on.
        let works = self.pieces.get() > 1 && self.last.get().elapsed() < WORK_TIME;
        match self.stage.get() {
            Stage::Over => Some(0),
            Stage::Silent if age > FRESH_TIME => Some(0),
            Stage::Idle { well: false } => Some(1),
            Stage::Idle { .. } if age > IDLE_TIME => Some(2),
            // A first request that is closed on has failed; a later one could be lost.
            Stage::Head | Stage::Busy if self.served.get() => None,
            // Clients that ask once and keep their connection would shut out all that come within that time.
            Stage::Idle { .. } => Some(4),
            Stage::Head | Stage::Busy if age > FRESH_TIME => Some(if works { 5 } else { 3 }),
            _ => None,
        }
    }
}

/// What can be seen of a request's frame only in its raw bytes: hyper drops a length beside a transfer
/// coding, or a second equal one, without a word, and keeps what follows a body for the next request.
#[derive(Default)]
struct Framing {
    line: Vec<u8>,
    begun: bool,
    /// The head has ended.
    ended: bool,
    lengths: usize,
    /// Bytes since the head's end.
    behind: usize,
}

const LENGTH: &[u8] = b"content-length";

impl Framing {
    fn hear(&mut self, bytes: &[u8]) {
        for (n, byte) in bytes.iter().enumerate() {
            if self.ended {
                self.behind += bytes.len() - n;
                return;
            }
            match byte {
                b'\n' if self.line.is_empty() => self.ended = self.begun,
                b'\n' => {
                    let name = self.line.get(..LENGTH.len());
                    self.lengths += usize::from(name.is_some_and(|l| l.eq_ignore_ascii_case(LENGTH)));
                    self.line.clear();
                }
                b'\r' => {}
                _ => {
                    self.begun = true;
                    self.line.extend((self.line.len() < LENGTH.len()).then_some(*byte));
                }
            }
        }
    }

    /// Why a request with a body of this length must not be taken: its end is in doubt, and another may be
    /// hidden behind it. Clients send one at a time.
    fn fault(&self, length: Option<u64>) -> Option<(StatusCode, &'static str)> {
        match length {
            None => {
                Some((StatusCode::LENGTH_REQUIRED, "a Content-Length, and nothing else, tells the length\n"))
            }
            _ if self.lengths > 1 => Some((StatusCode::BAD_REQUEST, "more than one length\n")),
            Some(length) if self.behind as u64 > length => {
                Some((StatusCode::BAD_REQUEST, "more than the length says\n"))
            }
            Some(_) => None,
        }
    }
}

/// A client's socket, with its connection told what comes.
struct Ear {
    stream: Rc<TcpStream>,
    line: Rc<Line>,
    /// What another process has read of it already.
    ahead: Bytes,
}

impl AsyncRead for Ear {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let room = buf.remaining().min(self.ahead.len());
            let piece = self.ahead.split_to(room);
            self.line.heard(&piece);
            buf.put_slice(&piece);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    let before = buf.filled().len();
                    buf.advance(n);
                    if n > 0 {
                        self.line.heard(&buf.filled()[before..]);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Ear {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Asked once all that was to be written is.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.line.answering.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl Standing {
    pub fn new(register: Arc<Register>) -> Self {
        Standing {
            register,
            ready: Cell::default(),
            stopping: Cell::default(),
            closing: Cell::default(),
            shut: Notify::new(),
            listening: Cell::default(),
            open: RefCell::default(),
            next: Cell::default(),
            bodies: Cell::default(),
            judging: Cell::default(),
            held: Cell::default(),
            go_on: Notify::new(),
            heir: RefCell::default(),
        }
    }

    pub fn judging(&self) -> usize {
        self.judging.get()
    }

    /// Requests are read, and wait: the courier is to be handed over.
    pub fn hold(&self) {
        self.held.set(true);
    }

    /// It was not handed over.
    pub fn release(&self) {
        self.held.set(false);
        self.go_on.notify_waiters();
    }

    /// From here on all connections go to another process.
    pub fn pass_on(&self, heir: UnboundedSender<Passed>) {
        *self.heir.borrow_mut() = Some(heir);
        self.open.borrow().values().for_each(|line| line.pass.notify_one());
    }

    fn passes_on(&self) -> bool {
        self.heir.borrow().is_some()
    }

    /// Sends a connection on its way, if it stands where another process can go on with it.
    fn pass(&self, line: &Line, stream: &TcpStream) -> bool {
        let heir = self.heir.borrow();
        let (Some(heir), Some(heard)) = (heir.as_ref(), line.heard.borrow().clone()) else { return false };
        if line.stage.get() == Stage::Judged || line.answering.get() {
            return false;
        }
        let Ok(socket) = SockRef::from(stream).try_clone() else { return false };
        let age = match line.stage.get() {
            Stage::Idle { .. } => line.since.get().elapsed(),
            _ => line.begun.get().elapsed(),
        };
        let passed = Passed { descriptor: socket.into(), heard, age, served: line.served.get() };
        heir.send(passed).is_ok()
    }

    /// Readiness off; idle connections close, the others after their answer.
    pub fn stop(&self) {
        self.ready.set(false);
        self.stopping.set(true);
        self.let_go();
    }

    /// No new connections, but for those that are there already.
    pub fn shut(&self) {
        self.shut.notify_one();
    }

    /// Whoever has not handed in a whole request by now is told so, while there is time to tell it: the end of the
    /// process would cut it off without a word.
    pub fn close(&self) {
        self.closing.set(true);
        self.let_go();
    }

    /// Idle connections close, the others after their answer.
    pub fn let_go(&self) {
        self.open.borrow().values().for_each(|line| line.close.notify_one());
    }

    /// Whether clients are to go elsewhere.
    fn sends_away(&self) -> bool {
        self.stopping.get() || self.register.out_of_service()
    }

    /// Closes the connection that is of least use, if one can go. One on which something waits to be read is not
    /// closed: it may be the whole of a request.
    fn shed(&self) -> bool {
        let mut open = self.open.borrow_mut();
        // In a flood of newcomers the silent ones show in a moment, and go before what has served.
        if open.values().filter(|line| line.use_of().is_none()).count() * 4 > open.len() {
            return false;
        }
        let mut least: Vec<_> =
            open.iter().filter_map(|(id, line)| Some((line.use_of()?, line.last.get(), *id))).collect();
        let looked = least.len().min(SHED_TRIES);
        if least.len() > looked {
            least.select_nth_unstable(looked - 1);
        }
        least[..looked].sort_unstable();
        let free = |line: &Line| line.stage.get() == Stage::Over || line.quiet();
        let line =
            least[..looked].iter().find(|(.., id)| free(&open[id])).and_then(|(.., id)| open.remove(id));
        line.inspect(|line| line.drop.notify_one()).is_some()
    }
}

/// Room for one body, given back when dropped.
struct Room<'a>(&'a Standing, usize);

impl<'a> Room<'a> {
    fn take(standing: &'a Standing, bytes: usize, most: usize) -> Option<Self> {
        let after = standing.bodies.get() + bytes;
        (after <= most).then(|| {
            standing.bodies.set(after);
            Room(standing, bytes)
        })
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.0.bodies.set(self.0.bodies.get() - self.1);
    }
}

pub struct Intake {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub standing: Rc<Standing>,
    pub news: Sender<News>,
    /// Clients' connections at most.
    pub sockets: usize,
    /// Bytes of bodies in flight at most.
    pub bodies: usize,
}

impl Intake {
    /// Accepts clients until the task is dropped, or the listening socket is to close.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let this = self;
        let mut shut = false;
        this.standing.listening.set(true);
        loop {
            // Out of sockets is backpressure: the one of least use makes room, else the newcomer waits
            // outside. Each closed one lets one in at once, so that hundreds that say nothing starve nobody.
            if this.standing.open.borrow().len() >= this.sockets && !this.standing.shed() {
                sleep(Duration::from_millis(5)).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = this.standing.shut.notified(), if !shut => {
                    shut = true;
                    continue;
                }
                // Whoever was let in by the system, and not by this loop yet, would be reset with the socket.
                () = sleep(SHUT_TIME), if shut => return this.standing.listening.set(false),
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(this.clone().serve(stream, Duration::ZERO, false, Bytes::new()));
                    // A newcomer's request is read before the next may push it out.
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    say!("intake: cannot accept: {e}");
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Goes on with a connection that another process had.
    pub fn adopt(self: Rc<Self>, descriptor: OwnedFd, client: Client) -> io::Result<()> {
        let stream = std::net::TcpStream::from(descriptor);
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        tokio::task::spawn_local(self.serve(stream, client.age, client.served, client.heard.into()));
        Ok(())
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, age: Duration, served: bool, ahead: Bytes) {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        let line = Rc::new(Line::new(stream.clone(), age, served));
        let id = self.standing.next.get();
        self.standing.next.set(id + 1);
        self.standing.open.borrow_mut().insert(id, line.clone());
        let (this, of) = (self.clone(), line.clone());
        let service = service_fn(move |request| {
            let (this, line) = (this.clone(), of.clone());
            async move {
                line.enter(Stage::Busy);
                let answer = this.handle(request, &line).await;
                line.answered(!answer.status().is_client_error());
                if this.standing.passes_on() {
                    line.pass.notify_one();
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let conn = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .keep_alive(!self.standing.sends_away())
            .serve_connection(
                TokioIo::new(Ear { stream: stream.clone(), line: line.clone(), ahead }),
                service,
            );
        let (mut conn, mut late) = (pin!(conn), pin!(sleep_until(line.since.get() + SILENT_TIME)));
        let mut looks: Option<Instant> = None;
        if self.standing.passes_on() {
            line.pass.notify_one();
        }
        let parting = loop {
            tokio::select! {
                biased;
                () = line.drop.notified() => match line.stage.get() {
                    // Its request came between the choice and the close: it stays, if only for that.
                    Stage::Silent | Stage::Idle { .. } if !line.quiet() => {
                        self.standing.open.borrow_mut().insert(id, line.clone());
                    }
                    _ => break Parting::Room,
                },
                _ = conn.as_mut() => break Parting::Done,
                () = line.pass.notified() => if self.standing.pass(&line, &stream) { break Parting::Passed },
                () = line.close.notified() => match line.stage.get() {
                    // One whose next request is on its way goes after its answer, like all that are at work.
                    Stage::Idle { .. } if line.quiet() => conn.as_mut().graceful_shutdown(),
                    Stage::Silent | Stage::Head | Stage::Busy if self.standing.closing.get() => {
                        line.end_by(Instant::now());
                        late.as_mut().reset(Instant::now());
                    }
                    _ => {}
                },
                () = late.as_mut() => match line.due() {
                    // A head without an end, or nothing at all, must not hold a socket.
                    Some(due) if due <= Instant::now() => {
                        let now = Instant::now();
                        if line.quiet() || now >= *looks.get_or_insert(now + LAST_LOOK) {
                            break if self.standing.closing.get() { Parting::Closing } else { Parting::Late };
                        }
                        late.as_mut().reset(now + LOOK_STEP);
                    }
                    due => {
                        looks = None;
                        late.as_mut().reset(due.unwrap_or_else(|| Instant::now() + SILENT_TIME));
                    }
                },
            }
        };
        self.part(&line, parting).await;
        self.standing.open.borrow_mut().remove(&id);
    }

    /// Says the last word on a connection, if one is owed, and closes it so that it arrives.
    async fn part(&self, line: &Line, parting: Parting) {
        if let Some(word) = parting.word().filter(|_| line.unanswered()) {
            // Nothing else is on its way to the client, so that there is room for so little.
            let _ = line.stream.try_write(word);
        }
        line.enter(Stage::Over);
        let _ = match parting {
            Parting::Passed | Parting::Room => return,
            Parting::Done | Parting::Late | Parting::Closing => {
                SockRef::from(&*line.stream).shutdown(Shutdown::Write)
            }
        };
        let rest = async {
            let (mut bytes, mut dropped) = ([0; 4096], 0);
            while dropped < LINGER_MOST && line.stream.readable().await.is_ok() {
                match line.stream.try_read(&mut bytes) {
                    Ok(0) => break,
                    Ok(n) => dropped += n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        tokio::select! {
            () = rest => {}
            () = line.drop.notified() => {}
            () = sleep(LINGER) => {}
        }
    }

    async fn handle(&self, request: Request<Incoming>, line: &Line) -> Response<Full<Bytes>> {
        let mut answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/-/ready") => match self.standing.ready.get() && !self.standing.sends_away() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            },
            (&Method::POST, _) => self.take(request, line).await,
            _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
        };
        if self.standing.sends_away() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn take(&self, request: Request<Incoming>, line: &Line) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let length = body.size_hint().exact();
        if let Some((status, why)) = line.framing.borrow().fault(length) {
            return closing(status, why);
        }
        let length = length.unwrap_or_default();
        if length > BODY_DRAINED as u64 {
            return closing(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n");
        }
        // Many large bodies at once must not take the memory: together they have a fixed room.
        let kept = if length > BODY_MOST as u64 { 0 } else { length as usize };
        let Some(_room) = Room::take(&self.standing, kept, self.bodies) else {
            return respond(Reply::Unavailable);
        };
        // Read even if the head is at fault, so that the connection can go on.
        let mut body = pin!(read(body));
        let mut come = timeout_at(line.request_due(), &mut body).await;
        if come.is_err() && !line.quiet() {
            come = timeout(LAST_LOOK, &mut body).await;
        }
        let body = match come {
            Ok(Ok(body)) => body,
            Ok(Err(Unread::Large)) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB\n"),
            Ok(Err(Unread::Broken)) => return closing(StatusCode::BAD_REQUEST, "the body broke off\n"),
            Err(_) => return closing(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"),
        };
        // Once more: what is behind the body may have come with it.
        if let Some((status, why)) = line.framing.borrow().fault(Some(length)) {
            return closing(status, why);
        }
        let at = Instant::now();
        let (letter, [class, tenant], time_left) = match self.letter(parts.uri.path(), &parts.headers, body) {
            Ok(read) => read,
            Err(why) => return plain(StatusCode::BAD_REQUEST, why),
        };
        line.enter(Stage::Whole);
        // While a successor is being let in; most often it is there that this is read again.
        while self.standing.held.get() {
            self.standing.go_on.notified().await;
        }
        line.enter(Stage::Judged);
        let _judging = Judging::new(&self.standing);
        let (reply, answered) = Answer::new();
        let offer = Offer { letter: Rc::new(letter), class, tenant, time_left, at, reply };
        let reply = match timeout(PATIENCE, self.news.send(News::Offered(offer))).await {
            Ok(Ok(())) => answered.await.unwrap_or(Reply::Unavailable),
            _ => Reply::Unavailable,
        };
        respond(reply)
    }

    /// Reads a message from its head. An error is told to the client.
    fn letter(
        &self,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<(Letter, [usize; 2], Duration), &'static str> {
        // Two that name different messages: one reader would take the first and another the last.
        let once =
            ["X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Envelope", "Idempotency-Key"];
        for name in once {
            if headers.get_all(name).iter().nth(1).is_some() {
                return Err("a header that may come once comes twice\n");
            }
        }
        let head = |name| headers.get(name).map(|v| v.to_str().map(str::trim));
        let id = head("X-Request-ID").ok_or("no X-Request-ID\n")?.map_err(|_| "X-Request-ID is no text\n")?;
        if id.is_empty() || id.len() > ID_MOST {
            return Err("X-Request-ID is empty or too long\n");
        }
        let place = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let name = match head("X-Priority-Class") {
            Some(name) => name.map_err(|_| "X-Priority-Class is no text\n")?,
            None => place,
        };
        let class = self.classes.iter().position(|c| c == name).ok_or("no such class\n")?;
        if place != name {
            return Err("the path names another class\n");
        }
        let text = head("X-Timeout").ok_or("no X-Timeout\n")?.map_err(|_| "X-Timeout is no text\n")?;
        let time_left = span(text).ok_or("X-Timeout cannot be read\n")?;
        let text = head("Envelope").ok_or("no Envelope\n")?.map_err(|_| "Envelope is no text\n")?;
        let destination = envelope(text).ok_or("Envelope names no destination\n")?;
        let key = match head("Idempotency-Key") {
            Some(Ok(key)) if !key.is_empty() && key.len() <= ID_MOST => Some(key.to_owned()),
            Some(_) => return Err("Idempotency-Key cannot be read\n"),
            None => None,
        };
        // Victims are chosen by tenant. One that the settings do not name counts with the first.
        let tenant = head("X-Tenant-Id").and_then(Result::ok);
        let tenant = tenant.and_then(|name| self.tenants.iter().position(|t| t == name));
        let tenant_name = tenant.map_or(String::new(), |t| self.tenants[t].clone());
        let until = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + time_left;
        let (id, class_name) = (id.to_owned(), name.to_owned());
        let letter = Letter { id, class: class_name, tenant: tenant_name, destination, key, until, body };
        Ok((letter, [class, tenant.unwrap_or_default()], time_left))
    }
}

enum Unread {
    Large,
    Broken,
}

async fn read(mut body: Incoming) -> Result<Bytes, Unread> {
    let (mut kept, mut seen) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() else { continue };
        seen += data.len();
        if seen > BODY_DRAINED {
            break;
        }
        if seen <= BODY_MOST {
            kept.extend_from_slice(&data);
        } else {
            kept = Vec::new();
        }
    }
    if seen > BODY_MOST { Err(Unread::Large) } else { Ok(kept.into()) }
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = number.parse().ok()?;
    let span = match unit {
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        _ => return None,
    };
    (!span.is_zero() && span <= TIMEOUT_MOST).then_some(span)
}

/// `dest=7`, perhaps among other fields.
fn envelope(text: &str) -> Option<u64> {
    let fields = text.split([',', ';', '&', ' ']).filter_map(|f| f.trim().split_once('='));
    let mut dests = fields.filter(|(name, _)| *name == "dest").map(|(_, value)| value);
    dests.next()?.parse().ok()
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer
}

/// An answer after which the connection is of no more use.
fn closing(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    let again = |status, text, wait: Option<Duration>| {
        let mut answer = plain(status, text);
        let wait = format!("{:.3}", wait.unwrap_or(COME_AGAIN).as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&wait) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    };
    match reply {
        Reply::Taken => plain(StatusCode::ACCEPTED, ""),
        Reply::Refused { wait } => again(StatusCode::TOO_MANY_REQUESTS, "refused\n", wait),
        Reply::Unavailable => again(StatusCode::SERVICE_UNAVAILABLE, "not now\n", None),
        Reply::NoDestination => plain(StatusCode::NOT_FOUND, "no such destination\n"),
        Reply::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::Durability;

    #[test]
    fn time_outs_have_a_number_and_a_unit() {
        assert_eq!(span("480m"), Some(Duration::from_millis(480)));
        assert_eq!(span("1500u"), Some(Duration::from_micros(1500)));
        for bad in
            ["", "m", "480", "0m", "-1m", "+1m", "1.5m", "4s", "é", "99999999999999999999m", "86400001m"]
        {
            assert_eq!(span(bad), None, "{bad}");
        }
    }

    #[test]
    fn frames_that_could_hide_a_request_are_seen() {
        let framing = |text: &str, size| {
            let mut framing = Framing::default();
            text.as_bytes().chunks(size).for_each(|piece| framing.hear(piece));
            framing
        };
        for size in [1, 7, 1000] {
            let good = framing("\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nContent: x\r\n\r\nabc", size);
            assert_eq!((good.lengths, good.behind), (1, 3));
            assert!(
                good.fault(Some(3)).is_none() && good.fault(Some(2)).is_some() && good.fault(None).is_some()
            );
            let two = framing("POST / HTTP/1.1\ncontent-length: 3\nCONTENT-LENGTH: 3\n\nabc", size);
            assert!(two.fault(Some(3)).is_some());
        }
    }

    #[tokio::test]
    async fn room_is_not_made_by_closing_on_a_request_that_has_come() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let standing = Standing::new(Register::new(std::path::Path::new(""), Durability::Process));
        let mut clients = Vec::new();
        // Two that rest; the first one has rested for longer.
        for (id, age) in [(1, 60), (2, 30)] {
            clients.push(TcpStream::connect(at).await.expect("a connection"));
            let (stream, _) = listener.accept().await.expect("accepted");
            let line = Line::new(Rc::new(stream), Duration::from_secs(age), true);
            standing.open.borrow_mut().insert(id, Rc::new(line));
        }
        clients[0].try_write(b"POST").expect("written");
        let first = standing.open.borrow()[&1].clone();
        while first.quiet() {
            sleep(Duration::from_millis(1)).await;
        }
        assert!(standing.shed() && standing.open.borrow().keys().eq([&1]), "the one that is quiet has gone");
        assert!(!standing.shed(), "nobody else can go");
    }

    #[test]
    fn a_message_is_counted_for_its_tenant() {
        let (news, _inbox) = tokio::sync::mpsc::channel(1);
        let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
        let (classes, tenants) = (names(&["notice"]), names(&["acme", "zenith"]));
        let register = Register::new(std::path::Path::new(""), Durability::Process);
        let standing = Rc::new(Standing::new(register));
        let intake = Intake { classes, tenants, standing, news, sockets: 1, bodies: 1 };
        let read = |tenants: &[&'static str]| {
            let mut headers = HeaderMap::new();
            for (name, value) in [("X-Request-ID", "m"), ("X-Timeout", "480m"), ("Envelope", "dest=7")] {
                headers.insert(name, HeaderValue::from_static(value));
            }
            for tenant in tenants {
                headers.append("X-Tenant-Id", HeaderValue::from_static(tenant));
            }
            intake.letter("/notice", &headers, Bytes::new()).map(|(l, [_, tenant], _)| (l.tenant, tenant))
        };
        assert_eq!(read(&["zenith"]), Ok(("zenith".to_owned(), 1)));
        assert_eq!(read(&["acme"]), Ok(("acme".to_owned(), 0)));
        assert_eq!(read(&["unheard-of"]), Ok((String::new(), 0)));
        assert_eq!(read(&[]), Ok((String::new(), 0)));
        assert!(read(&["acme", "zenith"]).is_err(), "two that name different tenants");
    }

    #[test]
    fn envelopes_name_a_destination() {
        assert_eq!(envelope("dest=7"), Some(7));
        assert_eq!(envelope("a=1, dest=12"), Some(12));
        for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "test=7", "dest=99999999999999999999999"] {
            assert_eq!(envelope(bad), None, "{bad}");
        }
    }
}
