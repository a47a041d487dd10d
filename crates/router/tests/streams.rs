//! Event streams: forwarded as they arrive, never complete by mistake, resumed elsewhere.

mod common;

use common::{
    Client, Endpoint, Message, Router, Upstream, advance_time, first_request, run_ready_tasks, run_test,
    two_endpoints,
};
use std::time::Duration;

/// Opens a stream and forwards its first event.
async fn open_stream(router: &Router, endpoint: &Endpoint, path: &str) -> (Client, Upstream, Message) {
    let mut client = router.client().await;
    client.get(path, "1").await;
    let (mut upstream, request) = endpoint.request().await;
    upstream.begin_events(&request).await;
    upstream.chunk("id: 1\ndata: a\n\n").await;
    let head = client.read_through("id: 1\ndata: a\n\n\r\n").await;
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
    assert!(head.contains("server-signature: s1"), "{head}");
    (client, upstream, request)
}

#[test]
fn events_are_forwarded_one_by_one() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        for path in ["/stream/a", "/resumable/a"] {
            let (mut client, mut upstream, _) = open_stream(&router, &endpoint, path).await;
            for number in 2..6 {
                let event = format!("id: {number}\ndata: x\n\n");
                upstream.chunk(&event).await;
                let passed = client.read_through(&format!("{event}\r\n")).await;
                assert_eq!(passed, format!("{:X}\r\n{event}\r\n", event.len()));
            }
            upstream.end_chunks().await;
            assert_eq!(client.read_through("0\r\n\r\n").await, "0\r\n\r\n");
            drop(upstream);
        }
    });
}

#[test]
fn a_broken_stream_does_not_look_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let (client, mut upstream, _) = open_stream(&router, &endpoint, "/stream/a").await;
        upstream.chunk("id: 2\nda").await;
        drop(upstream);
        let rest = client.rest().await;
        assert!(!rest.contains("0\r\n\r\n"), "{rest}");
    });
}

#[test]
fn a_stream_is_resumed_elsewhere_within_the_same_answer() {
    run_test(async {
        let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
        let router = Router::serving(&[&endpoints[0]]).await;
        let (mut client, mut upstream, _) = open_stream(&router, &endpoints[0], "/resumable/a").await;
        router.send_event(endpoints[1].registration("plain"));
        upstream.chunk("id: 2\ndata: b\n\nid: 3\ndata: lost").await;
        client.read_through("id: 2\ndata: b\n\n\r\n").await;
        drop(upstream);
        let (mut upstream, request) = endpoints[1].request().await;
        assert_eq!(request.header("Last-Event-Id"), Some("2"));
        assert_eq!(request.header("Attempt-Id"), Some("1"));
        upstream.begin_events(&request).await;
        upstream.chunk("id: 3\ndata: c\n\n").await;
        assert_eq!(client.read_through("c\n\n\r\n").await, "F\r\nid: 3\ndata: c\n\n\r\n");
        upstream.end_chunks().await;
        client.read_through("0\r\n\r\n").await;
    });
}

/// A second attempt that is idle after a resume neither ends the answer nor causes a third attempt.
#[test]
fn a_resumed_stream_may_be_idle_for_long() {
    run_test(async {
        let endpoints =
            [Endpoint::start("i-1").await, Endpoint::start("i-2").await, Endpoint::start("i-3").await];
        let router = Router::serving(&[&endpoints[0]]).await;
        let (mut client, upstream, _) = open_stream(&router, &endpoints[0], "/resumable/a").await;
        router.send_event(endpoints[1].registration("plain"));
        drop(upstream);
        let (mut upstream, request) = endpoints[1].request().await;
        upstream.begin_events(&request).await;
        run_ready_tasks().await;
        router.send_event(endpoints[2].registration("plain"));
        for _ in 0..120 {
            run_ready_tasks().await;
            advance_time(Duration::from_millis(100)).await;
        }
        upstream.chunk("id: 2\ndata: b\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(client.read_through("0\r\n\r\n").await, "F\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    });
}

#[test]
fn events_repeated_by_a_second_attempt_are_forwarded_once() {
    run_test(async {
        let endpoints = [Endpoint::start("i-1").await, Endpoint::start("i-2").await];
        let router = Router::serving(&[&endpoints[0]]).await;
        let (mut client, upstream, _) = open_stream(&router, &endpoints[0], "/resumable/a").await;
        router.send_event(endpoints[1].registration("plain"));
        drop(upstream);
        let (mut upstream, request) = endpoints[1].request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(client.read_through("0\r\n\r\n").await, "F\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "GET /resumable/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 400\r\n\r\n",
            )
            .await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\ndata: a\n\n").await;
        client.read_through("data: a\n\n\r\n").await;
        router.send_event(lanegate_config::feed::FeedEvent::Removed { id: "i-1".into() });
        drop((upstream, endpoint));
        assert_eq!(client.rest().await, "");
    });
}

#[test]
fn a_client_that_disconnects_ends_its_stream_at_the_endpoint() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let (client, upstream, _) = open_stream(&router, &endpoint, "/stream/a").await;
        drop(client);
        upstream.closed().await;
    });
}

#[test]
fn an_empty_stream_is_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/resumable/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.end_chunks().await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (200, ""));
    });
}

#[test]
fn a_stream_resumed_by_the_client_may_be_resumed_again_by_the_router() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        client
            .write(
                "GET /resumable/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nLast-Event-Id: 4\r\n\r\n",
            )
            .await;
        let (mut upstream, request) = first_request(&endpoints).await;
        assert_eq!(request.header("Last-Event-Id"), Some("4"));
        upstream.begin_events(&request).await;
        upstream.chunk("versions: 2\nid: 5\n\n").await;
        client.read_through("versions: 2\nid: 5\n\n\r\n").await;
        upstream.reset();
        let (mut upstream, request) = first_request(&endpoints).await;
        assert_eq!(request.header("Last-Event-Id"), Some("5"));
        upstream.begin_events(&request).await;
        upstream.chunk("id: 6\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(client.read_through("0\r\n\r\n").await, "7\r\nid: 6\n\n\r\n0\r\n\r\n");
    });
}
