//! Answers that do not say without doubt where they end, or are no answers, never look complete to a client.

#[path = "../../http-framing/tests/common/answers.rs"]
#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
mod answers;
mod common;
#[path = "../../metrics/tests/common/text_format.rs"]
#[allow(unreachable_pub, reason = "the file is shared with the tests of another crate")]
mod text_format;

use answers::{AnswerInOrder, BODIES_IN_ORDER, BODY, BROKEN, BROKEN_ONCE_CLOSED, BrokenAnswer, IN_ORDER};
use common::{
    CONFIGURATION, Endpoint, Message, Router, Upstream, answer_to, body_of, first_request,
    is_complete_success, run_ready_tasks, run_test, two_endpoints,
};
use std::time::Duration;
use text_format::ParsedMetrics;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time of a request whose answer may never be complete, ms.
const DEADLINE_MS: u32 = 250;
/// How long a test waits to see that something does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);
/// Number of answers that are tried at a time, in all variants.
const CONCURRENT_ANSWERS: usize = 6;
const INVALID_ANSWERS: &str = "lanegate_router_invalid_answers_total";

/// What is done with an endpoint's connection around an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connection {
    /// The answer is the first one; the connection stays open.
    New,
    /// The answer is the first one, and the endpoint closes the connection after it.
    Closed,
    /// The connection has carried another request; it stays open.
    Reused,
    /// The connection has carried another request, which is answered once more ahead of this answer.
    AfterLateAnswer,
}

const CONNECTIONS: [Connection; 4] =
    [Connection::New, Connection::Closed, Connection::Reused, Connection::AfterLateAnswer];
const PATHS: [&str; 3] = ["/once/a", "/stream/a", "/resumable/a"];

fn fields(id: &str) -> String {
    format!("Attempt-Id: {id}\r\nServer-Signature: s1\r\n")
}

fn event_fields(id: &str) -> String {
    format!("{}Content-Type: text/event-stream\r\n", fields(id))
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Connection: close\r\n\r\n"
    )
}

/// A router with one endpoint that has got the request with id 2 and not answered it.
struct Exchange {
    router: Router,
    endpoint: Endpoint,
    upstream: Upstream,
    client: common::Client,
}

impl Exchange {
    async fn begin(path: &str, connection: Connection) -> Exchange {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut earlier = None;
        if matches!(connection, Connection::Reused | Connection::AfterLateAnswer) {
            let mut client = router.client().await;
            client.get(path, "1").await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.answer(&request, "first").await;
            assert_eq!(client.answer().await.text(), "first");
            earlier = Some((upstream, request));
        }
        let mut client = router.client().await;
        client.write(request(path, "2")).await;
        let upstream = match earlier {
            None => endpoint.request().await.0,
            Some((mut upstream, first)) => {
                assert_eq!(upstream.request().await.header("Attempt-Id"), Some("2"));
                if connection == Connection::AfterLateAnswer {
                    upstream.answer(&first, "late").await;
                }
                upstream
            }
        };
        Exchange { router, endpoint, upstream, client }
    }

    /// Everything that the client receives if the endpoint answers with `bytes`.
    async fn answer(&mut self, bytes: &str, connection: Connection) -> String {
        self.upstream.write(bytes).await;
        if connection == Connection::Closed {
            self.upstream.shut_down().await;
        }
        self.client.rest_so_far().await
    }
}

/// How many answers of endpoint `i-1` were refused for `reason`, or for any if that is empty.
async fn invalid_answers(router: &Router, reason: &str) -> f64 {
    let metrics = ParsedMetrics::parse(&router.scrape().await);
    let samples = metrics.0.get(INVALID_ANSWERS).map(|family| &family.samples[..]).unwrap_or_default();
    let named = samples.iter().filter(|(labels, _)| labels["endpoint"].starts_with("i-"));
    named.filter(|(labels, _)| reason.is_empty() || labels["reason"] == reason).map(|(_, value)| value).sum()
}

/// What is wrong with how the router treats a broken answer that arrives at once; empty if nothing is.
async fn faults_with(
    answer: &'static BrokenAnswer,
    path: &'static str,
    connection: Connection,
) -> Vec<String> {
    let mut exchange = Exchange::begin(path, connection).await;
    let fields = if path == "/once/a" { fields("2") } else { event_fields("2") };
    let received = exchange.answer(&answer.with_fields(&fields), connection).await;
    run_ready_tasks().await;
    let mut faults = Vec::new();
    let mut add = |fault: String| faults.push(format!("{answer:?} {path} {connection:?}: {fault}"));
    // A resumable request may be sent again until its time is over.
    let expected = if path == "/resumable/a" { "HTTP/1.1 50" } else { "HTTP/1.1 502 " };
    if !received.starts_with(expected) || received.to_ascii_lowercase().contains("server-signature") {
        add(format!("its client received {received:?}"));
    }
    if path != "/resumable/a" && exchange.endpoint.has_connection().await {
        add("the request was sent again".into());
    }
    if invalid_answers(&exchange.router, answer.reason).await < 1.0 {
        add(format!("the metric does not name {}", answer.reason));
    }
    if timeout(OBSERVATION_TIME, exchange.upstream.closed()).await.is_err() {
        add("the connection stays open".into());
    }
    faults
}

