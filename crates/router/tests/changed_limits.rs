//! Limits that change while clients keep their connections: what holds on a new connection holds on a kept one.

mod common;

use common::{CONFIGURATION, Client, Endpoint, Router, advance_time, run_ready_tasks, run_test};
use lanegate_config::feed::FeedEvent;
use lanegate_router::fault::RouterFault;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// `MaxHeaderBytes` of [`CONFIGURATION`].
const FIRST_HEAD_LIMIT: usize = 4_096;

/// [`CONFIGURATION`] as `version`, with other limits.
fn configuration(version: u64, head_limit: usize, body_limit: usize) -> String {
    CONFIGURATION
        .replace("\"Version\": 1", &format!("\"Version\": {version}"))
        .replace("\"MaxHeaderBytes\": 4096", &format!("\"MaxHeaderBytes\": {head_limit}"))
        .replace("\"MaxBodyBytes\": 1000", &format!("\"MaxBodyBytes\": {body_limit}"))
}

async fn change_head_limit(router: &Router, version: u64, head_limit: usize) {
    router.configure(&configuration(version, head_limit, 1_000));
    run_ready_tasks().await;
}

/// The head of a request for `path`, of `length` bytes.
fn head(path: &str, length: usize) -> String {
    let start = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 7\r\nX-Filler: ");
    let filler = "x".repeat(length - start.len() - 4);
    format!("{start}{filler}\r\n\r\n")
}

/// The status of the answer to a request without a route whose head has `length` bytes.
async fn status_of_head(client: &mut Client, length: usize) -> u16 {
    client.write(head("/none/", length)).await;
    client.answer().await.status
}

/// What a client does before the limit changes, and its connection.
async fn used_client(router: &Router) -> Client {
    let mut client = router.client().await;
    client.get("/none/", "1").await;
    assert_eq!(client.answer().await.status, 404);
    client
}

/// The statuses of a head of 10,000 bytes on a new and on a kept connection, after the limit was raised.
async fn after_raised_limit(fault: Option<RouterFault>) -> (u16, u16) {
    let router = Router::serving_with(fault, &[]).await;
    run_ready_tasks().await;
    let mut kept = used_client(&router).await;
    change_head_limit(&router, 2, 16_384).await;
    let mut new = router.client().await;
    (status_of_head(&mut new, 10_000).await, status_of_head(&mut kept, 10_000).await)
}

/// A kept connection went on with the limit of heads that was in force when it was accepted: proper requests got 431.
#[test]
fn a_kept_connection_gets_a_raised_head_limit() {
    run_test(async {
        assert_eq!(after_raised_limit(None).await, (404, 404));
        assert_eq!(after_raised_limit(Some(RouterFault::KeepHeadLimit)).await, (404, 431), "not detected");
    });
}

#[test]
fn a_kept_connection_gets_a_lowered_head_limit() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut kept = used_client(&router).await;
        change_head_limit(&router, 2, 1_024).await;
        let mut new = router.client().await;
        assert_eq!(status_of_head(&mut new, 2_000).await, 431);
        assert_eq!(status_of_head(&mut kept, 2_000).await, 431);
    });
}

#[test]
fn every_change_of_the_head_limit_reaches_a_kept_connection() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut kept = used_client(&router).await;
        for (version, limit) in [9_000, 2_048, 30_000, 4_096, 70_000, 12_000].into_iter().enumerate() {
            change_head_limit(&router, version as u64 + 2, limit).await;
            assert_eq!(status_of_head(&mut kept, limit).await, 404, "limit {limit}");
            let mut new = router.client().await;
            assert_eq!(status_of_head(&mut new, limit + 1).await, 431, "limit {limit}");
        }
    });
}

/// The limit was none at all for connections that had been accepted before the first configuration came.
#[test]
fn a_connection_from_before_the_first_configuration_gets_its_head_limit() {
    run_test(async {
        let router = Router::start().await;
        let mut early = router.client().await;
        run_ready_tasks().await;
        router.configure(CONFIGURATION);
        run_ready_tasks().await;
        assert_eq!(status_of_head(&mut early, FIRST_HEAD_LIMIT + 1).await, 431);
    });
}

#[test]
fn a_head_that_has_begun_gets_a_raised_limit_and_not_a_lowered_one() {
    run_test(async {
        for (limit, length) in [(16_384, 10_000), (1_024, 4_000)] {
            let router = Router::serving(&[]).await;
            run_ready_tasks().await;
            let mut client = used_client(&router).await;
            let head = head("/none/", length);
            let (begun, rest) = head.split_at(500);
            client.write(begun).await;
            run_ready_tasks().await;
            change_head_limit(&router, 2, limit).await;
            client.write(rest).await;
            assert_eq!(client.answer().await.status, 404, "limit {limit}");
            assert_eq!(status_of_head(&mut client, limit + 1).await, 431, "limit {limit}");
        }
    });
}

/// A part of the next request has been read together with the one before it.
#[test]
fn a_head_that_began_behind_an_open_request_is_kept_across_a_change() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = used_client(&router).await;
        let next = head("/none/", 10_000);
        let (begun, rest) = next.split_at(500);
        let first = "GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 2\r\n\r\n";
        client.write(format!("{first}{begun}")).await;
        let (mut upstream, request) = endpoint.request().await;
        run_ready_tasks().await;
        change_head_limit(&router, 2, 16_384).await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        run_ready_tasks().await;
        client.write(rest).await;
        assert_eq!(client.answer().await.status, 404);
    });
}

