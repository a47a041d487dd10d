//! Answers that do not say without doubt where they end, or are no answers, never look complete to a client.

#[path = "../../http-framing/tests/common/answers.rs"]
#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
mod answers;
mod common;
#[path = "../../metrics/tests/common/text_format.rs"]
#[allow(unreachable_pub, reason = "the file is shared with the tests of another crate")]
mod text_format;

use answers::{AnswerInOrder, BODY, BROKEN, BrokenAnswer, IN_ORDER};
use common::{
    Endpoint, Router, Upstream, body_of, first_request, is_complete_success, run_ready_tasks, run_test,
    two_endpoints,
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
fn a_broken_answer_that_arrives_byte_by_byte_does_not_look_complete() {
    run_test(async {
        let mut report = Vec::new();
        for answer in BROKEN {
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
fn a_broken_refusal_is_no_promise() {
    run_test(async {
        let spoilt = [
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
