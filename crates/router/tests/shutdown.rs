//! Graceful shutdown.

mod common;

use common::{Client, Endpoint, Router, advance_time, run_test};
use lanegate_config::feed::FeedEvent;
use std::io::Write;
use std::time::Duration;
use tokio::io::AsyncReadExt;

/// A service of engines, and a route of streams that must not run twice, with 15 s for an answer.
const ENGINES: &str = r#"{
    "Version": 2,
    "Routes": [
        {"Name": "chat", "Hostname": "a.example", "PathPrefix": "/chat/", "RouteType": "streaming",
         "TimeoutMs": 15000, "TargetMs": 500, "Backend": "engines", "MaxAttempts": 1}
    ],
    "Backends": [
        {"Name": "engines", "MaxConns": 50, "Runtime": {"Capacity": 8, "KvCacheTokens": 90000, "WeightsMb": 100000,
         "MaxAdapters": 2, "Models": [{"Name": "m1", "WeightsMb": 1000, "LoadTimeS": 1}]}}
    ],
    "Limits": {"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}"#;

/// A router with one engine that has the model.
async fn serving_engine(endpoint: &Endpoint) -> Router {
    let router = Router::start().await;
    router.configure(ENGINES);
    let FeedEvent::Instance(mut instance) = endpoint.registration("engines") else {
        unreachable!("a registration is an instance");
    };
    instance.models = vec![serde_json::from_str(r#"{"Name": "m1", "Version": 1, "Adapters": []}"#).unwrap()];
    router.send_event(FeedEvent::Instance(instance));
    router.send_event(FeedEvent::Routers { live: 1 });
    router.send_event(FeedEvent::Synchronized);
    router
}

/// Requests a stream of at most `tokens` tokens.
async fn ask_for_tokens(client: &mut Client, id: &str, tokens: u32) {
    client
        .write(format!(
            "GET /chat/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nModel: m1\r\n\
             Token-Usage: 100,{tokens}\r\nDeadline-Ms: 15000\r\n\r\n"
        ))
        .await;
}

#[test]
fn a_stream_that_was_not_sent_is_refused_after_sigterm() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        for tokens in [1, 50, 900, u32::MAX] {
            let mut router = serving_engine(&endpoint).await;
            let mut client = router.client().await;
            router.terminate();
            tokio::task::yield_now().await;
            advance_time(Duration::from_millis(540)).await;
            ask_for_tokens(&mut client, "1", tokens).await;
            let answer = tokio::select! {
                answer = client.answer() => answer,
                _ = endpoint.request() => panic!("a stream of {tokens} tokens was sent to the endpoint"),
            };
            assert_eq!((answer.status, answer.header("Connection")), (503, Some("close")));
            assert!(answer.header("Retry-After").is_some());
        }
    });
}

/// The router may learn of a new connection and of the end of the accept time in the same poll of its runtime.
#[test]
fn a_request_that_arrives_before_the_listener_closes_is_answered() {
    run_test(async {
        let mut router = Router::serving(&[]).await;
        router.terminate();
        tokio::task::yield_now().await;
        let mut stream = std::net::TcpStream::connect(router.address).unwrap();
        stream.write_all(b"GET /none/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n").unwrap();
        advance_time(Duration::from_millis(2_600)).await;
        stream.set_nonblocking(true).unwrap();
        let mut stream = tokio::net::TcpStream::from_std(stream).unwrap();
        let mut answer = String::new();
        let ended = stream.read_to_string(&mut answer).await;
        assert!(answer.starts_with("HTTP/1.1 404 "), "{answer:?} and {ended:?}");
        router.ended().await;
    });
}

#[test]
fn requests_without_a_stream_are_served_after_sigterm() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        router.terminate();
        tokio::task::yield_now().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "done").await;
        assert_eq!(client.answer().await.text(), "done");
    });
}

#[test]
fn requests_in_flight_have_nearly_the_full_grace_time() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = serving_engine(&endpoint).await;
        let mut client = router.client().await;
        ask_for_tokens(&mut client, "1", 900).await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\n\n").await;
        client.read_through("id: 1\n\n\r\n").await;
        router.terminate();
        tokio::task::yield_now().await;
        advance_time(Duration::from_millis(2_600)).await;
        advance_time(Duration::from_millis(5_100)).await;
        upstream.chunk("id: 2\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(client.rest().await, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
        router.ended().await;
    });
}

#[test]
fn a_draining_router_finishes_streams_and_closes_client_connections() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = Router::serving(&[&endpoint]).await;
        let mut streaming = router.client().await;
        streaming.get("/stream/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\n\n").await;
        streaming.read_through("id: 1\n\n\r\n").await;
        let idle = router.client().await;
        let mut asking = router.client().await;
        router.terminate();
        tokio::task::yield_now().await;
        assert_eq!(router.readiness().await, 503);
        asking.get("/none/", "2").await;
        let answer = asking.answer().await;
        assert_eq!((answer.status, answer.header("Connection")), (404, Some("close")));
        assert_eq!(asking.rest().await, "");
        let mut late = router.client().await;
        late.get("/none/", "3").await;
        assert_eq!(late.answer().await.status, 404);
        advance_time(Duration::from_millis(2_600)).await;
        assert_eq!(idle.rest().await, "");
        upstream.chunk("id: 2\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(streaming.rest().await, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
        router.ended().await;
    });
}

#[test]
fn requests_that_never_ran_are_refused_before_the_process_ends() {
    run_test(async {
        let mut router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        router.terminate();
        tokio::task::yield_now().await;
        advance_time(Duration::from_millis(2_600)).await;
        advance_time(Duration::from_millis(5_000)).await;
        assert!(client.rest().await.starts_with("HTTP/1.1 503 "));
        router.ended().await;
    });
}

#[test]
fn a_stream_that_outlasts_the_grace_time_does_not_look_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let mut router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\n\n").await;
        client.read_through("id: 1\n\n\r\n").await;
        router.terminate();
        tokio::task::yield_now().await;
        advance_time(Duration::from_millis(2_600)).await;
        advance_time(Duration::from_millis(5_000)).await;
        assert_eq!(client.rest().await, "");
        router.ended().await;
    });
}
