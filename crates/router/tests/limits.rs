//! Limits for clients: sizes, time-outs and idle time.

mod common;

use common::{CONFIGURATION, Endpoint, Router, advance_time, answer_to, run_ready_tasks, run_test};
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

/// A head of `fields` short fields, beside those that every request has.
fn head_of_fields(fields: usize) -> String {
    let fields: String = (0..fields).map(|number| format!("X-{number}: 7\r\n")).collect();
    format!("GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n{fields}\r\n")
}

/// The HTTP library refuses heads of more than a hundred fields, whatever their size (review/7).
#[test]
fn a_head_within_the_limit_is_served_whatever_its_number_of_fields() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        for fields in [98, 99, 125, 340] {
            let head = head_of_fields(fields);
            assert!(head.len() < 4_096, "{fields} fields have {} bytes", head.len());
            let mut client = router.client().await;
            client.write(head).await;
            let (mut upstream, request) = endpoint.request().await;
            let last = format!("X-{}", fields - 1);
            assert_eq!(request.header(&last), Some("7"), "{fields} fields");
            upstream.answer(&request, "").await;
            assert_eq!(client.answer().await.status, 200, "{fields} fields");
        }
    });
}

#[test]
fn a_head_over_the_limit_gets_431_whatever_its_number_of_fields() {
    run_test(async {
        let router = Router::serving(&[]).await;
        tokio::task::yield_now().await;
        let mut client = router.client().await;
        client.write(head_of_fields(600)).await;
        assert!(client.rest().await.starts_with("HTTP/1.1 431 "));
    });
}

/// The table of header fields has room for a number of fields; a head with more ends the request, not the router.
#[test]
fn a_head_of_tens_of_thousands_of_fields_is_answered() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("\"MaxHeaderBytes\": 4096", "\"MaxHeaderBytes\": 1000000"),
        );
        run_ready_tasks().await;
        let mut client = router.client().await;
        client.write(head_of_fields(20_000)).await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "").await;
        assert_eq!(client.answer().await.status, 200);
        for fields in [24_577, 32_768, 40_000, 66_000] {
            let mut client = router.client().await;
            client.write(head_of_fields(fields)).await;
            assert!(client.rest().await.starts_with("HTTP/1.1 431 "), "{fields} fields");
        }
        let mut client = router.client().await;
        client.get("/once/a", "2").await;
        let request = upstream.request().await;
        upstream.answer(&request, "").await;
        assert_eq!(client.answer().await.status, 200);
    });
}

/// An answer with more than a hundred fields counted as bytes that are no answer.
#[test]
fn an_answer_of_many_fields_reaches_the_client() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        let fields: String = (0..500).map(|number| format!("X-{number}: 7\r\n")).collect();
        let answer = answer_to(&request, "200 OK", "body").replacen("\r\n", &format!("\r\n{fields}"), 1);
        upstream.write(answer).await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.header("X-499"), answer.text()), (200, Some("7"), "body"));
    });
}

/// A late answer was told apart from the one that is waited for only if it had few fields.
#[test]
fn a_late_answer_of_many_fields_is_discarded() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, first) = endpoint.request().await;
        upstream.answer(&first, "first").await;
        client.answer().await;
        client.get("/once/a", "2").await;
        let second = upstream.request().await;
        let fields: String = (0..300).map(|number| format!("X-{number}: 7\r\n")).collect();
        let late = answer_to(&first, "200 OK", "first").replacen("\r\n", &format!("\r\n{fields}"), 1);
        upstream.write(late).await;
        run_ready_tasks().await;
        upstream.answer(&second, "second").await;
        let answer = client.answer().await;
        assert_eq!((answer.header("Attempt-Id"), answer.text()), (Some("2"), "second"));
    });
}
