//! A client connection is never closed without an answer after one of its requests was forwarded to an endpoint.

mod common;

use common::{Endpoint, Router, advance_time, run_ready_tasks, run_test};
use lanegate_router::fault::RouterFault;
use std::time::Duration;

/// Longer than the time-out of every route plus the grace time after which the connections of stalled clients are closed.
const STALL: Duration = Duration::from_secs(30);

/// What a client receives if the process stalls until long after the deadline of a request that was sent to an endpoint. After
/// the stall, all timers that expired meanwhile fire at once.
async fn answer_after_stall(fault: Option<RouterFault>) -> String {
    let endpoint = Endpoint::start("i-1").await;
    let router = Router::serving_with(fault, &[&endpoint]).await;
    let mut client = router.client().await;
    client
        .write("GET /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nConnection: close\r\n\r\n")
        .await;
    let (_upstream, _request) = endpoint.request().await;
    advance_time(STALL).await;
    client.rest().await
}

#[test]
fn a_deadline_that_passed_during_a_stall_is_answered() {
    run_test(async {
        let answer = answer_after_stall(None).await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer:?}");
    });
}

#[test]
fn a_connection_that_is_checked_by_the_current_time_after_a_stall_is_detected() {
    run_test(async {
        assert_eq!(answer_after_stall(Some(RouterFault::CheckAtCurrentTime)).await, "");
    });
}

/// The connection is reused for a second request, whose answer arrives during a stall.
#[test]
fn an_answer_that_arrived_during_a_stall_reaches_its_client_or_504_does() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        client.get("/once/b", "2").await;
        let request = upstream.request().await;
        upstream.answer(&request, "second").await;
        advance_time(STALL).await;
        let answer = client.answer().await;
        assert!(answer.status == 504 || answer.text() == "second", "{answer:?}");
    });
}

/// After a stall, too, a client that does not read its answer is disconnected.
#[test]
fn the_connection_of_a_client_that_reads_no_answer_is_aborted() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/stream/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.begin_events(&request).await;
        upstream.chunk("id: 1\ndata: x\n\n").await;
        client.read_through("data: x\n\n\r\n").await;
        advance_time(STALL).await;
        run_ready_tasks().await;
        upstream.closed().await;
    });
}
