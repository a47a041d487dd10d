//! Answers with neither a length nor chunks: complete if their connection is closed, incomplete if it is reset.

mod common;

use common::{
    Endpoint, Router, answer_without_length, first_request, run_ready_tasks, run_test, two_endpoints,
};

const PLAIN: &str = "text/plain";
const EVENTS: &str = "text/event-stream";

#[test]
fn an_answer_without_a_length_is_complete_once_its_connection_is_closed() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.write(answer_without_length(&request, PLAIN, "the who")).await;
        run_ready_tasks().await;
        upstream.write("le").await;
        drop(upstream);
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (200, "the whole"));
        assert_eq!(answer.header("Server-Signature"), Some("s1"));
        assert_eq!(answer.header("Content-Length"), Some("9"));
    });
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_incomplete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.write(answer_without_length(&request, PLAIN, "a part")).await;
        run_ready_tasks().await;
        upstream.reset();
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (502, ""));
        assert_eq!(answer.header("Server-Signature"), None);
    });
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_retried_if_allowed() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        client.get("/again/a", "1").await;
        let (mut upstream, request) = first_request(&endpoints).await;
        upstream.write(answer_without_length(&request, PLAIN, "a part")).await;
        run_ready_tasks().await;
        upstream.reset();
        let (mut upstream, request) = first_request(&endpoints).await;
        upstream.answer(&request, "whole").await;
        assert_eq!(client.answer().await.text(), "whole");
    });
}

#[test]
fn a_large_answer_without_a_length_that_is_reset_does_not_look_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let part = "x".repeat(200_000);
        let writing = async {
            upstream.write(answer_without_length(&request, PLAIN, &part)).await;
            run_ready_tasks().await;
            upstream.reset();
        };
        let (rest, ()) = tokio::join!(client.rest(), writing);
        assert!(rest.starts_with("HTTP/1.1 200 OK\r\n"), "{}", &rest[..100]);
        assert!(!rest.ends_with("\r\n0\r\n\r\n"));
    });
}

#[test]
fn a_stream_without_a_length_is_complete_at_the_end_of_an_event() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.write(answer_without_length(&request, EVENTS, "id: 1\n\n")).await;
        client.read_through("id: 1\n\n\r\n").await;
        upstream.write("id: 2\n\n").await;
        drop(upstream);
        assert_eq!(client.read_through("0\r\n\r\n").await, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
    });
}

#[test]
fn a_stream_without_a_length_is_incomplete_inside_an_event_or_after_a_reset() {
    run_test(async {
        for is_reset in [false, true] {
            let endpoint = Endpoint::start("i-1").await;
            let router = Router::serving(&[&endpoint]).await;
            let mut client = router.client().await;
            client.get("/stream/a", "1").await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.write(answer_without_length(&request, EVENTS, "id: 1\n\n")).await;
            client.read_through("id: 1\n\n\r\n").await;
            if is_reset {
                upstream.reset()
            } else {
                upstream.write("id: 2\nda").await;
                drop(upstream);
            }
            assert_eq!(client.rest().await, "");
        }
    });
}

#[test]
fn a_stream_without_a_length_that_ends_inside_an_event_is_resumed_elsewhere() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = Router::serving(&[&endpoints[0], &endpoints[1]]).await;
        let mut client = router.client().await;
        client.get("/resumable/a", "1").await;
        let (mut upstream, request) = first_request(&endpoints).await;
        upstream.write(answer_without_length(&request, EVENTS, "id: 1\n\nid: 2\nda")).await;
        drop(upstream);
        let (mut upstream, request) = first_request(&endpoints).await;
        assert_eq!(request.header("Last-Event-Id"), Some("1"));
        upstream.begin_events(&request).await;
        upstream.chunk("id: 2\n\n").await;
        upstream.end_chunks().await;
        assert!(client.read_through("0\r\n\r\n").await.ends_with("7\r\nid: 2\n\n\r\n0\r\n\r\n"));
    });
}
