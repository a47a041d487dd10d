//! Edge cases of connections to endpoints and clients.

mod common;

use bytes::Bytes;
use common::{CONFIGURATION, Endpoint, Router, advance_time, answer_to, run_test};
use http_body_util::Full;
use hyper::Request;
use lanegate_config::feed::FeedEvent;
use lanegate_router::endpoint::connection::{EndpointConnection, ExchangeError};
use lanegate_router::endpoint::pool::{Availability, Pool, connection_quota};
use lanegate_router::fault::RouterFault;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

async fn open(pool: &Pool, endpoint: &Endpoint) -> EndpointConnection {
    let lease = pool.lease(&Arc::from(endpoint.id.as_str()), endpoint.address).unwrap();
    EndpointConnection::open(endpoint.address, lease).await.unwrap()
}

#[test]
fn a_request_on_a_connection_that_was_reset_before_was_not_sent() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let pool = Pool::default();
        pool.apply(&endpoint.registration("plain"));
        let mut connection = open(&pool, &endpoint).await;
        let upstream = endpoint.accept().await;
        upstream.stream.set_zero_linger().unwrap();
        drop(upstream);
        let request = Request::get("/a").body(Full::<Bytes>::default()).unwrap();
        assert!(matches!(connection.exchange(request).await, Err(ExchangeError::NotSent)));
    });
}

/// Whether a connection with unread bytes that belong to no request is reused.
async fn is_reused_with_unread_bytes(fault: Option<RouterFault>) -> bool {
    let endpoint = Endpoint::start("i-1").await;
    let pool = Pool::new(fault);
    pool.apply(&endpoint.registration("plain"));
    let mut connection = open(&pool, &endpoint).await;
    let mut upstream = endpoint.accept().await;
    let request = Request::get("/a").header("Attempt-Id", "1").body(Full::<Bytes>::default()).unwrap();
    upstream.write("HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n").await;
    let answer = connection.exchange(request).await.unwrap();
    let mut body = answer.into_body();
    assert!(poll_fn(|cx| connection.poll_body(&mut body, cx)).await.is_none());
    pool.release(connection, Some(Duration::from_secs(5)));
    upstream.write("HTTP/1.1 200 OK\r\n").await;
    pool.take_idle("i-1", endpoint.address, &[]).is_some()
}

#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    run_test(async {
        assert!(!is_reused_with_unread_bytes(None).await);
        assert!(
            is_reused_with_unread_bytes(Some(RouterFault::SkipConnectionCheck)).await,
            "the fault is not detected"
        );
    });
}

#[test]
fn an_endpoint_has_no_more_connections_than_the_quota_of_the_router() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let pool = Pool::default();
        pool.apply(&FeedEvent::Configuration(Arc::new(serde_json::from_str(CONFIGURATION).unwrap())));
        pool.apply(&FeedEvent::Routers { live: 9 });
        pool.apply(&endpoint.registration("plain"));
        let id: Arc<str> = Arc::from("i-1");
        let mut leases: Vec<_> =
            (0..connection_quota(50, 9)).map(|_| pool.lease(&id, endpoint.address).unwrap()).collect();
        assert!(pool.lease(&id, endpoint.address).is_none());
        leases.pop();
        assert!(pool.lease(&id, endpoint.address).is_some());
    });
}

#[test]
fn connection_quotas_fit_the_limit_and_are_at_least_one() {
    for limit in [1, 6, 96, 370] {
        for routers in 1..20 {
            let quota = connection_quota(limit, routers);
            assert!(quota >= 1);
            assert!(
                quota == 1 || quota * routers < limit,
                "a quota of {quota} of {limit} connections for {routers} routers"
            );
        }
    }
    assert_eq!(connection_quota(100, 0), connection_quota(100, 1));
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let pool = Pool::default();
        assert_eq!(pool.availability("i-1"), Availability::Unavailable);
        pool.apply(&endpoint.registration("plain"));
        assert_eq!(pool.availability("i-1"), Availability::Available);
        pool.apply(&endpoint.registration_as("plain", "draining"));
        assert_eq!(pool.availability("i-1"), Availability::Unavailable);
        pool.apply(&endpoint.registration("plain"));
        pool.apply(&FeedEvent::Removed { id: "i-1".into() });
        assert_eq!(pool.availability("i-1"), Availability::Unavailable);
        assert!(pool.lease(&Arc::from("i-1"), endpoint.address).is_none());
    });
}

#[test]
fn idle_connections_to_a_draining_endpoint_are_closed() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        router.send_event(endpoint.registration_as("plain", "draining"));
        upstream.closed().await;
    });
}

#[test]
fn an_older_configuration_is_ignored() {
    run_test(async {
        let router = Router::serving(&[]).await;
        router
            .configure(&CONFIGURATION.replace("\"Version\": 1", "\"Version\": 7").replace("/once/", "/now/"));
        router.configure(&CONFIGURATION.replace("\"Version\": 1", "\"Version\": 6"));
        tokio::task::yield_now().await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        assert_eq!(client.answer().await.status, 404);
    });
}

#[test]
fn a_request_that_has_begun_is_answered_before_its_connection_closes() {
    run_test(async {
        let mut router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.write("GET /none/ HTTP/1.1\r\nHost: a.exa").await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        router.terminate();
        tokio::task::yield_now().await;
        advance_time(Duration::from_millis(2_600)).await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        client.write("mple\r\n\r\n").await;
        let rest = client.rest().await;
        assert!(rest.starts_with("HTTP/1.1 404 "), "{rest}");
        router.ended().await;
    });
}

#[test]
fn the_connection_of_a_client_that_does_not_read_its_answer_is_closed() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
        // Writes until all buffers are full, then waits until the router closes the connection.
        let writing = async move { while upstream.stream.write_all(chunk.as_bytes()).await.is_ok() {} };
        let waiting = async {
            for _ in 0..1_000 {
                tokio::task::yield_now().await;
            }
            advance_time(Duration::from_millis(23_500)).await;
        };
        tokio::join!(writing, waiting);
    });
}

#[test]
fn an_endpoint_that_sent_an_extra_answer_is_quarantined() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut first, request) = endpoint.request().await;
        first.write(answer_to(&request, "200 OK", "a") + &answer_to(&request, "200 OK", "extra")).await;
        assert_eq!(client.answer().await.text(), "a");
        client.get("/once/a", "2").await;
        let (mut second, request) = endpoint.request().await;
        second.answer(&request, "b").await;
        assert_eq!(client.answer().await.text(), "b");
        client.get("/once/a", "3").await;
        let (mut third, request) = endpoint.request().await;
        third.answer(&request, "c").await;
        assert_eq!(client.answer().await.text(), "c");
        advance_time(Duration::from_millis(400)).await;
        client.get("/once/a", "4").await;
        let request = second.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("4"));
        second.answer(&request, "d").await;
        assert_eq!(client.answer().await.text(), "d");
    });
}
