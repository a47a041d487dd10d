//! The bytes that a router writes to endpoints, clients and the platform, compared with the files of `tests/golden`.
//! Numbers that depend on the time are written as `N`.
//!
//! `UPDATE_GOLDEN=1` rewrites the files, for changes that intentionally alter these bytes.

mod common;

use common::{CONFIGURATION, Client, Endpoint, Router, Upstream, advance_time, run_ready_tasks, run_test};
use lanegate_config::feed::FeedEvent;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Compares what a router wrote with a file of `tests/golden`.
fn assert_golden(name: &str, actual: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let actual = actual.replace('\r', "\\r");
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, &actual).expect("a golden file");
    }
    let expected = std::fs::read_to_string(&path).expect("a golden file");
    assert_eq!(actual, expected, "{name}");
}

/// The text with the number after a header's name replaced by `N`.
fn without_number(text: &str, header: &str) -> String {
    let Some((before, after)) = text.split_once(header) else { return text.to_owned() };
    let rest = after.trim_start_matches(|letter: char| letter.is_ascii_digit() || letter == '.');
    assert_ne!(rest.len(), after.len(), "no number after {header}");
    format!("{before}{header}N{rest}")
}

/// The bytes of a stream up to and including `end`.
async fn read_through(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    while !text.ends_with(end) {
        text.push(stream.read_u8().await.expect("more bytes") as char);
    }
    text
}

/// The request that the router writes, up to `end`.
async fn request_text(upstream: &mut Upstream, end: &str) -> String {
    without_number(&read_through(&mut upstream.stream, end).await, "deadline-ms: ")
}

/// The head of the answer that a client gets.
async fn answer_head(client: &mut Client) -> String {
    read_through(&mut client.stream, "\r\n\r\n").await
}

/// The head of the answer to a request on a new connection.
async fn answer_to(router: &Router, request: &str) -> String {
    let mut client = router.client().await;
    client.write(request).await;
    answer_head(&mut client).await
}

fn get(path: &str, deadline_ms: u32) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: {deadline_ms}\r\n\r\n")
}

#[test]
fn a_request_with_a_body_and_its_answer() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /again/x/../%2e?a=1 HTTP/1.1\r\nHost: A.Example:8080\r\nAttempt-Id: 7f\r\nDeadline-Ms: 4000\r\n\
                 X-Own: one\r\nX-Own: two\r\nTE: trailers\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\
                 Model: m1\r\nToken-Usage: 10,5\r\nPrompt-Prefix: 5c1e:8\r\nTransfer-Encoding: chunked\r\n\r\n\
                 5\r\nhello\r\n0\r\n\r\n",
            )
            .await;
        let mut upstream = endpoint.accept().await;
        assert_golden("request_with_body.txt", &request_text(&mut upstream, "hello").await);
        upstream
            .write(
                "HTTP/1.1 201 Created\r\nAttempt-Id: 7f\r\nServer-Signature: s1\r\nInstance-Id: i-1\r\n\
                 Instance-Load: 1,0,8\r\nKeep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Own: one\r\n\
                 Content-Length: 4\r\n\r\ndone",
            )
            .await;
        assert_golden("answer_passed_on.txt", &read_through(&mut client.stream, "done").await);
    });
}

#[test]
fn a_request_to_an_engine() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[]).await;
        let runtime = r#""Runtime": {"Capacity": 8, "KvCacheTokens": 90000, "WeightsMb": 100000, "MaxAdapters": 2,
            "LoadsPerS": 1, "Models": [{"Name": "m1", "WeightsMb": 70000, "LoadTimeS": 1, "Adapters": 2,
            "AdapterSizeMb": 10}]}"#;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("{\"Name\": \"plain\",", &format!("{{\"Name\": \"plain\", {runtime},")),
        );
        let instance = serde_json::json!({
            "Id": endpoint.id, "Backend": "plain", "Address": endpoint.address, "Zone": "z1", "Capacity": 8,
            "State": "ready", "Sequence": 1, "Models": [{"Name": "m1", "Version": 1, "Adapters": ["a1"]}],
        });
        router.send_event(FeedEvent::Instance(serde_json::from_value(instance).expect("an instance")));
        let mut client = router.client().await;
        client
            .write(
                "GET /again/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nModel: m1/a1\r\n\
                 Token-Usage: 1460,80\r\nPrompt-Prefix: 5c1e:800,91bd:410\r\nPriority: 9\r\n\r\n",
            )
            .await;
        let mut upstream = endpoint.accept().await;
        assert_golden("request_to_engine.txt", &request_text(&mut upstream, "\r\n\r\n").await);
    });
}