#[test]
fn a_broken_answer_becomes_a_failure_and_its_request_is_not_repeated() {
    run_test(async {
        let mut report = Vec::new();
        for answers in BROKEN.chunks(CONCURRENT_ANSWERS) {
            let mut variants = JoinSet::new();
            for answer in answers {
                for path in PATHS {
                    for connection in CONNECTIONS {
                        variants.spawn_local(faults_with(answer, path, connection));
                    }
                }
            }
            report.extend(variants.join_all().await.concat());
        }
        assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
    });
}

#[test]
fn an_answer_that_has_lost_its_length_becomes_a_failure_once_its_connection_is_closed() {
    run_test(async {
        for answer in BROKEN_ONCE_CLOSED {
            for path in PATHS {
                let faults = faults_with(answer, path, Connection::Closed).await;
                assert!(faults.is_empty(), "{}", faults.join("\n"));
            }
        }
    });
}

#[test]
fn a_long_answer_that_has_lost_its_encoding_is_cut_off() {
    run_test(async {
        let mut exchange = Exchange::begin("/once/a", Connection::Closed).await;
        let chunk = format!("186a0\r\n{}\r\n", "x".repeat(100_000));
        let bytes = format!("HTTP/1.1 200 OK\r\n{}\r\n{chunk}{chunk}0\r\n\r\n", fields("2"));
        let Exchange { upstream, client, .. } = &mut exchange;
        let sending = async {
            upstream.write_if_open(bytes.as_bytes()).await;
            upstream.shut_down().await;
        };
        let (received, ()) = tokio::join!(client.rest_so_far(), sending);
        assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{}", &received[..100]);
        assert!(!is_complete_success(&received), "{} bytes", received.len());
    });
}

#[test]
fn a_broken_answer_that_arrives_byte_by_byte_does_not_look_complete() {
    run_test(async {
        let mut report = Vec::new();
        // A body that is longer than its length shows only once the rest has arrived.
        for answer in BROKEN.iter().filter(|answer| answer.reason != "bytes_after_end") {
            for connection in [Connection::New, Connection::Reused, Connection::Closed] {
                let mut exchange = Exchange::begin("/once/a", connection).await;
                exchange.upstream.stream.set_nodelay(true).unwrap();
                for byte in answer.with_fields(&fields("2")).into_bytes() {
                    exchange.upstream.write_if_open(&[byte]).await;
                    tokio::task::yield_now().await;
                }
                let received = exchange.answer("", connection).await;
                if is_complete_success(&received) {
                    report.push(format!("{answer:?} {connection:?}: its client received {received:?}"));
                }
            }
        }
        assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
    });
}

/// Whether the client gets the answer, whole or byte by byte.
async fn passes(
    answer: &AnswerInOrder,
    fields: &str,
    connection: Connection,
    in_bytes: bool,
) -> Result<(), String> {
    let mut exchange = Exchange::begin("/once/a", connection).await;
    let bytes = answer.with_fields(fields);
    let received = if in_bytes {
        exchange.upstream.stream.set_nodelay(true).unwrap();
        for byte in bytes.into_bytes() {
            exchange.upstream.write_if_open(&[byte]).await;
            tokio::task::yield_now().await;
        }
        exchange.answer("", connection).await
    } else {
        exchange.answer(&bytes, connection).await
    };
    let is_body = body_of(&received) == BODY;
    let has_signature = received.to_ascii_lowercase().contains("server-signature: s1\r\n");
    if is_complete_success(&received) && has_signature && is_body {
        return Ok(());
    }
    Err(format!("{answer:?} {connection:?} in bytes {in_bytes}: its client received {received:?}"))
}

#[test]
fn an_answer_in_order_passes() {
    run_test(async {
        for answer in IN_ORDER {
            for connection in CONNECTIONS {
                if answer.until_close != (connection == Connection::Closed) {
                    continue;
                }
                for in_bytes in [false, true] {
                    let result = passes(answer, &fields("2"), connection, in_bytes).await;
                    assert_eq!(result, Ok(()));
                }
            }
        }
    });
}

