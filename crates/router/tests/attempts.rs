//! Requests that an endpoint rejects, breaks off, or answers invalidly.

mod common;

use common::{Endpoint, Message, Router, advance_time, answer_to, run_test};
use std::time::Duration;
use tokio::task::spawn_local;

/// An answer that states that the request did not run.
fn rejection(request: &Message, status: &str) -> String {
    let id = request.header("Attempt-Id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: true\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Rejects all requests on all connections.
async fn reject_all(endpoint: Endpoint) {
    loop {
        let mut upstream = endpoint.accept().await;
        spawn_local(async move {
            while let Some(request) = upstream.next_request().await {
                upstream.write(rejection(&request, "503 Service Unavailable")).await;
            }
        });
    }
}

#[test]
fn a_rejected_request_is_sent_to_another_endpoint() {
    run_test(async {
        for (status, id) in [("421 Misdirected Request", "1"), ("503 Service Unavailable", "2")] {
            let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
            let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
            let mut client = router.client().await;
            client.get("/once/a", id).await;
            let ((mut first, request), second) = tokio::select! {
                got = endpoints[0].request() => (got, &endpoints[1]),
                got = endpoints[1].request() => (got, &endpoints[0]),
            };
            first.write(rejection(&request, status)).await;
            let (mut upstream, request) = second.request().await;
            assert_eq!(request.header("Attempt-Id"), Some(id));
            assert_eq!(request.header("Expect-Instance"), Some(second.id.as_str()));
            upstream.answer(&request, "done").await;
            assert_eq!(client.answer().await.text(), "done");
            first.write("").await;
            drop((first, upstream));
        }
    });
}

#[test]
fn a_request_that_never_ran_is_refused_with_retry_after_and_without_a_signature() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write("GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 300\r\n\r\n")
            .await;
        spawn_local(reject_all(endpoint));
        let answer = client.answer().await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("Retry-After").unwrap().parse::<f64>().unwrap() > 0.0);
        assert_eq!(answer.header("Server-Signature"), None);
    });
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_route_allows_it() {
    run_test(async {
        for path in ["/once/a", "/stream/a"] {
            let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
            let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
            let mut client = router.client().await;
            client.get(path, "1").await;
            let broken =
                tokio::select! { got = endpoints[0].request() => got, got = endpoints[1].request() => got };
            drop(broken);
            assert_eq!(client.answer().await.status, 502);
        }
        for path in ["/again/a", "/resumable/a"] {
            let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
            let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
            let mut client = router.client().await;
            client.get(path, "2").await;
            let broken =
                tokio::select! { got = endpoints[0].request() => got, got = endpoints[1].request() => got };
            drop(broken);
            let (mut upstream, request) =
                tokio::select! { got = endpoints[0].request() => got, got = endpoints[1].request() => got };
            assert_eq!(request.header("Attempt-Id"), Some("2"));
            upstream.answer(&request, "done").await;
            assert_eq!(client.answer().await.text(), "done");
        }
    });
}

/// Sends a request that must not run twice, lets the endpoint write `bytes`, and returns the answer to the client.
async fn answer_after(bytes: &'static str) -> Message {
    let endpoint = Endpoint::start("i-1").await;
    let router = Router::serving(&[&endpoint]).await;
    let mut client = router.client().await;
    client.get("/once/a", "1").await;
    let (mut upstream, _) = endpoint.request().await;
    upstream.write(bytes).await;
    let answer = client.answer().await;
    upstream.closed().await;
    answer
}

#[test]
fn invalid_and_foreign_answers_never_reach_the_client() {
    run_test(async {
        let invalid_answers = [
            "HTTP/1.1 200 OK\r\nAttempt-Id: 2\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Signature: s\r\nContent-Encoding: gzip\r\n\
             Content-Length: 2\r\n\r\nno",
            "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: 1\r\nServer-Signature: s\r\nUpgrade: x\r\n\
             Connection: upgrade\r\n\r\n",
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: 1\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: 1\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n",
            "\x01\x02 these bytes are no answer\r\n\r\n",
        ];
        for bytes in invalid_answers {
            let answer = answer_after(bytes).await;
            assert_eq!(answer.status, 502, "{bytes}");
            assert_eq!(answer.header("Server-Signature"), None);
            assert!(answer.body.is_empty());
        }
    });
}

#[test]
fn an_incomplete_answer_is_not_forwarded() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let whole = answer_to(&request, "200 OK", "0123456789");
        upstream.write(&whole[..whole.len() - 1]).await;
        drop(upstream);
        assert_eq!(client.answer().await.status, 502);
    });
}

#[test]
fn bytes_after_a_complete_answer_belong_to_no_request() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let extra = answer_to(&request, "200 OK", "extra");
        upstream.write(answer_to(&request, "200 OK", "first") + &extra).await;
        assert_eq!(client.answer().await.text(), "first");
        client.get("/once/a", "2").await;
        let (mut new_upstream, request) = endpoint.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("2"));
        new_upstream.answer(&request, "second").await;
        assert_eq!(client.answer().await.text(), "second");
    });
}

#[test]
fn a_late_second_answer_belongs_to_no_request() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        upstream.answer(&request, "extra").await;
        client.get("/once/a", "2").await;
        let (mut new_upstream, request) = endpoint.request().await;
        new_upstream.answer(&request, "second").await;
        assert_eq!(client.answer().await.text(), "second");
    });
}

#[test]
fn a_connection_that_the_endpoint_closed_is_not_reused() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        drop(upstream);
        client.get("/once/a", "2").await;
        let (mut new_upstream, request) = endpoint.request().await;
        new_upstream.answer(&request, "second").await;
        assert_eq!(client.answer().await.text(), "second");
    });
}

#[test]
fn a_connection_idle_for_longer_than_its_keep_alive_is_not_reused() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        advance_time(Duration::from_millis(4_500)).await;
        client.get("/once/a", "2").await;
        let (mut new_upstream, request) = endpoint.request().await;
        new_upstream.answer(&request, "second").await;
        assert_eq!(client.answer().await.text(), "second");
    });
}

#[test]
fn a_client_that_disconnects_cancels_its_request() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (upstream, _) = endpoint.request().await;
        drop(client);
        upstream.closed().await;
    });
}

#[test]
fn a_refused_connection_does_not_end_the_request() {
    run_test(async {
        let gone = Endpoint::start("i-0").await;
        let gone_registration = gone.registration("plain");
        drop(gone);
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[]).await;
        router.send_event(gone_registration);
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        router.send_event(endpoint.registration("plain"));
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "done").await;
        assert_eq!(client.answer().await.text(), "done");
    });
}

#[test]
fn a_request_that_runs_past_its_deadline_gets_504() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write("GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 200\r\n\r\n")
            .await;
        let (upstream, _) = endpoint.request().await;
        assert_eq!(client.answer().await.status, 504);
        upstream.closed().await;
    });
}
