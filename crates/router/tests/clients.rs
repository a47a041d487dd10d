//! Clients that pipeline, expect `100 Continue`, disconnect, or speak HTTP/1.0.

mod common;

use common::{CONFIGURATION, Endpoint, Router, advance_time, run_ready_tasks, run_test};
use lanegate_config::feed::FeedEvent;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// How long a test waits to see that something does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);

#[test]
fn pipelined_requests_are_sent_one_by_one_and_answered_in_order() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        let request =
            |id: &str| format!("GET /once/{id} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\n\r\n");
        client.write(request("1") + &request("2") + &request("3")).await;
        let (mut upstream, first) = endpoint.request().await;
        assert!(
            timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(),
            "two requests of one connection were sent at once"
        );
        upstream.answer(&first, "1").await;
        for id in ["2", "3"] {
            let request = upstream.request().await;
            assert_eq!(request.header("Attempt-Id"), Some(id));
            upstream.answer(&request, id).await;
        }
        for id in ["1", "2", "3"] {
            let answer = client.answer().await;
            assert_eq!((answer.header("Attempt-Id"), answer.text()), (Some(id), id));
        }
    });
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nExpect: 100-continue\r\n\
                 Content-Length: 4\r\n\r\n",
            )
            .await;
        client.read_through("HTTP/1.1 100 Continue\r\n\r\n").await;
        client.write("body").await;
        let (mut upstream, request) = endpoint.request().await;
        assert_eq!((request.header("Expect"), request.text()), (None, "body"));
        upstream.answer(&request, "done").await;
        assert_eq!(client.answer().await.text(), "done");
    });
}

#[test]
fn a_client_that_shuts_down_its_write_side_has_disconnected() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (upstream, _) = endpoint.request().await;
        client.stream.shutdown().await.unwrap();
        upstream.closed().await;
        assert_eq!(client.rest().await, "");
    });
}

#[test]
fn a_queued_request_of_a_disconnected_client_is_not_sent() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.get("/again/a", "1").await;
        run_ready_tasks().await;
        drop(client);
        run_ready_tasks().await;
        let endpoint = Endpoint::start("i-1").await;
        router.send_event(endpoint.registration("plain"));
        assert!(
            timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(),
            "sent although the client had disconnected"
        );
    });
}

#[test]
fn a_broken_request_of_a_disconnected_client_is_not_retried() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/again/a", "1").await;
        let (upstream, _) = endpoint.request().await;
        drop(client);
        upstream.reset();
        assert!(
            timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(),
            "sent although the client had disconnected"
        );
    });
}

#[test]
fn a_truncated_answer_resets_the_connection_of_an_http_1_0_client() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        for is_truncated in [false, true] {
            let mut client = router.client().await;
            client.write("GET /stream/a HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n").await;
            let (mut upstream, request) = endpoint.request().await;
            upstream.begin_events(&request).await;
            upstream.chunk("id: 1\n\n").await;
            client.read_through("id: 1\n\n").await;
            if is_truncated {
                upstream.reset()
            } else {
                upstream.end_chunks().await
            }
            let end = client.stream.read(&mut [0; 8]).await.map_err(|error| error.kind());
            assert_eq!(end, if is_truncated { Err(ErrorKind::ConnectionReset) } else { Ok(0) });
        }
    });
}

#[test]
fn requests_in_flight_at_a_removed_endpoint_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let (mut asking, mut streaming) = (router.client().await, router.client().await);
        asking.get("/once/a", "1").await;
        let (mut plain, plain_request) = endpoint.request().await;
        streaming.get("/stream/a", "2").await;
        let (mut events, events_request) = endpoint.request().await;
        events.begin_events(&events_request).await;
        events.chunk("id: 1\n\n").await;
        streaming.read_through("id: 1\n\n\r\n").await;
        router.send_event(FeedEvent::Removed { id: "i-1".into() });
        run_ready_tasks().await;
        let mut late = router.client().await;
        late.get("/once/a", "3").await;
        assert!(timeout(OBSERVATION_TIME, endpoint.accept()).await.is_err(), "sent to a removed endpoint");
        plain.answer(&plain_request, "whole").await;
        assert_eq!(asking.answer().await.text(), "whole");
        events.chunk("id: 2\n\n").await;
        events.end_chunks().await;
        assert_eq!(streaming.read_through("0\r\n\r\n").await, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
    });
}

#[test]
fn requests_in_flight_on_a_removed_route_complete() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let (mut asking, mut streaming) = (router.client().await, router.client().await);
        asking.get("/once/a", "1").await;
        let (mut plain, plain_request) = endpoint.request().await;
        streaming.get("/stream/a", "2").await;
        let (mut events, events_request) = endpoint.request().await;
        events.begin_events(&events_request).await;
        events.chunk("id: 1\n\n").await;
        streaming.read_through("id: 1\n\n\r\n").await;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("/once/", "/none/")
                .replace("/stream/", "/nowhere/")
                .replace("\"TimeoutMs\": 20000", "\"TimeoutMs\": 1"),
        );
        run_ready_tasks().await;
        let mut late = router.client().await;
        late.get("/once/a", "3").await;
        assert_eq!(late.answer().await.status, 404);
        plain.answer(&plain_request, "whole").await;
        assert_eq!(asking.answer().await.text(), "whole");
        events.end_chunks().await;
        assert_eq!(streaming.read_through("0\r\n\r\n").await, "0\r\n\r\n");
    });
}

#[test]
fn a_router_without_a_configuration_answers_503_to_any_request() {
    run_test(async {
        let router = Router::start().await;
        let large =
            format!("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n{}", "x".repeat(64));
        let requests = [
            "GET /again/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n",
            "DELETE / HTTP/1.1\r\nHost: nobody\r\n\r\n",
            "GET /x HTTP/1.1\r\n\r\n",
            "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
            &large,
        ];
        for request in requests {
            let mut client = router.client().await;
            client.write(request).await;
            let answer = client.answer().await;
            assert_eq!(answer.status, 503, "{}", &request[..20]);
            assert!(answer.header("Retry-After").is_some());
        }
    });
}

#[test]
fn a_queued_request_of_a_closed_connection_leaves_no_state() {
    run_test(async {
        let mut router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        run_ready_tasks().await;
        drop(client);
        run_ready_tasks().await;
        router.terminate();
        run_ready_tasks().await;
        advance_time(Duration::from_millis(2_600)).await;
        router.ended().await;
    });
}
