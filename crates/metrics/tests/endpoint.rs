//! The metrics endpoint, and the limits on its clients.

#[path = "common/text_format.rs"]
mod text_format;

use lanegate_metrics::{Exposition, Metric, MetricsEndpoint, ProcessIdentity};
use std::cell::Cell;
use std::future::{Future, ready};
use std::net::{SocketAddr, TcpListener as BlockingListener};
use std::rc::Rc;
use std::time::Duration;
use text_format::ParsedMetrics;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, timeout};

const SCRAPES: Metric = Metric::counter("lanegate_test_scrapes_total", "How often this was asked for");
const SCRAPE_REQUEST: &str = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
/// Time limit of a test; only failing tests reach it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let guarded = async { timeout(TEST_TIMEOUT, test).await.expect("the test hangs") };
    runtime.block_on(LocalSet::new().run_until(guarded));
}

fn identity() -> ProcessIdentity {
    ProcessIdentity::starting("router", "1.2.3")
}

/// An endpoint that counts its scrapes.
fn start() -> (SocketAddr, Rc<Cell<u64>>) {
    let endpoint = MetricsEndpoint::bind(identity(), "127.0.0.1:0".parse().unwrap());
    let address = endpoint.local_address().unwrap();
    let scrapes = Rc::new(Cell::new(0));
    let counted = scrapes.clone();
    spawn_local(endpoint.serve(move || {
        counted.set(counted.get() + 1);
        let mut exposition = Exposition::default();
        exposition.set(&SCRAPES, counted.get());
        ready(Some(exposition))
    }));
    (address, scrapes)
}

/// Sends one request on a new connection and returns the answer.
async fn send_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").unwrap().1
}

/// Advances the clock by `time` in steps, running the tasks in between.
async fn pass_time(time: Duration) {
    tokio::time::pause();
    let end = Instant::now() + time;
    while Instant::now() < end {
        tokio::time::advance(Duration::from_millis(100)).await;
        for _ in 0..20 {
            yield_now().await;
        }
    }
    tokio::time::resume();
}

#[test]
fn scrape_returns_role_and_process_metrics() {
    run_local(async {
        let (address, _) = start();
        let answer = send_request(address, SCRAPE_REQUEST).await;
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.contains("content-type: text/plain; version=0.0.4; charset=utf-8\r\n"), "{answer}");
        let metrics = ParsedMetrics::parse(body(&answer));
        assert_eq!(metrics.value("lanegate_test_scrapes_total", &[]), 1.0);
        let build = [("version", "1.2.3"), ("role", "router")];
        assert_eq!(metrics.value("lanegate_build_info", &build), 1.0);
        assert!(metrics.value("lanegate_process_start_time_seconds", &[]) > 1.6e9);
    });
}

#[test]
fn other_paths_and_methods_are_rejected() {
    run_local(async {
        let (address, scrapes) = start();
        assert!(
            send_request(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.starts_with("HTTP/1.1 404 ")
        );
        assert!(
            send_request(address, "POST /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
                .await
                .starts_with("HTTP/1.1 405 ")
        );
        assert_eq!(scrapes.get(), 0);
    });
}

#[test]
fn unavailable_metrics_are_answered_503() {
    run_local(async {
        let endpoint = MetricsEndpoint::bind(identity(), "127.0.0.1:0".parse().unwrap());
        let address = endpoint.local_address().unwrap();
        spawn_local(endpoint.serve(|| ready(None)));
        assert!(send_request(address, SCRAPE_REQUEST).await.starts_with("HTTP/1.1 503 "));
    });
}

#[test]
fn occupied_port_does_not_end_the_process() {
    run_local(async {
        let taken = BlockingListener::bind("127.0.0.1:0").unwrap();
        let endpoint = MetricsEndpoint::bind(identity(), taken.local_addr().unwrap());
        assert_eq!(endpoint.local_address(), None);
        endpoint.serve(|| ready(Some(Exposition::default()))).await;
    });
}

#[test]
fn stalled_request_is_disconnected() {
    run_local(async {
        let (address, scrapes) = start();
        let mut stalled = TcpStream::connect(address).await.unwrap();
        stalled.write_all(b"GET /metrics HT").await.unwrap();
        send_request(address, SCRAPE_REQUEST).await;
        pass_time(Duration::from_millis(2_500)).await;
        assert_eq!(stalled.read(&mut [0; 1]).await.unwrap_or(0), 0);
        assert_eq!(scrapes.get(), 1);
    });
}

#[test]
fn silent_client_is_disconnected() {
    run_local(async {
        let (address, _) = start();
        let mut silent = TcpStream::connect(address).await.unwrap();
        send_request(address, SCRAPE_REQUEST).await;
        pass_time(Duration::from_millis(9_000)).await;
        assert_eq!(silent.read(&mut [0; 1]).await.unwrap_or(0), 0);
    });
}

#[test]
fn excess_clients_wait_until_others_are_disconnected() {
    run_local(async {
        let (address, scrapes) = start();
        let mut silent = Vec::new();
        for _ in 0..4 {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        let waiting = spawn_local(send_request(address, SCRAPE_REQUEST));
        pass_time(Duration::from_millis(7_000)).await;
        assert_eq!(scrapes.get(), 0);
        pass_time(Duration::from_millis(2_000)).await;
        assert!(waiting.await.unwrap().starts_with("HTTP/1.1 200 OK\r\n"));
    });
}

#[test]
fn client_that_never_reads_is_disconnected() {
    run_local(async {
        let endpoint = MetricsEndpoint::bind(identity(), "127.0.0.1:0".parse().unwrap());
        let address = endpoint.local_address().unwrap();
        let asked = Rc::new(Cell::new(0_u64));
        let counted = asked.clone();
        spawn_local(endpoint.serve(move || {
            counted.set(counted.get() + 1);
            let mut exposition = Exposition::default();
            let long = "x".repeat(1 << 20);
            exposition.set_labelled(&SCRAPES, &[("kind", &long)], 1_u64);
            ready(Some(exposition))
        }));
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(SCRAPE_REQUEST.repeat(50).as_bytes()).await.unwrap();
        pass_time(Duration::from_millis(1_000)).await;
        let answered = asked.get();
        assert!(answered < 20, "{answered} answers are buffered for a client that reads none");
        pass_time(Duration::from_millis(9_000)).await;
        assert!(asked.get() <= answered + 1);
        let mut taken = Vec::new();
        let _ = client.read_to_end(&mut taken).await;
        assert!(taken.len() < 20 << 20, "{} bytes", taken.len());
    });
}
