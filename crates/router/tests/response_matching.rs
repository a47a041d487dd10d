//! Every answer reaches the client of its request, and a request that must not run twice is sent once.

mod common;

use common::{CONFIGURATION, Endpoint, Router, answer_to, run_ready_tasks, run_test};
use std::time::Duration;
use tokio::time::timeout;

/// How long a test waits to see that something does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);

fn rejection(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: true\r\nContent-Length: 0\r\n\r\n"
    )
}

#[test]
fn a_second_answer_to_an_earlier_request_is_discarded_while_the_next_is_in_flight() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, first) = endpoint.request().await;
        upstream.answer(&first, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        client.get("/once/a", "2").await;
        let second = upstream.request().await;
        upstream.answer(&first, "first").await;
        run_ready_tasks().await;
        upstream.answer(&second, "second").await;
        let answer = client.answer().await;
        assert_eq!((answer.header("Attempt-Id"), answer.text()), (Some("2"), "second"));
        client.get("/once/a", "3").await;
        let third = upstream.request().await;
        let in_chunks = "HTTP/1.1 500 No\r\nAttempt-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
                         3;x\r\nabc\r\n0\r\nT: 1\r\n\r\n";
        let bytes =
            in_chunks.to_string() + &answer_to(&first, "200 OK", "") + &answer_to(&third, "200 OK", "third");
        for byte in bytes.as_bytes() {
            upstream.write([*byte]).await;
            tokio::task::yield_now().await;
        }
        assert_eq!(client.answer().await.text(), "third");
    });
}

#[test]
fn an_answer_to_a_request_that_was_never_sent_on_the_connection_is_a_failure() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, first) = endpoint.request().await;
        upstream.answer(&first, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        client.get("/once/a", "2").await;
        let second = upstream.request().await;
        upstream.write(answer_to(&second, "200 OK", "no").replace("Attempt-Id: 2", "Attempt-Id: 9")).await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (502, ""));
        assert!(timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(), "the request was sent again");
    });
}

#[test]
fn an_answer_that_names_two_requests_is_a_failure() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        for other in ["9", "1"] {
            let mut client = router.client().await;
            client.get("/once/a", "1").await;
            let (mut upstream, request) = endpoint.request().await;
            let ids = format!("Attempt-Id: 1\r\nAttempt-Id: {other}\r\n");
            upstream.write(answer_to(&request, "200 OK", "no").replace("Attempt-Id: 1\r\n", &ids)).await;
            assert_eq!(client.answer().await.status, 502, "{other}");
        }
    });
}

#[test]
fn answers_swapped_between_two_endpoints_reach_no_client() {
    run_test(async {
        let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut clients = [router.client().await, router.client().await];
        clients[0].get("/once/a", "1").await;
        let (mut first, first_request) = tokio::select! {
            got = endpoints[0].request() => got, got = endpoints[1].request() => got
        };
        clients[1].get("/once/a", "2").await;
        let (mut second, second_request) = tokio::select! {
            got = endpoints[0].request() => got, got = endpoints[1].request() => got
        };
        first.answer(&second_request, "of two").await;
        second.answer(&first_request, "of one").await;
        for client in &mut clients {
            let answer = client.answer().await;
            assert_eq!((answer.status, answer.text()), (502, ""));
        }
    });
}

#[test]
fn a_request_is_not_retried_on_the_same_connection() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, _) = endpoint.request().await;
        upstream.write(rejection("1")).await;
        let (mut again, request) = endpoint.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("1"));
        // A second answer to the first attempt must not be taken for the answer to the second attempt, which runs.
        upstream.write(rejection("1")).await;
        run_ready_tasks().await;
        again.answer(&request, "ran").await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (200, "ran"));
        assert!(timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(), "the request was sent again");
    });
}

#[test]
fn requests_without_an_id_share_no_connection() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        for number in ["1", "2"] {
            client.write("GET /once/a HTTP/1.1\r\nHost: a.example\r\n\r\n").await;
            let (mut upstream, _) = endpoint.request().await;
            let answer =
                format!("HTTP/1.1 200 OK\r\nServer-Signature: s1\r\nContent-Length: 1\r\n\r\n{number}");
            upstream.write(answer).await;
            assert_eq!(client.answer().await.text(), number);
            upstream.closed().await;
        }
    });
}

#[test]
fn a_connection_with_a_partly_read_request_is_not_reused() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("\"MaxBodyBytes\": 1000", "\"MaxBodyBytes\": 30000000"),
        );
        let mut client = router.client().await;
        let body = "b".repeat(20_000_000);
        let head = format!(
            "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        client.write(head + &body).await;
        let mut early = endpoint.accept().await;
        early.write(answer_to_id("1", "early")).await;
        assert_eq!(client.answer().await.text(), "early");
        client.get("/once/b", "2").await;
        let (mut other, request) = endpoint.request().await;
        assert_eq!(request.first_line, "GET /once/b HTTP/1.1");
        other.answer(&request, "second").await;
        assert_eq!(client.answer().await.text(), "second");
        let read = early.rest().await;
        let text = String::from_utf8(read).unwrap();
        let (head, rest) = text.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("POST /once/a HTTP/1.1"));
        assert!(rest.bytes().all(|byte| byte == b'b'), "other bytes arrived in place of the body");
    });
}

#[test]
fn a_long_request_that_is_rejected_early_is_sent_elsewhere_completely() {
    run_test(async {
        let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("\"MaxBodyBytes\": 1000", "\"MaxBodyBytes\": 30000000"),
        );
        let mut client = router.client().await;
        let body = "b".repeat(20_000_000);
        let head = format!(
            "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        client.write(head + &body).await;
        let (mut early, other) = tokio::select! {
            got = endpoints[0].accept() => (got, &endpoints[1]),
            got = endpoints[1].accept() => (got, &endpoints[0]),
        };
        early.write(rejection("1")).await;
        let (mut upstream, request) = other.request().await;
        assert_eq!(request.body.len(), body.len());
        upstream.answer(&request, "ran").await;
        assert_eq!(client.answer().await.text(), "ran");
    });
}

#[test]
fn a_reset_during_a_send_does_not_cause_a_retry() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("\"MaxBodyBytes\": 1000", "\"MaxBodyBytes\": 30000000"),
        );
        let mut client = router.client().await;
        let body = "b".repeat(20_000_000);
        let head = format!(
            "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        client.write(head + &body).await;
        let upstream = endpoint.accept().await;
        run_ready_tasks().await;
        upstream.reset();
        assert_eq!(client.answer().await.status, 502);
        assert!(timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(), "the request was sent again");
    });
}

#[test]
fn a_reset_on_a_reused_connection_does_not_cause_a_retry() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        for path in ["/once/a", "/stream/a"] {
            let mut client = router.client().await;
            client.get(path, "1").await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.answer(&request, "first").await;
            assert_eq!(client.answer().await.text(), "first");
            client.get(path, "2").await;
            assert_eq!(upstream.request().await.header("Attempt-Id"), Some("2"));
            upstream.reset();
            assert_eq!(client.answer().await.status, 502);
            assert!(
                timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(),
                "the request was sent again"
            );
        }
    });
}

#[test]
fn informational_responses_are_skipped() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let before = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_string();
        upstream.write(before + &answer_to(&request, "200 OK", "final")).await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (200, "final"));
    });
}

/// A complete answer to the request with this id.
fn answer_to_id(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
