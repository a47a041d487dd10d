//! Clients and the front that deals them out: messages come when they were drawn to come, whatever becomes of
//! those before.

use super::Late;
use super::link::{Link, Wire};
use crate::draw::{self, Arrival, World};
use crate::event::{Effect, Recorder, What};
use crate::experiment::{self, Experiment};
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Frame;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

type Body = BoxBody<Bytes, Infallible>;

/// How often the front asks whether a courier takes clients, and for how long an answer is waited for.
const ASK: Duration = Duration::from_millis(100);
const ASK_STARTING: Duration = Duration::from_millis(10);
const ASK_PATIENCE: Duration = Duration::from_secs(1);
/// After a no, new connections go on coming for so long.
const AFTER_NO: Duration = Duration::from_millis(200);
/// An improper peer is owed an error or a close within this time; it is watched a little longer.
const RUDE_WATCHED: Duration = Duration::from_millis(3500);

/// What clients and the platform know of the messages that were handed in: whether their end is owed.
#[derive(Default)]
pub struct Owed {
    open: Mutex<HashMap<String, Open>>,
    /// Messages whose end is owed.
    taken: AtomicUsize,
    clients: OnceLock<std::sync::Weak<Clients>>,
}

struct Open {
    message: usize,
    courier: usize,
    tries: u32,
    taken: bool,
    /// When it first began to run anywhere.
    ran: Option<Instant>,
}

impl Owed {
    fn offered(&self, id: &str, message: usize, courier: usize, tries: u32) {
        let open = Open { message, courier, tries, taken: false, ran: None };
        self.open.lock().expect("open").insert(id.to_owned(), open);
    }

    fn taken(&self, id: &str) {
        if let Some(open) = self.open.lock().expect("open").get_mut(id) {
            open.taken = true;
            self.taken.fetch_add(1, SeqCst);
        }
    }

    fn over(&self, id: &str) -> Option<Open> {
        let open = self.open.lock().expect("open").remove(id)?;
        self.taken.fetch_sub(usize::from(open.taken), SeqCst);
        Some(open)
    }

    /// An endpoint carries it out.
    pub fn ran(&self, id: &str) {
        if let Some(open) = self.open.lock().expect("open").get_mut(id) {
            open.ran.get_or_insert_with(Instant::now);
        }
    }

    /// An endpoint has answered 200.
    pub fn delivered(&self, id: &str) {
        self.over(id);
    }

    /// The platform has read a notice; a message that bounced is handed in again by its client.
    pub fn noticed(&self, id: &str, result: &str, wait_ms: Option<u64>) {
        let Some(open) = self.over(id).filter(|_| result == "bounced") else { return };
        if let Some(clients) = self.clients.get().and_then(std::sync::Weak::upgrade) {
            let wait = wait_ms.map(Duration::from_millis);
            tokio::spawn(async move { clients.again(open, wait).await });
        }
    }

    /// What a courier held is lost with its machine: nothing more is owed of it.
    pub fn lost(&self, courier: usize) {
        let mut open = self.open.lock().expect("open");
        let gone = open.extract_if(|_, o| o.courier == courier).filter(|(_, o)| o.taken).count();
        self.taken.fetch_sub(gone, SeqCst);
    }

    /// How many messages are owed their end.
    pub fn count(&self) -> usize {
        self.taken.load(SeqCst)
    }
}

/// One courier, as clients and the front see it.
pub struct Side {
    pub address: SocketAddr,
    pub link: Arc<Link>,
    /// The front deals connections to it.
    dealt: AtomicBool,
    /// Its agent has told the front that it is being restarted.
    pub leaving: AtomicBool,
    /// It has answered yes since its last start.
    pub ready: AtomicBool,
    /// Its present process, as the agent numbers them.
    pub life: AtomicU32,
    /// The life whose yes is on record.
    noted: AtomicU32,
    idle: Mutex<Vec<Connection>>,
}

