//! The planned end of the process.

mod common;

use common::{Endpoint, Router, pass_time, play};
use std::time::Duration;

#[test]
fn a_router_that_ends_finishes_streams_and_tells_clients_to_go() {
    play(async {
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
        pass_time(Duration::from_millis(2_600)).await;
        assert_eq!(idle.rest().await, "");
        upstream.chunk("id: 2\n\n").await;
        upstream.end_chunks().await;
        assert_eq!(streaming.rest().await, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
        router.ended().await;
    });
}

#[test]
fn what_never_ran_is_refused_before_the_process_ends() {
    play(async {
        let mut router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        router.terminate();
        tokio::task::yield_now().await;
        pass_time(Duration::from_millis(2_600)).await;
        pass_time(Duration::from_millis(5_000)).await;
        assert!(client.rest().await.starts_with("HTTP/1.1 503 "));
        router.ended().await;
    });
}

#[test]
fn a_stream_that_outlasts_the_process_does_not_look_whole() {
    play(async {
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
        pass_time(Duration::from_millis(2_600)).await;
        pass_time(Duration::from_millis(5_000)).await;
        assert_eq!(client.rest().await, "");
        router.ended().await;
    });
}