/// The answers to requests that the client sends without reading, until the router can write no more, and what is
/// read of them at the end. The limit changes after each answer.
async fn unread_answers(router: &Router, endpoint: &Endpoint, body: &str) -> (usize, usize) {
    let mut client = used_client(router).await;
    client.get("/once/a", "2").await;
    let (mut upstream, mut request) = endpoint.request().await;
    let mut answered = 0;
    loop {
        upstream.answer(&request, body).await;
        answered += 1;
        run_ready_tasks().await;
        change_head_limit(router, answered + 1, 10_000 + answered as usize).await;
        client.get("/once/a", "2").await;
        match timeout(Duration::from_millis(200), upstream.request()).await {
            Ok(next) => request = next,
            Err(_) => break,
        }
    }
    let mut complete = 0;
    while complete < answered && client.answer().await.text() == body {
        complete += 1;
    }
    (answered as usize, complete as usize)
}

/// The connection must not be replaced while it holds a part of an answer that the client does not read yet.
#[test]
fn answers_that_the_client_reads_late_are_complete_after_a_change() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let (answered, complete) = unread_answers(&router, &endpoint, &"y".repeat(40_000)).await;
        assert!(answered > 10, "the buffers of the sockets are full");
        assert_eq!(complete, answered);
    });
}

/// The rest of a body that was refused must never be read as a request.
#[test]
fn the_rest_of_a_refused_body_is_not_read_as_a_request_after_a_change() {
    run_test(async {
        // The change is applied at a different moment of the refusal each time.
        for turns in 0..60 {
            let router = Router::serving(&[]).await;
            run_ready_tasks().await;
            let mut client = router.client().await;
            run_ready_tasks().await;
            client.write("POST /none/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5000000\r\n\r\n").await;
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            router.configure(&configuration(2, 16_384, 1_000));
            let _ = client.stream.write_all(head("/none/", 200).as_bytes()).await;
            run_ready_tasks().await;
            let answers = timeout(Duration::from_secs(5), client.rest()).await.expect("it is closed at once");
            assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{turns} turns: {answers}");
        }
    });
}

/// A body that had begun under a lower limit was held to that limit to its end.
#[test]
fn a_body_that_has_begun_gets_a_raised_limit() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut client = used_client(&router).await;
        client.write("POST /none/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        client.write(format!("320\r\n{}\r\n", "x".repeat(800))).await;
        run_ready_tasks().await;
        router.configure(&configuration(2, FIRST_HEAD_LIMIT, 2_000));
        run_ready_tasks().await;
        client.write(format!("320\r\n{}\r\n0\r\n\r\n", "x".repeat(800))).await;
        assert_eq!(client.answer().await.status, 404);
    });
}

#[test]
fn a_body_that_has_begun_is_not_held_to_a_lowered_limit() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut client = used_client(&router).await;
        client.write("POST /none/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900\r\n\r\n").await;
        client.write("x".repeat(400)).await;
        run_ready_tasks().await;
        router.configure(&configuration(2, FIRST_HEAD_LIMIT, 500));
        run_ready_tasks().await;
        client.write("x".repeat(500)).await;
        assert_eq!(client.answer().await.status, 404);
        client.write("POST /none/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 413);
    });
}

/// A body that had begun before the first configuration came was held to the default limit, and got 413.
#[test]
fn a_body_from_before_the_first_configuration_gets_its_limit() {
    run_test(async {
        let router = Router::start().await;
        let mut client = router.client().await;
        client.write("POST /none/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        run_ready_tasks().await;
        router.configure(&configuration(2, FIRST_HEAD_LIMIT, 6_000_000));
        run_ready_tasks().await;
        client.write(format!("4c4b40\r\n{}\r\n0\r\n\r\n", "x".repeat(5_000_000))).await;
        assert_eq!(client.answer().await.status, 404);
    });
}

/// The idle time-out and the time-out of heads are those in force when they are checked.
#[test]
fn a_kept_connection_gets_changed_timeouts() {
    run_test(async {
        let router = Router::serving(&[]).await;
        run_ready_tasks().await;
        let mut client = used_client(&router).await;
        let longer = configuration(2, FIRST_HEAD_LIMIT, 1_000).replace("15000", "60000");
        router.configure(&longer.replace("\"HeaderTimeoutMs\": 3000", "\"HeaderTimeoutMs\": 9000"));
        run_ready_tasks().await;
        advance_time(Duration::from_millis(40_000)).await;
        client.write("GET /none/ HTTP/1.1\r\nHost: a.exa").await;
        run_ready_tasks().await;
        advance_time(Duration::from_millis(7_500)).await;
        client.write("mple\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 404);
        router.send_event(FeedEvent::Routers { live: 1 });
        router.configure(&configuration(3, FIRST_HEAD_LIMIT, 1_000));
        run_ready_tasks().await;
        advance_time(Duration::from_millis(17_000)).await;
        assert_eq!(client.rest().await, "");
    });
}
