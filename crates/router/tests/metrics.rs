//! The metrics of a router. A scrape must not block requests or other scrapes.

mod common;
#[path = "../../metrics/tests/common/text_format.rs"]
#[allow(unreachable_pub, reason = "the file is shared with the tests of another crate")]
mod text_format;

use common::{Endpoint, Router, advance_time, answer_to, run_ready_tasks, run_test};
use lanegate_config::feed::FeedEvent;
use std::time::Duration;
use text_format::ParsedMetrics;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const REQUESTS: &str = "lanegate_router_requests_total";

/// The current metrics of a router.
async fn figures(router: &Router) -> ParsedMetrics {
    ParsedMetrics::parse(&router.scrape().await)
}

fn ended(figures: &ParsedMetrics, outcome: &str, reason: &str) -> f64 {
    figures.value(REQUESTS, &[("outcome", outcome), ("reason", reason)])
}

#[test]
fn a_new_router_exposes_zeros() {
    run_test(async {
        let router = Router::start().await;
        let current = figures(&router).await;
        assert_eq!(current.sum(REQUESTS), 0.0);
        assert_eq!(current.sum("lanegate_invariant_violations_total"), 0.0);
        assert_eq!(current.value("lanegate_router_ready", &[]), 0.0);
        assert_eq!(current.value("lanegate_router_configuration_version", &[]), 0.0);
        assert_eq!(current.value("lanegate_router_agent_link_up", &[]), 0.0);
        assert!(current.0["lanegate_router_retry_budget_left"].samples.is_empty());
    });
}

/// An error answer without a length is forwarded as it arrives.
#[test]
fn a_chunked_error_answer_counts_as_an_endpoint_error() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, _) = endpoint.request().await;
        let head = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: 1\r\nServer-Signature: s1\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        upstream.write(head).await;
        upstream.chunk("broken").await;
        upstream.end_chunks().await;
        client.read_through("0\r\n\r\n").await;
        let current = figures(&router).await;
        assert_eq!(ended(&current, "answered", "endpoint_error"), 1.0);
    });
}

#[test]
fn requests_are_counted_by_outcome() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "done").await;
        client.answer().await;
        client.get("/once/b", "2").await;
        let request = upstream.request().await;
        upstream.write(answer_to(&request, "404 Not Found", "")).await;
        client.answer().await;
        client.get("/nowhere", "3").await;
        client.answer().await;
        client.get("/stream/a", "4").await;
        let request = upstream.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\n\n").await;
        client.read_through("id: 1\n\n\r\n").await;
        let during = figures(&router).await;
        assert_eq!(during.value("lanegate_router_requests_open", &[]), 1.0);
        assert_eq!(during.value("lanegate_router_endpoint_connections_open", &[]), 1.0);
        upstream.reset();
        client.rest().await;
        let current = figures(&router).await;
        assert_eq!(ended(&current, "answered", "success"), 1.0);
        assert_eq!(ended(&current, "answered", "endpoint_error"), 1.0);
        assert_eq!(ended(&current, "rejected", "no_route"), 1.0);
        assert_eq!(ended(&current, "broken_off", "endpoint"), 1.0);
        assert_eq!(current.sum(REQUESTS), 4.0);
        assert_eq!(current.value("lanegate_router_requests_received_total", &[]), 4.0);
        assert_eq!(current.value("lanegate_router_requests_open", &[]), 0.0);
        assert_eq!(current.value("lanegate_router_attempts_total", &[]), 3.0);
        assert_eq!(current.value("lanegate_router_configuration_version", &[]), 1.0);
        assert_eq!(current.sum("lanegate_router_endpoints"), 1.0);
        assert_eq!(current.sum("lanegate_invariant_violations_total"), 0.0);
    });
}

#[test]
fn a_retry_is_counted_against_the_budget() {
    run_test(async {
        let endpoints = common::two_endpoints().await;
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        client.get("/again/a", "1").await;
        let before = figures(&router).await;
        let (first, _) = common::first_request(&endpoints).await;
        first.reset();
        let (mut second, request) = common::first_request(&endpoints).await;
        second.answer(&request, "done").await;
        client.answer().await;
        let after = figures(&router).await;
        let left = |current: &ParsedMetrics| current.value("lanegate_router_retry_budget_left", &[]);
        assert_eq!(after.value("lanegate_router_retries_total", &[]), 1.0);
        assert_eq!(after.value("lanegate_router_attempts_failed_total", &[]), 1.0);
        assert_eq!(left(&after), left(&before) - 1.0);
    });
}

#[test]
fn a_disconnected_client_is_counted_once() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (upstream, _) = endpoint.request().await;
        drop(client);
        upstream.closed().await;
        let current = figures(&router).await;
        assert_eq!(ended(&current, "client_left", "client"), 1.0);
        assert_eq!(current.sum(REQUESTS), 1.0);
    });
}

#[test]
fn queued_and_refused_requests_are_counted() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client
            .write("GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 500\r\n\r\n")
            .await;
        run_ready_tasks().await;
        let held = figures(&router).await;
        assert_eq!(held.value("lanegate_router_requests_held", &[]), 1.0);
        assert_eq!(client.answer().await.status, 503);
        let refused = figures(&router).await;
        assert_eq!(ended(&refused, "refused", "no_room"), 1.0);
        assert_eq!(refused.value("lanegate_router_requests_held", &[]), 0.0);
    });
}

#[test]
fn a_draining_router_exposes_that() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = Router::serving(&[&endpoint]).await;
        router.send_event(FeedEvent::AgentLink { up: true });
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (_upstream, _) = endpoint.request().await;
        assert_eq!(figures(&router).await.value("lanegate_router_draining", &[]), 0.0);
        router.terminate();
        tokio::task::yield_now().await;
        advance_time(Duration::from_millis(2_600)).await;
        let current = figures(&router).await;
        assert_eq!(current.value("lanegate_router_draining", &[]), 1.0);
        assert!(current.value("lanegate_router_draining_seconds", &[]) >= 2.6);
        assert_eq!(current.value("lanegate_router_ready", &[]), 0.0);
        assert_eq!(current.value("lanegate_router_agent_link_up", &[]), 1.0);
    });
}

#[test]
fn stalled_scrapes_block_neither_requests_nor_other_scrapes() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut stalled = Vec::new();
        for _ in 0..3 {
            let mut stream = TcpStream::connect(router.metrics).await.unwrap();
            stream.write_all(b"GET /metrics HT").await.unwrap();
            stalled.push(stream);
        }
        let mut client = router.client().await;
        client.get("/once/0", "0").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "done").await;
        assert_eq!(client.answer().await.text(), "done");
        for number in 1..200 {
            client.get("/once/a", &number.to_string()).await;
            let request = upstream.request().await;
            if number % 20 == 0 {
                assert_eq!(figures(&router).await.value("lanegate_router_requests_open", &[]), 1.0);
            }
            upstream.answer(&request, "done").await;
            assert_eq!(client.answer().await.text(), "done");
        }
        assert_eq!(ended(&figures(&router).await, "answered", "success"), 200.0);
    });
}
