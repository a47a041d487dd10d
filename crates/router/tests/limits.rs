//! Limits for clients: sizes, time-outs and idle time.

mod common;

use common::{Endpoint, Router, advance_time, run_test};
use std::time::Duration;

#[test]
fn a_head_over_the_limit_gets_431() {
    run_test(async {
        let router = Router::serving(&[]).await;
        tokio::task::yield_now().await;
        let mut client = router.client().await;
        let filler = "x".repeat(4_096);
        client.write(format!("GET /once/a HTTP/1.1\r\nHost: a.example\r\nX-Filler: {filler}\r\n\r\n")).await;
        assert!(client.rest().await.starts_with("HTTP/1.1 431 "));
    });
}

#[test]
fn a_body_over_the_limit_gets_413_with_a_length_and_chunked() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.write("POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1001\r\n\r\n").await;
        assert!(client.rest().await.starts_with("HTTP/1.1 413 "));
        let mut client = router.client().await;
        let chunk = format!("1f4\r\n{}\r\n", "x".repeat(500));
        client.write("POST /once/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        client.write(format!("{chunk}{chunk}1\r\nx\r\n0\r\n\r\n")).await;
        assert!(client.rest().await.starts_with("HTTP/1.1 413 "));
    });
}

#[test]
fn a_body_at_the_limit_is_accepted() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        let body = "x".repeat(1_000);
        client
            .write(format!(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: 1000\r\n\r\n{body}"
            ))
            .await;
        let (mut upstream, request) = endpoint.request().await;
        assert_eq!(request.body.len(), 1_000);
        upstream.answer(&request, "").await;
        assert_eq!(client.answer().await.status, 200);
    });
}

#[test]
fn an_idle_connection_is_closed_after_its_timeout() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/none/", "1").await;
        assert_eq!(client.answer().await.status, 404);
        advance_time(Duration::from_millis(14_000)).await;
        client.get("/none/", "2").await;
        assert_eq!(client.answer().await.status, 404);
        advance_time(Duration::from_millis(16_500)).await;
        assert_eq!(client.rest().await, "");
    });
}

#[test]
fn an_incomplete_head_times_out() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.write("GET /once/a HTTP/1.1\r\nHost: a.exa").await;
        client.write("mple\r\nX-").await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        advance_time(Duration::from_millis(4_500)).await;
        assert_eq!(client.rest().await, "");
    });
}