impl Side {
    pub fn new(address: SocketAddr) -> Self {
        Side {
            address,
            link: Arc::default(),
            dealt: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            life: AtomicU32::new(0),
            noted: AtomicU32::new(0),
            idle: Mutex::default(),
        }
    }
}

struct Connection {
    send: SendRequest<Body>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(side: &Side, recorder: &Recorder) -> std::io::Result<Connection> {
    let (wire, _): (Wire, _) = side.link.connect(side.address, recorder).await?;
    let (send, connection) = handshake(TokioIo::new(wire)).await.map_err(std::io::Error::other)?;
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { send, task })
}

pub struct Clients {
    pub sides: Vec<Arc<Side>>,
    arrivals: Vec<Arrival>,
    rude: Vec<(u64, u64)>,
    /// By destination.
    tenants: Vec<usize>,
    classes: Vec<experiment::Class>,
    effects: Vec<Effect>,
    tenant_names: Vec<String>,
    habits: experiment::Clients,
    recorder: Recorder,
    late: Arc<Late>,
    owed: Arc<Owed>,
    seed: u64,
    /// Microseconds on record at which the load began.
    began: AtomicU64,
    /// Messages that a client still means to hand in.
    busy: AtomicUsize,
}

/// What became of a message that was handed in.
enum Fate {
    Taken,
    Refused(Option<Duration>),
    /// No answer, or nobody there; it may have been read.
    Lost {
        read: bool,
    },
    Failed,
}

impl Clients {
    pub fn new(
        e: &Experiment,
        world: &World,
        sides: Vec<Arc<Side>>,
        recorder: Recorder,
        late: Arc<Late>,
        owed: Arc<Owed>,
    ) -> Arc<Self> {
        let clients = Arc::new(Clients {
            sides,
            arrivals: world.arrivals.clone(),
            rude: world.rude.clone(),
            tenants: world.destinations.iter().map(|d| d.tenant).collect(),
            classes: e.class.clone(),
            effects: world.terms(e).classes.iter().map(|c| c.effect).collect(),
            tenant_names: e.tenant.iter().map(|t| t.name.clone()).collect(),
            habits: e.clients.clone(),
            recorder,
            late,
            owed: owed.clone(),
            seed: world.seed,
            began: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
        });
        let _ = owed.clients.set(Arc::downgrade(&clients));
        clients
    }

    /// The front's look at each courier.
    pub fn watch(self: &Arc<Self>) {
        for courier in 0..self.sides.len() {
            tokio::spawn(self.clone().ask(courier));
        }
    }

    async fn ask(self: Arc<Self>, courier: usize) {
        let side = &self.sides[courier];
        let mut luck = draw::generator(self.seed, &format!("front {courier}"));
        let mut kept = None;
        // When it stopped to be there, or to say yes, and until when the front goes on to it all the same.
        let mut until: Option<Instant> = None;
        loop {
            let life = side.life.load(SeqCst);
            let status = match timeout(ASK_PATIENCE, self.ready(side, &mut kept)).await {
                Ok(status) => status,
                Err(_) => {
                    kept = None;
                    None
                }
            };
            let leaving = side.leaving.load(SeqCst);
            let yes = status == Some(200) && !leaving;
            side.ready.store(yes, SeqCst);
            if yes {
                until = None;
                side.dealt.store(true, SeqCst);
                if life > 0 && side.noted.swap(life, SeqCst) != life {
                    self.recorder.note(What::Ready { courier, life });
                }
            } else {
                let lag = match status {
                    Some(_) => AFTER_NO,
                    None => Duration::from_secs_f64(draw::between(&mut luck, self.habits.front_lag)),
                };
                let until = *until.get_or_insert_with(|| Instant::now() + lag);
                if leaving || until <= Instant::now() {
                    side.dealt.store(false, SeqCst);
                }
            }
            sleep(if yes { ASK } else { ASK_STARTING }).await;
        }
    }

