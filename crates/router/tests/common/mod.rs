//! A router on real sockets with an in-process configuration feed, and clients and endpoints whose bytes the test writes
//! directly.
#![allow(dead_code, reason = "each file of tests uses a part")]

use lanegate_config::configuration::Configuration;
use lanegate_config::demand::DemandReport;
use lanegate_config::feed::FeedEvent;
use lanegate_config::instance::Instance;
use lanegate_config::settings::Settings;
use lanegate_metrics::{MetricsEndpoint, ProcessIdentity};
use lanegate_router::fault::RouterFault;
use lanegate_router::process::run::Sockets;
use lanegate_router::run_with_fault;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// Time-out of a test, including the time by which the clock is advanced; only failing tests reach it.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Runs a test on a single-threaded runtime.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") };
    runtime.block_on(LocalSet::new().run_until(limited));
}

/// Advances the clock by `time`; nothing else may be in progress.
pub(crate) async fn advance_time(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

pub(crate) struct Router {
    pub address: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub feed: UnboundedSender<FeedEvent>,
    pub demand: UnboundedReceiver<DemandReport>,
    stop: Option<oneshot::Sender<()>>,
    running: JoinHandle<()>,
}

/// Two services, `plain` and `engine`, and a route of each kind.
pub(crate) const CONFIGURATION: &str = r#"{
    "Version": 1,
    "Routes": [
        {"Name": "once", "Hostname": "a.example", "PathPrefix": "/once/", "RouteType": "non_idempotent",
         "TimeoutMs": 20000, "TargetMs": 5000, "Backend": "plain", "MaxAttempts": 3},
        {"Name": "again", "Hostname": "a.example", "PathPrefix": "/again/", "RouteType": "idempotent",
         "TimeoutMs": 20000, "TargetMs": 5000, "Backend": "plain", "MaxAttempts": 3},
        {"Name": "deeper", "Hostname": "a.example", "PathPrefix": "/again/deeper/", "RouteType": "idempotent",
         "TimeoutMs": 20000, "TargetMs": 5000, "Backend": "other", "MaxAttempts": 3},
        {"Name": "stream", "Hostname": "a.example", "PathPrefix": "/stream/", "RouteType": "streaming",
         "TimeoutMs": 20000, "TargetMs": 5000, "Backend": "plain", "MaxAttempts": 3},
        {"Name": "resumable", "Hostname": "a.example", "PathPrefix": "/resumable/", "RouteType": "streaming",
         "TimeoutMs": 20000, "TargetMs": 5000, "Backend": "plain", "MaxAttempts": 3, "Resumable": true}
    ],
    "Backends": [{"Name": "plain", "MaxConns": 50}, {"Name": "other", "MaxConns": 50}],
    "Limits": {"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}"#;

impl Router {
    /// A router without any feed event.
    pub(crate) async fn start() -> Router {
        Router::start_with(None).await
    }

    /// Like [`Router::start`], with a deliberate fault.
    async fn start_with(fault: Option<RouterFault>) -> Router {
        let frontend = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let readiness = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (feed, feed_end) = mpsc::unbounded_channel();
        let (demand_end, demand) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let identity = ProcessIdentity::starting("router", "test");
        let metrics = MetricsEndpoint::bind(identity, "127.0.0.1:0".parse().unwrap());
        let metrics_address = metrics.local_address().unwrap();
        let address = frontend.local_addr().unwrap();
        let readiness_address = readiness.local_addr().unwrap();
        let sockets = Sockets { frontend, readiness: Some(readiness), metrics: Some(metrics) };
        let running = spawn_local(async move {
            let stopped = async { stopped.await.unwrap_or_default() };
            run_with_fault(fault, sockets, settings(), feed_end, demand_end, stopped).await;
        });
        Router {
            address,
            readiness: readiness_address,
            metrics: metrics_address,
            feed,
            demand,
            stop: Some(stop),
            running,
        }
    }

    /// A router with the configuration and these endpoints of the service `plain`.
    pub(crate) async fn serving(endpoints: &[&Endpoint]) -> Router {
        Router::serving_with(None, endpoints).await
    }

    /// Like [`Router::serving`], with a deliberate fault.
    pub(crate) async fn serving_with(fault: Option<RouterFault>, endpoints: &[&Endpoint]) -> Router {
        let router = Router::start_with(fault).await;
        router.configure(CONFIGURATION);
        endpoints.iter().for_each(|endpoint| router.send_event(endpoint.registration("plain")));
        router.send_event(FeedEvent::Routers { live: 1 });
        router.send_event(FeedEvent::Synchronized);
        router
    }

    pub(crate) fn configure(&self, json: &str) {
        let configuration: Configuration = serde_json::from_str(json).unwrap();
        self.send_event(FeedEvent::Configuration(Arc::new(configuration)));
    }

    pub(crate) fn send_event(&self, event: FeedEvent) {
        self.feed.send(event).unwrap();
    }

    pub(crate) async fn client(&self) -> Client {
        Client { stream: TcpStream::connect(self.address).await.unwrap(), unread: Vec::new() }
    }

    /// The current metrics, in the exposition format.
    pub(crate) async fn scrape(&self) -> String {
        let mut stream = TcpStream::connect(self.metrics).await.unwrap();
        let request = b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        answer.split_once("\r\n\r\n").unwrap().1.to_string()
    }

    /// The status of the readiness check.
    pub(crate) async fn readiness(&self) -> u16 {
        let stream = TcpStream::connect(self.readiness).await.unwrap();
        let mut client = Client { stream, unread: Vec::new() };
        client.write("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n").await;
        client.answer().await.status
    }

    /// Begins the shutdown, as SIGTERM does.
    pub(crate) fn terminate(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    pub(crate) async fn ended(self) {
        self.running.await.unwrap();
    }
}

fn settings() -> Settings {
    serde_json::from_str(
        r#"{"NodeName": "edge-1", "Ip": "127.0.0.1", "Zone": "z1", "Zones": {"z1": "r"}, "PortRange": [1, 2],
            "Bounds": {"GraceS": 8, "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 58}}"#,
    )
    .unwrap()
}

/// An endpoint whose answers the test writes.
pub(crate) struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Endpoint {
    pub(crate) async fn start(id: &str) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Endpoint { id: id.into(), address: listener.local_addr().unwrap(), listener }
    }

    pub(crate) fn registration(&self, backend: &str) -> FeedEvent {
        self.registration_as(backend, "ready")
    }

    pub(crate) fn registration_as(&self, backend: &str, state: &str) -> FeedEvent {
        let instance: Instance = serde_json::from_value(serde_json::json!({
            "Id": self.id, "Backend": backend, "Address": self.address, "Zone": "z1", "Capacity": 8,
            "State": state, "Sequence": 1,
        }))
        .unwrap();
        FeedEvent::Instance(instance)
    }

    /// The next connection of the router.
    pub(crate) async fn accept(&self) -> Upstream {
        Upstream { stream: self.listener.accept().await.unwrap().0, unread: Vec::new() }
    }

    /// Whether the router has opened a connection that was not accepted yet.
    pub(crate) async fn has_connection(&self) -> bool {
        timeout(Duration::ZERO, self.listener.accept()).await.is_ok()
    }

    /// The first request on the next connection of the router.
    pub(crate) async fn request(&self) -> (Upstream, Message) {
        let mut upstream = self.accept().await;
        let request = upstream.request().await;
        (upstream, request)
    }
}

/// The next request that one of two endpoints gets on a new connection.
pub(crate) async fn first_request(endpoints: &[Endpoint; 2]) -> (Upstream, Message) {
    tokio::select! { got = endpoints[0].request() => got, got = endpoints[1].request() => got }
}

pub(crate) async fn two_endpoints() -> [Endpoint; 2] {
    [Endpoint::start("i-1").await, Endpoint::start("i-2").await]
}

/// A request or an answer, as it was read.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status of an answer, 0 for requests.
    pub status: u16,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

/// A connection of the router to an endpoint.
pub(crate) struct Upstream {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Upstream {
    pub(crate) async fn request(&mut self) -> Message {
        read_message(&mut self.stream, &mut self.unread).await.expect("a request")
    }

    pub(crate) async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Writes bytes; the router may have closed the connection.
    pub(crate) async fn write_if_open(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Ends the sending side of the connection.
    pub(crate) async fn shut_down(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// The next request; `None` if the router closes the connection first.
    pub(crate) async fn next_request(&mut self) -> Option<Message> {
        read_message(&mut self.stream, &mut self.unread).await
    }

    /// Answers 200 with a signature.
    pub(crate) async fn answer(&mut self, request: &Message, body: &str) {
        self.write(answer_to(request, "200 OK", body)).await;
    }

    /// Writes the head of a stream of events.
    pub(crate) async fn begin_events(&mut self, request: &Message) {
        let id = request.header("Attempt-Id").unwrap();
        self.write(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ))
        .await;
    }

    pub(crate) async fn chunk(&mut self, data: &str) {
        self.write(format!("{:x}\r\n{data}\r\n", data.len())).await;
    }

    pub(crate) async fn end_chunks(&mut self) {
        self.write("0\r\n\r\n").await;
    }

    /// Waits until the router has closed the connection.
    pub(crate) async fn closed(self) {
        self.rest().await;
    }

    /// All bytes until the router closes the connection in any way.
    pub(crate) async fn rest(mut self) -> Vec<u8> {
        let mut rest = std::mem::take(&mut self.unread);
        while matches!(self.stream.read_buf(&mut rest).await, Ok(read) if read > 0) {}
        rest
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

/// An answer with a signature and without a length: it ends with its connection.
pub(crate) fn answer_without_length(request: &Message, kind: &str, body: &str) -> String {
    let id = request.header("Attempt-Id").unwrap();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s1\r\nContent-Type: {kind}\r\n\r\n{body}"
    )
}

/// Yields to the other tasks often enough for them to process what has arrived.
pub(crate) async fn run_ready_tasks() {
    for _ in 0..200 {
        tokio::task::yield_now().await;
    }
}

/// A complete answer with a signature, as an endpoint sends it.
pub(crate) fn answer_to(request: &Message, status: &str, body: &str) -> String {
    let id = request.header("Attempt-Id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Signature: s1\r\nKeep-Alive: timeout=5\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) struct Client {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    pub(crate) async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Sends a request without a body.
    pub(crate) async fn get(&mut self, path: &str, id: &str) {
        self.write(format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\r\n")).await;
    }

    /// The next complete answer.
    pub(crate) async fn answer(&mut self) -> Message {
        read_message(&mut self.stream, &mut self.unread).await.expect("a complete answer")
    }

    /// Reads until `end` has arrived; nothing may follow it.
    pub(crate) async fn read_through(&mut self, end: &str) -> String {
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if let Some(place) = text.find(end) {
                assert_eq!(place + end.len(), text.len(), "more bytes than expected: {text}");
                self.unread.clear();
                return text;
            }
            assert_ne!(
                self.stream.read_buf(&mut self.unread).await.unwrap(),
                0,
                "the connection ended early: {text}"
            );
        }
    }

    /// All bytes until the connection ends in any way.
    pub(crate) async fn rest(mut self) -> String {
        self.rest_so_far().await
    }

    /// Like [`Client::rest`], and keeps the client.
    pub(crate) async fn rest_so_far(&mut self) -> String {
        while matches!(self.stream.read_buf(&mut self.unread).await, Ok(read) if read > 0) {}
        String::from_utf8_lossy(&self.unread).into_owned()
    }
}

/// Whether the text is a complete answer with a status of success, by its own framing.
pub(crate) fn is_complete_success(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
    };
    let is_complete = match (field("Transfer-Encoding"), field("Content-Length")) {
        (Some(_), _) => body.ends_with("0\r\n\r\n"),
        (None, Some(length)) => length.parse() == Ok(body.len()),
        (None, None) => true,
    };
    head.starts_with("HTTP/1.1 2") && is_complete
}

/// The body of a complete answer, without the lines around chunks.
pub(crate) fn body_of(text: &str) -> String {
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    if !head.to_ascii_lowercase().contains("transfer-encoding") {
        return body.into();
    }
    body.split("\r\n").skip(1).step_by(2).collect()
}

async fn read_message(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Message> {
    let head_end = loop {
        if let Some(place) = find(unread, b"\r\n\r\n") {
            break place;
        }
        fill(stream, unread).await?;
    };
    let head = String::from_utf8(unread.drain(..head_end + 4).collect()).unwrap();
    let mut lines = head.trim_end().split("\r\n");
    let first_line = lines.next().unwrap().to_string();
    let headers: Vec<(String, String)> = lines
        .map(|line| line.split_once(':').unwrap())
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let status = match first_line.strip_prefix("HTTP/1.1 ") {
        Some(rest) => rest[..3].parse().unwrap(),
        None => 0,
    };
    let mut message = Message { first_line, headers, body: Vec::new(), status };
    if message.header("Transfer-Encoding").is_some() {
        message.body = read_chunks(stream, unread).await?;
        return Some(message);
    }
    let length: usize = message.header("Content-Length").map_or(0, |length| length.parse().unwrap());
    while unread.len() < length {
        fill(stream, unread).await?;
    }
    message.body = unread.drain(..length).collect();
    Some(message)
}

async fn read_chunks(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            if let Some(place) = find(unread, b"\r\n") {
                break place;
            }
            fill(stream, unread).await?;
        };
        let line: Vec<u8> = unread.drain(..line_end + 2).collect();
        let length = usize::from_str_radix(std::str::from_utf8(&line).unwrap().trim(), 16).unwrap();
        while unread.len() < length + 2 {
            fill(stream, unread).await?;
        }
        body.extend(unread.drain(..length));
        unread.drain(..2);
        if length == 0 {
            return Some(body);
        }
    }
}

async fn fill(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<()> {
    let read = stream.read_buf(unread).await.ok()?;
    (read > 0).then_some(())
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}