#[test]
fn a_body_that_ends_with_its_connection_is_not_taken_for_a_head() {
    run_test(async {
        for body in BODIES_IN_ORDER {
            let mut exchange = Exchange::begin("/once/a", Connection::Closed).await;
            let answer = format!("HTTP/1.1 200 OK\r\n{}\r\n{body}", fields("2"));
            let received = exchange.answer(&answer, Connection::Closed).await;
            assert!(is_complete_success(&received), "{body:?}: {received:?}");
            assert_eq!(received.split_once("\r\n\r\n").unwrap().1, *body);
        }
    });
}

#[test]
fn a_broken_refusal_is_no_promise() {
    run_test(async {
        let spoilt = [
            "HTTP/1.1 503 Full\r\n{fields}Content-Length: 3\r\n\r\nabcdef",
            "HTTP/1.1 503 Full\r\n{fields}Content-Length: 0\r\nTransfer-Encoding: x\r\n\r\n",
            "HTTP/1.1 429 Many\r\n{fields}Content-Length: 0, 0\r\n\r\n",
            "HTTP/1.1 421 No\r\n{fields}Content-Length: 0\n\r\n",
            "HTTP/1.1 503 Full\r\n{fields}no field\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 000 Full\r\n{fields}Content-Length: 0\r\n\r\n",
        ];
        for text in spoilt {
            let mut exchange = Exchange::begin("/once/a", Connection::New).await;
            let fields = "Attempt-Id: 2\r\nNot-Executed: true\r\n";
            let received = exchange.answer(&text.replace("{fields}", fields), Connection::New).await;
            assert!(received.starts_with("HTTP/1.1 502 "), "{text:?}: {received:?}");
            assert!(!exchange.endpoint.has_connection().await, "{text:?}: the request was sent again");
        }
    });
}

#[test]
fn a_refusal_whose_surplus_arrives_after_its_head_is_no_promise() {
    run_test(async {
        let mut exchange = Exchange::begin("/once/a", Connection::New).await;
        let head = "HTTP/1.1 503 Full\r\nAttempt-Id: 2\r\nNot-Executed: true\r\nContent-Length: 3\r\n\r\n";
        let body = "abcdef";
        // Both are there before the router runs, in two segments.
        exchange.upstream.stream.set_nodelay(true).unwrap();
        exchange.upstream.write(head).await;
        let received = exchange.answer(body, Connection::New).await;
        assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    });
}

#[test]
fn a_broken_answer_to_an_idempotent_request_is_replaced_by_another() {
    run_test(async {
        for answer in BROKEN {
            let endpoints = two_endpoints().await;
            let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
            let mut client = router.client().await;
            client.get("/again/a", "2").await;
            let (mut upstream, _) = first_request(&endpoints).await;
            upstream.write(answer.with_fields(&fields("2"))).await;
            let (mut other, request) = first_request(&endpoints).await;
            other.answer(&request, "whole").await;
            assert_eq!(client.answer().await.text(), "whole", "{answer:?}");
        }
    });
}

/// Late answers to an earlier request that are damaged, ahead of an answer in order.
#[test]
fn a_broken_late_answer_spoils_no_other_answer() {
    run_test(async {
        let mut report = Vec::new();
        for late in BROKEN {
            for connection in [Connection::Reused, Connection::AfterLateAnswer] {
                let mut exchange = Exchange::begin("/once/a", connection).await;
                let answer = IN_ORDER[0].with_fields(&fields("2"));
                let bytes = late.with_fields(&fields("1")) + &answer;
                let received = exchange.answer(&bytes, connection).await;
                let is_answer = is_complete_success(&received) && received.ends_with("\r\n\r\nabcdef");
                let is_failure =
                    received.starts_with("HTTP/1.1 502 ") || received.starts_with("HTTP/1.1 504 ");
                if !is_answer && !is_failure {
                    report.push(format!("{late:?} {connection:?}: its client received {received:?}"));
                }
                if exchange.endpoint.has_connection().await {
                    report.push(format!("{late:?} {connection:?}: the request was sent again"));
                }
            }
        }
        assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
    });
}

/// A late answer that is not understood is not skipped, because what follows it may belong to it.
#[test]
fn the_length_of_a_late_answer_is_not_guessed() {
    run_test(async {
        let framings = [
            "Content-Length: +0\r\n\r\n",
            "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n0\n\n",
            "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz0\r\n\r\n",
            "Content-Length: 0\n\n",
        ];
        for framing in framings {
            let mut exchange = Exchange::begin("/once/a", Connection::Reused).await;
            let late = format!("HTTP/1.1 200 OK\r\n{}{framing}", fields("1"));
            let answer = IN_ORDER[0].with_fields(&fields("2"));
            let received = exchange.answer(&(late + &answer), Connection::Reused).await;
            assert!(received.starts_with("HTTP/1.1 502 "), "{framing:?}: {received:?}");
        }
    });
}