    async fn ready(&self, side: &Side, kept: &mut Option<Connection>) -> Option<u16> {
        if kept.as_ref().is_none_or(|c| c.send.is_closed()) {
            *kept = Some(connect(side, &self.recorder).await.ok()?);
        }
        let connection = kept.as_mut()?;
        let request = Request::get("/-/ready").header(header::HOST, "service.internal");
        let request = request.body(Empty::new().boxed()).ok()?;
        let answer = match connection.send.send_request(request).await {
            Ok(answer) => answer,
            Err(_) => {
                *kept = None;
                return None;
            }
        };
        let status = answer.status().as_u16();
        let _ = answer.into_body().collect().await;
        Some(status)
    }

    /// Plays the load; returns once the last message has been handed in for the first time.
    pub async fn play(self: &Arc<Self>) {
        let began = self.recorder.now();
        self.began.store(began, SeqCst);
        let this = self.clone();
        tokio::spawn(async move { this.play_rude().await });
        for (message, arrival) in self.arrivals.iter().enumerate() {
            let due = Instant::from_std(self.recorder.instant(began + arrival.at));
            if due > Instant::now() {
                sleep_until(due).await;
            }
            self.late.arrivals(due);
            self.recorder.note(What::Wanted { message, class: arrival.class });
            self.busy.fetch_add(1, SeqCst);
            let this = self.clone();
            tokio::spawn(async move {
                this.hand_in(message, 0).await;
                this.busy.fetch_sub(1, SeqCst);
            });
        }
    }

    /// Whether nobody means to hand in anything any more.
    pub fn done(&self) -> bool {
        self.busy.load(SeqCst) == 0
    }

    /// A client comes again after a notice that its message bounced; with a keyed one that may have taken
    /// effect only while its key is known.
    async fn again(self: Arc<Self>, open: Open, wait: Option<Duration>) {
        let Open { message, tries, ran, .. } = open;
        let tries = tries + 1;
        let effect = self.effects[self.arrivals[message].class];
        let late = |ttl: f64| {
            ran.is_some_and(|at| at.elapsed() + wait.unwrap_or_default() > Duration::from_secs_f64(ttl))
        };
        if tries > self.habits.again || matches!(effect, Effect::ByKey { ttl, .. } if late(ttl)) {
            return;
        }
        self.busy.fetch_add(1, SeqCst);
        let mut luck = ChaCha8Rng::seed_from_u64(self.arrivals[message].luck ^ u64::from(tries));
        let usual = || Duration::from_secs_f64(draw::between(&mut luck, self.habits.again_after));
        sleep(wait.unwrap_or_else(usual)).await;
        self.hand_in(message, tries).await;
        self.busy.fetch_sub(1, SeqCst);
    }

