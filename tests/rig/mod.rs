//! Runs the courier's binary against fakes on loopback sockets: a client, endpoints, discovery and the
//! platform, each on port 0. Tests wait for conditions, with a time limit that is reached only on failure.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const LIMIT: Duration = Duration::from_secs(60);
pub const MS: Duration = Duration::from_millis(1);

/// Waits until a condition holds; panics after `LIMIT`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "condition not met within {LIMIT:?}: {what}");
        thread::sleep(5 * MS);
    }
}

/// Waits until a condition holds or the time is over; returns whether it holds.
pub fn holds_within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(5 * MS);
    }
    true
}

/// A request or response as read from the wire.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut page = HttpMessage::default();
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        page.first = line.trim_end().to_owned();
        loop {
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            page.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let length = page.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        page.body = vec![0; length];
        from.read_exact(&mut page.body).ok()?;
        Some(page)
    }
}

/// What a fake endpoint does with a call.
pub enum Reply {
    Answer(&'static str),
    AnswerAndClose(&'static str),
    /// Answers after the given delay.
    Late(Duration, &'static str),
    Hang,
    Disconnect,
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub id: String,
    pub page: HttpMessage,
    pub at: Instant,
    pub connection: usize,
}

pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<ReceivedCall>>>,
    /// Connections accepted.
    pub connections: Arc<AtomicUsize>,
}

impl Endpoint {
    /// `act` is called with the number of the call, from 0.
    pub fn new(act: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Self {
        Self::with(move |call, _| act(call))
    }

    /// `act` is called with the number of the connection.
    pub fn by_connection(act: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Self {
        Self::with(move |_, connection| act(connection))
    }

    fn with(act: impl Fn(usize, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = Endpoint::at(&listener);
        endpoint.serve(listener, act);
        endpoint
    }

    /// Creates an endpoint that does not accept connections yet.
    pub fn at(listener: &TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        Endpoint { address, seen: Arc::default(), connections: Arc::default() }
    }

    pub fn serve(&self, listener: TcpListener, act: impl Fn(usize, usize) -> Reply + Send + Sync + 'static) {
        let (act, all, connections) = (Arc::new(act), self.seen.clone(), self.connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (act, all) = (act.clone(), all.clone());
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || serve(stream, connection, &*act, &all));
            }
        });
    }

    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.seen.lock().expect("calls").clone()
    }

    pub fn ids(&self) -> Vec<String> {
        self.calls().into_iter().map(|s| s.id).collect()
    }
}

fn serve(
    stream: TcpStream,
    connection: usize,
    act: &dyn Fn(usize, usize) -> Reply,
    all: &Mutex<Vec<ReceivedCall>>,
) {
    let mut out = stream.try_clone().expect("a handle");
    let mut from = BufReader::new(stream);
    while let Some(page) = HttpMessage::read(&mut from) {
        let id = page.header("x-request-id").unwrap_or_default().to_owned();
        let n = {
            let mut all = all.lock().expect("calls");
            all.push(ReceivedCall { id, page, at: Instant::now(), connection });
            all.len() - 1
        };
        let sent = match act(n, connection) {
            Reply::Answer(text) => out.write_all(text.as_bytes()),
            Reply::AnswerAndClose(text) => {
                let _ = out.write_all(text.as_bytes());
                return;
            }
            Reply::Late(time, text) => {
                thread::sleep(time);
                out.write_all(text.as_bytes())
            }
            Reply::Hang => {
                let _ = from.read(&mut [0]);
                return;
            }
            Reply::Disconnect => return,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Fake of both discovery and the platform.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The lines sent on a watch, in order; the first is a complete list.
    pub lines: Arc<Mutex<Vec<Value>>>,
    pub notices: Arc<Mutex<Vec<Value>>>,
    pub watches: Arc<AtomicUsize>,
    /// The request line of each watch.
    pub asked: Arc<Mutex<Vec<String>>>,
    /// Watches with a lower number are disconnected.
    pub cut: Arc<AtomicUsize>,
    /// Number of posts still to be answered with 503.
    pub refuse_posts: Arc<AtomicUsize>,
    pub posts: Arc<AtomicUsize>,
    /// Posts with more than one notice are answered 400.
    pub reject_batches: Arc<AtomicBool>,
    /// Watches with a lower number send nothing after their first line, and stay open.
    pub silent_watches: Arc<AtomicUsize>,
    /// Watches with a lower number get half of the data after their first line; then they end or fall silent.
    pub partial_watches: Arc<AtomicUsize>,
    pub partial_then_silent: Arc<AtomicBool>,
    /// Lists are sent as indented JSON, over several lines.
    pub indented: Arc<AtomicBool>,
    /// The bytes with which the next watches are answered, before any that is answered in order.
    pub raw_watches: Arc<Mutex<VecDeque<String>>>,
    /// The bytes with which the next posts are answered, before any that is answered in order.
    pub raw_posts: Arc<Mutex<VecDeque<String>>>,
}

impl Discovery {
    pub fn new(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let this = Discovery {
            address: listener.local_addr().expect("an address"),
            lines: Arc::new(Mutex::new(vec![list])),
            notices: Arc::default(),
            watches: Arc::default(),
            asked: Arc::default(),
            cut: Arc::default(),
            refuse_posts: Arc::default(),
            posts: Arc::default(),
            reject_batches: Arc::default(),
            silent_watches: Arc::default(),
            partial_watches: Arc::default(),
            partial_then_silent: Arc::default(),
            indented: Arc::default(),
            raw_watches: Arc::default(),
            raw_posts: Arc::default(),
        };
        let own = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        this
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a handle");
        let mut from = BufReader::new(stream);
        while let Some(page) = HttpMessage::read(&mut from) {
            if page.first.starts_with("GET /api/targets?stream=1") {
                self.asked.lock().expect("asked").push(page.first.clone());
                return self.watch(&mut out);
            }
            let none = self
                .refuse_posts
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_err();
            self.posts.fetch_add(1, Ordering::SeqCst);
            if let Some(raw) = self.raw_posts.lock().expect("raw posts").pop_front() {
                let _ = out.write_all(raw.as_bytes());
                return;
            }
            if none
                && self.reject_batches.load(Ordering::SeqCst)
                && page.body.split(|b| *b == b'\n').count() > 2
            {
                let _ = write!(out, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if none {
                let text = String::from_utf8_lossy(&page.body).into_owned();
                let lines = text.lines().map(|l| serde_json::from_str(l).expect("a notice"));
                self.notices.lock().expect("notices").extend(lines);
            }
            let status = if none { "204 No Content" } else { "503 Service Unavailable" };
            let _ = write!(out, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        }
    }

    fn watch(&self, out: &mut TcpStream) {
        let number = self.watches.fetch_add(1, Ordering::SeqCst);
        if let Some(raw) = self.raw_watches.lock().expect("raw watches").pop_front() {
            let _ = out.write_all(raw.as_bytes());
            // The courier closes the connection of a watch that it does not follow.
            let _ = out.set_read_timeout(Some(LIMIT));
            let _ = out.read(&mut [0]);
            return;
        }
        let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (mut sent, mut beat) = (0, Instant::now());
        while self.cut.load(Ordering::SeqCst) <= number {
            let lines = self.lines.lock().expect("lines").clone();
            let indented = self.indented.load(Ordering::SeqCst);
            let form = |l: &Value| if indented { format!("{l:#}\n") } else { format!("{l}\n") };
            let mut text: String = lines[sent.min(lines.len())..].iter().map(form).collect();
            if sent > 0 && number < self.partial_watches.load(Ordering::SeqCst) && !text.is_empty() {
                let half = &text[..text.len() / 2];
                let _ = write!(out, "{:x}\r\n{half}\r\n", half.len());
                if self.partial_then_silent.load(Ordering::SeqCst) {
                    thread::sleep(LIMIT);
                }
                return;
            }
            let silent = sent > 0 && number < self.silent_watches.load(Ordering::SeqCst);
            if silent {
                thread::sleep(5 * MS);
                continue;
            }
            sent = lines.len();
            if text.is_empty() && beat.elapsed() > 1000 * MS {
                text = "\n".to_owned();
            }
            if !text.is_empty() {
                beat = Instant::now();
                if write!(out, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                    return;
                }
            }
            thread::sleep(5 * MS);
        }
    }

    pub fn push_line(&self, line: Value) {
        self.lines.lock().expect("lines").push(line);
    }

    pub fn results(&self, id: &str) -> Vec<String> {
        let notices = self.notices.lock().expect("notices");
        let of = notices.iter().filter(|n| n["ref"] == id);
        of.map(|n| n["result"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// One endpoint of destination 7, and discovery that lists it.
pub fn one_endpoint(act: impl Fn(usize) -> Reply + Send + Sync + 'static) -> (Folder, Endpoint, Discovery) {
    let endpoint = Endpoint::new(act);
    let discovery = Discovery::new(list(1, true, vec![host("s-1", &endpoint, 7, "ready")]));
    (Folder::new(), endpoint, discovery)
}

/// A socket with a backlog of one connection: further ones are established only once it accepts and the kernel
/// retransmits the SYN.
fn full() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("listens");
    socket.into()
}

/// An endpoint of destination 7 whose connections are not established before it is served, and discovery that
/// lists it.
pub struct Unconnected {
    pub listener: TcpListener,
    pub endpoint: Endpoint,
    pub discovery: Discovery,
    /// Its connect timeout is longer than any test takes.
    pub config: Value,
    /// The connection that fills the backlog; it has to stay open.
    pub queued: TcpStream,
}

impl Unconnected {
    pub fn new() -> Self {
        let listener = full();
        let endpoint = Endpoint::at(&listener);
        let queued = TcpStream::connect(endpoint.address).expect("the one that its queue holds");
        let known = list(1, true, vec![host("s-1", &endpoint, 7, "ready")]);
        let discovery = Discovery::new(known.clone());
        let mut config = config(&discovery, known);
        config["settings"]["limits"]["connect-timeout-ns"] = json!(30_000_000_000u64);
        Unconnected { listener, endpoint, discovery, config, queued }
    }
}

pub fn host(name: &str, endpoint: &Endpoint, block: u64, health: &str) -> Value {
    json!({"host": name, "dial": endpoint.address.to_string(), "site": "a", "class": "shops", "block": block,
        "health": health, "share": 50.0, "born_ms": 0})
}

pub fn list(seq: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

pub fn settings() -> Value {
    serde_json::from_str(include_str!("../settings.json")).expect("settings")
}

/// A temporary folder for one test, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("courier-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(path.join("state")).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running courier process; killed on drop.
pub struct Courier {
    pub address: SocketAddr,
    /// The operators' address, if one is configured.
    pub admin: Option<SocketAddr>,
    child: Child,
    log: Receiver<String>,
    /// The lines that `has_logged` has read.
    logged: RefCell<Vec<String>>,
}

pub fn command(folder: &Folder, discovery: &Discovery, config: &Value) -> Command {
    let path = folder.0.join("config.json");
    fs::write(&path, config.to_string()).expect("a config");
    let mut command = Command::new(env!("CARGO_BIN_EXE_courier"));
    command
        .env("LB_NAME", "n1")
        .env("LB_LISTEN", "127.0.0.1:0")
        .env("LB_DISCOVERY", discovery.address.to_string())
        .env("LB_STATE", folder.0.join("state"))
        .env("LB_CONFIG", path)
        .stdin(Stdio::null())
        .stderr(Stdio::piped());
    command
}

/// A command whose courier inherits the clients' listening socket as descriptor 7, as the platform does it.
pub fn inheriting(folder: &Folder, discovery: &Discovery, config: &Value, listener: &TcpListener) -> Command {
    let plain = command(folder, discovery, config);
    let mut inheriting = Command::new("sh");
    inheriting.args(["-c", "exec 7<&0 0</dev/null; exec \"$0\""]).arg(plain.get_program());
    inheriting.envs(plain.get_envs().filter_map(|(name, value)| Some((name, value?))));
    let socket = OwnedFd::from(listener.try_clone().expect("a handle"));
    inheriting.env("LB_LISTEN_FD", "7").env("LB_ADMIN_ADDR", "127.0.0.1:0");
    inheriting.stdin(socket).stderr(Stdio::piped());
    inheriting
}

pub fn config(discovery: &Discovery, known: Value) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": known, "settings": settings()})
}

impl Courier {
    /// Starts a courier configured with discovery's current list, and waits until it is ready.
    pub fn start(folder: &Folder, discovery: &Discovery) -> Self {
        let known = discovery.lines.lock().expect("lines")[0].clone();
        Self::with(folder, discovery, &config(discovery, known))
    }

    pub fn with(folder: &Folder, discovery: &Discovery, config: &Value) -> Self {
        Self::spawn(&mut command(folder, discovery, config))
    }

    /// Starts a courier and waits until it is ready.
    pub fn spawn(command: &mut Command) -> Self {
        let courier = Self::launch(command);
        wait_until("ready", || courier.get("/-/ready").is_some_and(|page| page.status() == 200));
        courier
    }

    /// Starts a courier and waits until it listens, ready or not.
    pub fn launch(command: &mut Command) -> Self {
        let mut child = command.spawn().expect("the courier starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let (tell, lines) = channel();
        thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| {
                // The receiver may have been dropped.
                let _ = tell.send(line);
            })
        });
        let mut admin = None;
        let address = loop {
            let line = lines.recv_timeout(LIMIT).expect("it tells where it serves");
            let after =
                |words| line.split(words).nth(1).and_then(|l: &str| l.split(';').next()?.parse().ok());
            admin = admin.or(after("called at "));
            if let Some(address) = after("serves ") {
                break address;
            }
        };
        Courier { address, admin, child, log: lines, logged: RefCell::default() }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Suspends the process, as on a busy machine: all input until `resume` reaches it at the same moment.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("it stands still", || {
            let stat = fs::read_to_string(&stat).expect("its state");
            stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
        });
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for a line of its log.
    pub fn wait_for_log(&self, words: &str) {
        let end = Instant::now() + LIMIT;
        while let Ok(line) = self.log.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if line.contains(words) {
                return;
            }
        }
        panic!("log line not seen within {LIMIT:?}: {words}");
    }

    /// Whether a line of its log so far has these words. Lines that `wait_for_log` has read are gone.
    pub fn has_logged(&self, words: &str) -> bool {
        let mut logged = self.logged.borrow_mut();
        logged.extend(self.log.try_iter());
        logged.iter().any(|line| line.contains(words))
    }

    /// Replaces the configuration file and sends SIGHUP to reload it.
    pub fn reload(&self, folder: &Folder, text: &str) {
        fs::write(folder.0.join("config.next"), text).expect("a config");
        fs::rename(folder.0.join("config.next"), folder.0.join("config.json")).expect("in its place");
        self.signal("-HUP");
    }

    pub fn kill(mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("gone");
    }

    pub fn exit(&mut self) -> i32 {
        let mut code = None;
        wait_until("the end of the process", || {
            code = self.child.try_wait().expect("a status");
            code.is_some()
        });
        code.and_then(|c| c.code()).unwrap_or(-1)
    }

    pub fn get(&self, path: &str) -> Option<HttpMessage> {
        raw(self.address, format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
    }

    /// Calls the operators' address and returns the status.
    pub fn operate(&self, method: &str, path: &str) -> u16 {
        let call = format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        raw(self.admin.expect("an operators' address"), call.as_bytes()).map_or(0, |page| page.status())
    }

    /// Submits a message and returns the response.
    pub fn submit(&self, id: &str, class: &str, dest: u64, time_ms: u64) -> HttpMessage {
        raw(self.address, message(id, class, dest, time_ms).as_bytes()).expect("an answer")
    }

    pub fn submit_accepted(&self, id: &str, class: &str, dest: u64, time_ms: u64) {
        assert_eq!(self.submit(id, class, dest, time_ms).status(), 202, "{id}");
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn message(id: &str, class: &str, dest: u64, time_ms: u64) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: 5\r\n\
         Envelope: dest={dest}\r\n\r\nbo\0dy"
    )
}

/// Sends bytes on a new connection and returns the response, if there is one.
pub fn raw(to: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    stream.write_all(bytes).ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}