#[test]
fn a_stream_with_a_broken_chunk_is_cut_off_and_not_resumed() {
    run_test(async {
        let broken = [
            "6\r\nid: 2\n\n\r\n",
            "9\r\nid: 2\n\n\r\n8\r\nid: 3\n\n\r\n",
            "0\r\nid: 2\n\n\r\n",
            "x\r\n",
            "\r\n",
        ];
        for path in ["/stream/a", "/resumable/a"] {
            for chunk in broken {
                let endpoints = two_endpoints().await;
                let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
                let mut client = router.client().await;
                client.get(path, "2").await;
                let (mut upstream, request) = first_request(&endpoints).await;
                upstream.begin_events(&request).await;
                upstream.chunk("id: 1\n\n").await;
                client.read_through("id: 1\n\n\r\n").await;
                upstream.write(format!("{chunk}7\r\nid: 4\n\n\r\n0\r\n\r\n")).await;
                let rest = client.rest().await;
                assert!(!rest.ends_with("0\r\n\r\n"), "{path} {chunk:?}: {rest:?}");
                for endpoint in &endpoints {
                    assert!(!endpoint.has_connection().await, "{path} {chunk:?}: the request was sent again");
                }
                assert_eq!(invalid_answers(&router, "chunk").await, 1.0, "{path} {chunk:?}");
            }
        }
    });
}

#[test]
fn a_long_answer_with_a_length_that_is_too_small_is_cut_off() {
    run_test(async {
        let body = "x".repeat(400_000);
        for surplus in [1, 10, 100_000] {
            for kind in ["text/plain", "text/event-stream"] {
                let mut exchange = Exchange::begin("/once/a", Connection::New).await;
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                    fields("2"),
                    body.len() - surplus
                );
                let bytes = head + &body;
                let Exchange { upstream, client, .. } = &mut exchange;
                let (received, ()) =
                    tokio::join!(client.rest_so_far(), upstream.write_if_open(bytes.as_bytes()));
                assert!(!is_complete_success(&received), "{surplus} bytes {kind}: {}", received.len());
            }
        }
    });
}

#[test]
fn a_length_that_is_too_large_takes_no_bytes_of_another_answer() {
    run_test(async {
        let mut exchange = Exchange::begin("/once/a", Connection::New).await;
        let short = format!("HTTP/1.1 200 OK\r\n{}Content-Length: 9\r\n\r\nabcdef", fields("2"));
        let other = IN_ORDER[0].with_fields(&fields("2"));
        let received = exchange.answer(&(short + &other), Connection::New).await;
        assert!(received.starts_with("HTTP/1.1 502 "), "{received:?}");
    });
}

#[test]
fn the_answer_to_a_head_request_has_no_body() {
    run_test(async {
        for (rest, status) in [("", "200"), ("abcdef", "502"), ("HTTP/1.1 200 OK\r\n\r\n", "200")] {
            let endpoint = Endpoint::start("i-1").await;
            let router = Router::serving(&[&endpoint]).await;
            let mut client = router.client().await;
            client.write(request("/once/a", "2").replace("GET", "HEAD")).await;
            let (mut upstream, _) = endpoint.request().await;
            let head = format!("HTTP/1.1 200 OK\r\n{}Content-Length: 6\r\n\r\n", fields("2"));
            upstream.write(head + rest).await;
            let received = client.rest().await;
            assert!(received.starts_with(&format!("HTTP/1.1 {status} ")), "{rest:?}: {received:?}");
        }
    });
}

#[test]
fn an_endpoint_that_sent_a_broken_answer_is_quarantined() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        router.configure(&CONFIGURATION.replace("\"Version\": 1", "\"Version\": 2"));
        let mut clients = [router.client().await, router.client().await];
        clients[0].get("/once/a", "1").await;
        let (mut first, first_request) = endpoint.request().await;
        clients[1].get("/once/a", "2").await;
        let (mut second, _) = endpoint.request().await;
        first.answer(&first_request, "a").await;
        assert_eq!(clients[0].answer().await.text(), "a");
        second.write(format!("HTTP/1.1 200 OK\r\n{}Content-Length: 3\r\n\r\nabcdef", fields("2"))).await;
        assert_eq!(clients[1].answer().await.status, 502);
        clients[0].get("/once/a", "3").await;
        let (mut third, request): (Upstream, Message) = endpoint.request().await;
        third.write(answer_to(&request, "200 OK", "c")).await;
        assert_eq!(clients[0].answer().await.text(), "c");
    });
}

#[test]
fn bytes_that_arrive_behind_an_answer_quarantine_their_endpoint() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut first, request) = endpoint.request().await;
        first.answer(&request, "a").await;
        assert_eq!(client.answer().await.text(), "a");
        first.write("noise").await;
        for (id, body) in [("2", "b"), ("3", "c")] {
            client.get("/once/a", id).await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.answer(&request, body).await;
            assert_eq!(client.answer().await.text(), body);
        }
    });
}