#[test]
fn a_stream_that_is_resumed_elsewhere() {
    run_test(async {
        let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
        let router = Router::serving(&[&endpoints[0]]).await;
        let mut client = router.client().await;
        client.get("/resumable/a", "1").await;
        let (mut upstream, request) = endpoints[0].request().await;
        router.send_event(endpoints[1].registration("plain"));
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\ndata: a\n\n").await;
        let mut answer = read_through(&mut client.stream, "data: a\n\n\r\n").await;
        drop(upstream);
        let mut upstream = endpoints[1].accept().await;
        assert_golden("request_resumed.txt", &request_text(&mut upstream, "\r\n\r\n").await);
        upstream.begin_events(&request).await;
        upstream.chunk("id: 2\ndata: b\n\n").await;
        upstream.end_chunks().await;
        answer += &read_through(&mut client.stream, "0\r\n\r\n").await;
        assert_golden("answer_stream.txt", &answer);
    });
}

#[test]
fn rejections_and_refusals() {
    run_test(async {
        let unconfigured = Router::start().await;
        assert_golden("refused_unconfigured.txt", &answer_to(&unconfigured, &get("/once/a", 20)).await);

        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        assert_golden("rejected_unrouted.txt", &answer_to(&router, &get("/unknown/a", 100)).await);
        let no_host = "GET /once/a HTTP/1.1\r\nAttempt-Id: 1\r\n\r\n";
        assert_golden("rejected_without_host.txt", &answer_to(&router, no_host).await);
        let long = "POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1001\r\n\r\n";
        assert_golden("rejected_body_too_long.txt", &answer_to(&router, long).await);
        let long = format!("GET /once/a HTTP/1.1\r\nHost: a.example\r\nX: {}\r\n\r\n", "x".repeat(4_096));
        assert_golden("rejected_head_too_long.txt", &answer_to(&router, &long).await);
        assert_golden("rejected_unreadable.txt", &answer_to(&router, "no request\r\n\r\n").await);
        let refused = answer_to(&router, &get("/once/a", 40)).await;
        assert_golden("refused_no_endpoint.txt", &without_number(&refused, "retry-after: "));

        router.send_event(FeedEvent::Behind { behind: true });
        run_ready_tasks().await;
        assert_golden("refused_behind.txt", &answer_to(&router, &get("/unknown/a", 100)).await);
    });
}

#[test]
fn failures_after_a_send() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.write(get("/once/a", 200)).await;
        let upstream = endpoint.request().await;
        assert_golden("failed_deadline.txt", &answer_head(&mut client).await);
        drop(upstream);
        client.write(get("/once/a", 2_000)).await;
        drop(endpoint.request().await);
        assert_golden("failed_may_have_run.txt", &answer_head(&mut client).await);
    });
}

#[test]
fn answers_of_a_router_that_drains() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = Router::serving(&[&endpoint]).await;
        let mut served = router.client().await;
        served.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let mut refused = router.client().await;
        refused.write(get("/stream/a", 5_000)).await;
        let (mut stream, stream_request) = endpoint.request().await;
        router.terminate();
        run_ready_tasks().await;
        upstream.answer(&request, "whole").await;
        assert_golden("answer_while_draining.txt", &read_through(&mut served.stream, "whole").await);
        let rejection = format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: true\r\nRetry-After: 1\r\n\
             Content-Length: 0\r\n\r\n",
            stream_request.header("Attempt-Id").expect("an id")
        );
        stream.write(rejection).await;
        let refusal = answer_head(&mut refused).await;
        assert_golden("refused_draining.txt", &without_number(&refusal, "retry-after: "));
        drop((upstream, stream));
        advance_time(Duration::from_millis(8_000)).await;
        router.ended().await;
    });
}

#[test]
fn answers_to_the_platform() {
    run_test(async {
        let router = Router::start().await;
        assert_golden("not_ready.txt", &readiness(&router, "GET /readyz").await);
        assert_golden("readiness_unknown_path.txt", &readiness(&router, "GET /other").await);
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        assert_golden("ready.txt", &readiness(&router, "GET /readyz").await);
    });
}

async fn readiness(router: &Router, line: &str) -> String {
    let mut stream = TcpStream::connect(router.readiness).await.expect("a connection");
    stream.write_all(format!("{line} HTTP/1.1\r\nHost: r\r\n\r\n").as_bytes()).await.expect("a request");
    read_through(&mut stream, "\r\n\r\n").await
}

/// Names, help texts, types and labels of all metrics, without the values.
#[test]
fn names_of_metrics() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut stream = TcpStream::connect(router.metrics).await.expect("a connection");
        let request = b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.expect("a request");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
        let names = body.lines().filter(|line| !line.contains("_info{")).map(|line| {
            if line.starts_with('#') { line } else { line.rsplit_once(' ').map_or(line, |(name, _)| name) }
        });
        assert_golden("metrics.txt", &names.map(|line| format!("{line}\n")).collect::<String>());
    });
}
