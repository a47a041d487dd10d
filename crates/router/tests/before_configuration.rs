//! Requests that arrive before the first configuration wait for it, for a fraction of the time that their client allows.

mod common;

use common::{CONFIGURATION, Client, Endpoint, Router, advance_time, run_ready_tasks, run_test};
use lanegate_config::feed::FeedEvent;
use lanegate_router::routing::configuration_wait::{ConfigurationWait, WaitOutcome};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Sends a request for `/again/x` with this deadline in ms.
async fn send_request(client: &mut Client, id: &str, deadline_ms: u32) {
    let head = format!(
        "GET /again/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
    );
    client.write(head).await;
    run_ready_tasks().await;
}

fn configure_and_register(router: &Router, endpoint: &Endpoint) {
    router.configure(CONFIGURATION);
    router.send_event(endpoint.registration("plain"));
    router.send_event(FeedEvent::Routers { live: 1 });
    router.send_event(FeedEvent::Synchronized);
}

#[test]
fn a_request_waits_for_the_configuration_and_is_served() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::start().await;
        let mut client = router.client().await;
        send_request(&mut client, "1", 8_000).await;
        advance_time(Duration::from_millis(1_400)).await;
        configure_and_register(&router, &endpoint);
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "served").await;
        assert_eq!(client.answer().await.text(), "served");
    });
}

#[test]
fn a_request_is_refused_after_a_quarter_of_its_time() {
    run_test(async {
        let router = Router::start().await;
        let mut client = router.client().await;
        send_request(&mut client, "1", 2_000).await;
        advance_time(Duration::from_millis(520)).await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.header("Retry-After")), (503, Some("0.250")));
    });
}

#[test]
fn a_long_client_deadline_does_not_extend_the_wait_beyond_its_limit() {
    run_test(async {
        let router = Router::start().await;
        let mut client = router.client().await;
        send_request(&mut client, "1", 600_000).await;
        advance_time(Duration::from_millis(1_520)).await;
        assert_eq!(client.answer().await.status, 503);
    });
}

#[test]
fn no_request_waits_during_shutdown() {
    run_test(async {
        let mut router = Router::start().await;
        let mut waiting = router.client().await;
        send_request(&mut waiting, "1", 6_000).await;
        router.terminate();
        assert_eq!(waiting.answer().await.status, 503, "a waiting request is refused at once");
    });
}

#[test]
fn a_client_that_disconnects_releases_its_slot() {
    run_test(async {
        let wait = std::rc::Rc::new(ConfigurationWait::default());
        let arrived = Instant::now();
        let waiting = {
            let wait = wait.clone();
            spawn_local(async move { wait.wait(arrived, Some(Duration::from_secs(6)), 10).await })
        };
        run_ready_tasks().await;
        assert_eq!(wait.waiting(), 1);
        waiting.abort();
        run_ready_tasks().await;
        assert_eq!(wait.waiting(), 0);
    });
}

#[test]
fn the_number_and_size_of_waiting_requests_are_bounded() {
    run_test(async {
        let arrived = Instant::now();
        let time = Some(Duration::from_secs(6));
        for (requests, bytes, fits) in
            [(255, 10, true), (256, 10, false), (7, 1 << 20, true), (8, 1 << 20, false)]
        {
            let wait = std::rc::Rc::new(ConfigurationWait::default());
            for _ in 0..requests {
                let wait = wait.clone();
                spawn_local(async move { wait.wait(arrived, time, bytes).await });
            }
            run_ready_tasks().await;
            assert_eq!(wait.waiting(), requests);
            let further = {
                let wait = wait.clone();
                spawn_local(async move { wait.wait(arrived, time, bytes).await })
            };
            run_ready_tasks().await;
            wait.wake();
            let end = if fits { WaitOutcome::Notified } else { WaitOutcome::Full };
            assert_eq!(further.await.unwrap(), end, "{requests} requests of {bytes} bytes");
        }
    });
}
