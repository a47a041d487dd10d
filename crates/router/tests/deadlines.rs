//! Deadlines: the remaining time that endpoints receive, and the end at the `TimeoutMs` of the route.

mod common;

use common::{CONFIGURATION, Endpoint, Message, Router, first_request, run_test, two_endpoints};
use lanegate_router::fault::RouterFault;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// `TimeoutMs` of the routes in these tests.
const TIMEOUT: Duration = Duration::from_millis(300);
/// How long before the time-out of the route the final answer may arrive.
const MARGIN: Duration = Duration::from_millis(40);
/// How long after the time-out of the route the final answer may arrive at the latest.
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);

fn deadline_ms(request: &Message) -> u64 {
    request.header("Deadline-Ms").unwrap().parse().unwrap()
}

async fn router_with_short_timeouts(endpoints: &[&Endpoint]) -> Router {
    let router = Router::serving(endpoints).await;
    router.configure(
        &CONFIGURATION
            .replace("\"Version\": 1", "\"Version\": 2")
            .replace("\"TimeoutMs\": 20000", "\"TimeoutMs\": 300"),
    );
    router
}

/// Checks that the request ended at the time-out of its route, and not earlier for lack of data.
fn assert_in_time(began: Instant) {
    let took = began.elapsed();
    assert!(took + MARGIN >= TIMEOUT, "the request ended after {took:?}");
    assert!(took < TIMEOUT + ANSWERED_WITHIN, "the request ended after {took:?}");
}

/// The deadlines sent by two attempts, 250 ms apart, of a request with a `Deadline-Ms` of 4,000.
async fn deadlines_of_two_attempts(fault: Option<RouterFault>) -> [u64; 2] {
    let endpoints = two_endpoints().await;
    let router = Router::serving_with(fault, &[&endpoints[0], &endpoints[1]]).await;
    let mut client = router.client().await;
    client
        .write("GET /again/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 4000\r\n\r\n")
        .await;
    let (upstream, first) = first_request(&endpoints).await;
    sleep(Duration::from_millis(250)).await;
    upstream.reset();
    let (mut upstream, second) = first_request(&endpoints).await;
    upstream.answer(&second, "done").await;
    assert_eq!(client.answer().await.text(), "done");
    [deadline_ms(&first), deadline_ms(&second)]
}

#[test]
fn every_attempt_carries_the_remaining_time() {
    run_test(async {
        let began = Instant::now();
        let [first, second] = deadlines_of_two_attempts(None).await;
        assert!(first <= 4_000);
        assert!(second <= first - 250, "{second} after {first}");
        let elapsed = began.elapsed().as_millis() as u64;
        assert!(second + 100 >= 4_000 - elapsed, "{second} after {elapsed} ms");
    });
}

#[test]
fn an_attempt_that_carries_the_full_time_is_detected() {
    run_test(async {
        let [first, second] = deadlines_of_two_attempts(Some(RouterFault::SendOriginalDeadline)).await;
        assert!(second > first - 250, "{second} after {first}");
    });
}

#[test]
fn a_resumed_stream_carries_the_remaining_time() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        client.get("/resumable/a", "1").await;
        let (mut upstream, first) = first_request(&endpoints).await;
        upstream.begin_events(&first).await;
        upstream.chunk("id: 1\n\n").await;
        client.read_through("id: 1\n\n\r\n").await;
        sleep(Duration::from_millis(150)).await;
        upstream.reset();
        let (_upstream, second) = first_request(&endpoints).await;
        assert!(deadline_ms(&second) <= deadline_ms(&first) - 150);
    });
}

#[test]
fn without_a_client_deadline_the_timeout_of_the_route_is_sent() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = router_with_short_timeouts(&[&endpoint]).await;
        for client_deadline in ["", "Deadline-Ms: 60000\r\n", "Deadline-Ms: soon\r\n"] {
            let mut client = router.client().await;
            client
                .write(format!(
                    "GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n{client_deadline}\r\n"
                ))
                .await;
            let (mut upstream, request) = endpoint.request().await;
            assert!(deadline_ms(&request) <= 300);
            upstream.answer(&request, "").await;
            client.answer().await;
        }
    });
}

#[test]
fn a_request_without_an_endpoint_is_answered_at_the_timeout_of_its_route() {
    run_test(async {
        let router = router_with_short_timeouts(&[]).await;
        let mut client = router.client().await;
        let began = Instant::now();
        client.get("/once/a", "1").await;
        assert_eq!(client.answer().await.status, 503);
        assert!(began.elapsed() < TIMEOUT + ANSWERED_WITHIN);
    });
}

#[test]
fn an_unanswered_request_ends_at_the_timeout_of_its_route() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = router_with_short_timeouts(&[&endpoint]).await;
        for (path, sent) in [
            ("/once/a", ""),
            (
                "/once/a",
                "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nx",
            ),
        ] {
            let mut client = router.client().await;
            let began = Instant::now();
            client.get(path, "1").await;
            let (mut upstream, _) = endpoint.request().await;
            upstream.write(sent).await;
            assert_eq!(client.answer().await.status, 504);
            assert_in_time(began);
            upstream.closed().await;
        }
    });
}

#[test]
fn a_stream_is_truncated_at_the_timeout_of_its_route() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = router_with_short_timeouts(&[&endpoint]).await;
        for path in ["/stream/a", "/resumable/a"] {
            let mut client = router.client().await;
            let began = Instant::now();
            client.get(path, "1").await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.begin_events(&request).await;
            upstream.chunk("id: 1\n\n").await;
            client.read_through("id: 1\n\n\r\n").await;
            assert_eq!(client.rest().await, "");
            assert_in_time(began);
            upstream.closed().await;
        }
    });
}

#[test]
fn a_stream_that_waits_to_be_resumed_ends_at_the_timeout_of_its_route() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = router_with_short_timeouts(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        let began = Instant::now();
        client.get("/resumable/a", "1").await;
        let (mut upstream, request) = first_request(&endpoints).await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\n\n").await;
        client.read_through("id: 1\n\n\r\n").await;
        upstream.reset();
        let (_silent, _) = first_request(&endpoints).await;
        assert_eq!(client.rest().await, "");
        assert_in_time(began);
    });
}