    /// Hands a message in until it is taken, or not worth it any more.
    async fn hand_in(&self, message: usize, mut tries: u32) {
        let arrival = &self.arrivals[message];
        let mut luck = ChaCha8Rng::seed_from_u64(arrival.luck.wrapping_add(u64::from(tries)));
        let given_up =
            self.began.load(SeqCst) + arrival.at + draw::micros(self.classes[arrival.class].deadline);
        let mut hidden = None;
        for go in 0u64.. {
            let Some(left) = given_up.checked_sub(self.recorder.now()).filter(|l| *l > 1000) else { return };
            // Unique to this time, and drawn: the same in every run that comes to it.
            let id =
                arrival.luck.wrapping_add((u64::from(tries) << 8 | go).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let id = format!("{id:016x}");
            let courier = self.deal(&mut luck);
            match self.offer(message, &id, courier, left, tries, hidden, &mut luck).await {
                Fate::Taken | Fate::Failed => return,
                Fate::Refused(wait) => {
                    tries += 1;
                    if tries > self.habits.again {
                        return;
                    }
                    let usual = Duration::from_secs_f64(draw::between(&mut luck, self.habits.again_after));
                    sleep(wait.unwrap_or(usual)).await;
                    hidden = hidden.or(Some("1"));
                }
                Fate::Lost { read } => {
                    if read && self.effects[arrival.class] == Effect::Once {
                        return;
                    }
                    sleep(Duration::from_secs_f64(draw::between(&mut luck, self.habits.lost_after))).await;
                    hidden = Some("again");
                }
            }
        }
    }

    /// The courier to which the front deals the next connection.
    fn deal(&self, luck: &mut ChaCha8Rng) -> usize {
        let dealt: Vec<_> = (0..self.sides.len()).filter(|n| self.sides[*n].dealt.load(SeqCst)).collect();
        match dealt.len() {
            0 => luck.random_range(0..self.sides.len()),
            n => dealt[luck.random_range(0..n)],
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn offer(
        &self,
        message: usize,
        id: &str,
        courier: usize,
        left: u64,
        tries: u32,
        retried: Option<&str>,
        luck: &mut ChaCha8Rng,
    ) -> Fate {
        let (side, arrival) = (&self.sides[courier], &self.arrivals[message]);
        let (slow, hasty) =
            (luck.random::<f64>() < self.habits.slow, luck.random::<f64>() < self.habits.hasty);
        let patience = self.habits.patience * if hasty { 0.1 } else { 1.0 };
        let patience = Duration::from_secs_f64(patience);
        let body = body(arrival);
        let keyed = matches!(self.effects[arrival.class], Effect::ByKey { .. });
        let key = keyed.then(|| format!("{:016x}{message:016x}", arrival.luck));
        let offered = What::Offered {
            id: id.to_owned(),
            message,
            courier,
            class: arrival.class,
            tenant: self.tenants[arrival.destination],
            destination: arrival.destination,
            left,
            body: super::endpoint::digest(&body),
            key: key.clone(),
        };
        self.owed.offered(id, message, courier, tries);
        let mut offered = Some(offered);
        // One that writes slowly has a connection of its own.
        let idle = if slow { None } else { side.idle.lock().expect("idle").pop() };
        let mut kept = idle.filter(|c| !c.send.is_closed());
        // A kept connection may be closed just as it is used: then once more on a new one.
        loop {
            let reused = kept.is_some();
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match timeout(patience, connect(side, &self.recorder)).await {
                    Ok(Ok(connection)) => connection,
                    _ => {
                        self.owed.over(id);
                        return Fate::Lost { read: false };
                    }
                },
            };
            let class = &self.classes[arrival.class].name;
            let mut head = Request::post(format!("/{class}"))
                .header(header::HOST, "service.internal")
                .header("x-request-id", id)
                .header("x-priority-class", class)
                .header("x-tenant-id", &self.tenant_names[self.tenants[arrival.destination]])
                .header("x-timeout", format!("{left}u"))
                .header("envelope", format!("dest={}", arrival.destination))
                .header(header::CONTENT_LENGTH, body.len());
            if let Some(key) = &key {
                head = head.header("idempotency-key", key);
            }
            if let Some(retried) = retried {
                head = head.header("x-retried", retried);
            }
            let request = match (slow, offered.take()) {
                (true, Some(offered)) => {
                    let (mut to, channel) = Channel::<Bytes, Infallible>::new(1);
                    let (half, rest) = (body.slice(..body.len() / 2), body.slice(body.len() / 2..));
                    let (pause, recorder) = (self.habits.slow_for, self.recorder.clone());
                    tokio::spawn(async move {
                        let _ = to.send(Frame::data(half)).await;
                        sleep(Duration::from_secs_f64(pause)).await;
                        // It is handed in with its last byte.
                        recorder.note(offered);
                        let _ = to.send(Frame::data(rest)).await;
                    });
                    head.body(channel.boxed())
                }
                (_, offered) => {
                    offered.into_iter().for_each(|offered| self.recorder.note(offered));
                    head.body(Full::new(body.clone()).boxed())
                }
            };
            let Ok(request) = request else { return Fate::Failed };
            let asked = async {
                let answer = connection.send.send_request(request).await?;
                let told = told(&answer);
                answer.into_body().collect().await?;
                Ok::<_, hyper::Error>(told)
            };
            let whole = patience + Duration::from_secs_f64(if slow { self.habits.slow_for } else { 0.0 });
            return match timeout(whole, asked).await {
                Ok(Ok((status, again))) => {
                    if !connection.send.is_closed() {
                        side.idle.lock().expect("idle").push(connection);
                    }
                    self.answered(id, courier, status, again)
                }
                Ok(Err(_)) if reused => continue,
                Ok(Err(_)) => {
                    self.owed.over(id);
                    self.recorder.note(What::Unanswered { id: id.to_owned(), courier, first: !reused });
                    Fate::Lost { read: true }
                }
                Err(_) => {
                    self.owed.over(id);
                    self.recorder.note(What::GivenUp { id: id.to_owned(), courier });
                    Fate::Lost { read: true }
                }
            };
        }
    }

    fn answered(&self, id: &str, courier: usize, status: u16, again: Option<Duration>) -> Fate {
        let again_ms = again.map(|a| a.as_millis() as u64);
        self.recorder.note(What::Answered { id: id.to_owned(), courier, status, again_ms });
        match status {
            200 | 202 => {
                self.owed.taken(id);
                Fate::Taken
            }
            429 | 503 => {
                self.owed.over(id);
                Fate::Refused(again)
            }
            _ => {
                self.owed.over(id);
                Fate::Failed
            }
        }
    }

    async fn play_rude(self: Arc<Self>) {
        for (at, luck) in &self.rude {
            let due = self.recorder.instant(self.began.load(SeqCst) + at);
            sleep_until(Instant::from_std(due)).await;
            let mut luck = ChaCha8Rng::seed_from_u64(*luck);
            let courier = luck.random_range(0..self.sides.len());
            // Only of one that is there can anything be expected.
            if self.sides[courier].ready.load(SeqCst) {
                let (kind, text) = &RUDE[luck.random_range(0..RUDE.len())];
                tokio::spawn(self.clone().be_rude(courier, kind, text));
            }
        }
    }

    async fn be_rude(self: Arc<Self>, courier: usize, kind: &'static str, text: &'static str) {
        let side = &self.sides[courier];
        let from = Instant::now();
        let Ok((mut wire, _)) = side.link.connect(side.address, &self.recorder).await else { return };
        let _ = wire.write_all(text.as_bytes()).await;
        let mut answer = [0; 12];
        let read = timeout(RUDE_WATCHED, wire.read_exact(&mut answer)).await;
        let status = std::str::from_utf8(&answer[9..]).ok().and_then(|s| s.parse().ok());
        let (ended, took) = (read.is_ok(), from.elapsed().as_micros() as u64);
        self.recorder.note(What::Rude { courier, kind: kind.to_owned(), took, status, ended });
    }
}

/// What improper peers send.
const RUDE: &[(&str, &str)] = &[
    ("nothing", ""),
    ("no request", "\x16\x03\x01 what is this\r\n\r\n"),
    ("half a head", "POST /update-notices HTTP/1.1\r\nHost: s"),
    (
        "no class",
        "POST /no-such-class HTTP/1.1\r\nHost: s\r\nX-Request-ID: rude\r\nContent-Length: 0\r\n\r\n",
    ),
    ("no id", "POST /update-notices HTTP/1.1\r\nHost: s\r\nX-Timeout: 400m\r\nContent-Length: 0\r\n\r\n"),
    ("no such path", "GET /admin HTTP/1.1\r\nHost: s\r\n\r\n"),
    ("a body that breaks off", "POST /update-notices HTTP/1.1\r\nHost: s\r\nContent-Length: 90\r\n\r\nabc"),
];

/// The status of an answer, and when it says to come again.
fn told<B>(answer: &Response<B>) -> (u16, Option<Duration>) {
    let again = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    let again = again.and_then(|s| Duration::try_from_secs_f64(s).ok());
    (answer.status().as_u16(), again)
}

/// Any bytes; the same for a message each time.
fn body(arrival: &Arrival) -> Bytes {
    let mut bytes = vec![0; arrival.body];
    ChaCha8Rng::seed_from_u64(arrival.luck).fill(&mut bytes[..]);
    bytes.into()
}
