//! Requests and answers are forwarded unchanged.

mod common;

use common::{CONFIGURATION, Endpoint, Router, answer_to, first_request, run_test, two_endpoints};
use lanegate_config::feed::FeedEvent;

#[test]
fn a_request_reaches_its_endpoint_unchanged_and_its_answer_the_client() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /again/x/../%2e%2E//y;z?a=1&b=%20?c HTTP/1.1\r\nHost: A.Example:8080\r\nAttempt-Id: 7f\r\n\
                 Deadline-Ms: 4000\r\nX-Own: one\r\nX-Own: two\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\
                 Content-Length: 5\r\n\r\nhello",
            )
            .await;
        let (mut upstream, request) = endpoint.request().await;
        assert_eq!(request.first_line, "POST /again/x/../%2e%2E//y;z?a=1&b=%20?c HTTP/1.1");
        assert_eq!(request.text(), "hello");
        assert_eq!(request.header("Attempt-Id"), Some("7f"));
        assert_eq!(request.header("Host"), Some("A.Example:8080"));
        assert_eq!(request.header("Expect-Instance"), Some("i-1"));
        assert_eq!(request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("x-own")).count(), 2);
        assert_eq!(request.header("X-Hop"), None);
        assert_eq!(request.header("Connection"), None);
        let left: u64 = request.header("Deadline-Ms").unwrap().parse().unwrap();
        assert!((1..4_000).contains(&left));
        upstream.answer(&request, "the answer").await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.text(), "the answer");
        assert_eq!(answer.header("Server-Signature"), Some("s1"));
        assert_eq!(answer.header("Attempt-Id"), Some("7f"));
        assert_eq!(answer.header("Keep-Alive"), None);
    });
}

#[test]
fn an_error_of_the_endpoint_is_forwarded_with_status_body_and_signature() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "7f").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.write(answer_to(&request, "500 Internal Server Error", "broken")).await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.text()), (500, "broken"));
        assert_eq!(answer.header("Server-Signature"), Some("s1"));
    });
}

#[test]
fn connections_on_both_sides_are_reused() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client.get("/once/a", "1").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "first").await;
        assert_eq!(client.answer().await.text(), "first");
        for id in ["2", "3"] {
            client.get("/once/a", id).await;
            let request = upstream.request().await;
            assert_eq!(request.header("Attempt-Id"), Some(id));
            upstream.answer(&request, id).await;
            assert_eq!(client.answer().await.text(), id);
        }
    });
}

#[test]
fn the_longest_prefix_matches_and_unknown_routes_get_404() {
    run_test(async {
        let plain = Endpoint::start("i-1").await;
        let other = Endpoint::start("i-2").await;
        let router = Router::serving(&[&plain]).await;
        router.send_event(other.registration("other"));
        let mut client = router.client().await;
        client.get("/again/deeper/x", "1").await;
        let (mut upstream, request) = other.request().await;
        upstream.answer(&request, "deep").await;
        assert_eq!(client.answer().await.text(), "deep");
        client.get("/again", "2").await;
        assert_eq!(client.answer().await.status, 404);
        client.write("GET /again/x HTTP/1.1\r\nHost: b.example\r\nAttempt-Id: 3\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 404);
    });
}

#[test]
fn a_request_before_the_first_configuration_is_refused_with_retry_after() {
    run_test(async {
        let router = Router::start().await;
        assert_eq!(router.readiness().await, 503);
        let mut client = router.client().await;
        client.get("/again/x", "1").await;
        let answer = client.answer().await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("Retry-After").is_some());
    });
}

#[test]
fn a_router_is_ready_with_a_configuration_and_a_complete_feed() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        tokio::task::yield_now().await;
        assert_eq!(router.readiness().await, 200);
    });
}

#[test]
fn model_headers_are_forwarded_unchanged_with_each_attempt_and_a_priority_is_added() {
    run_test(async {
        let endpoints = two_endpoints().await;
        let router = Router::serving(&[]).await;
        let runtime = r#""Runtime": {"Capacity": 8, "KvCacheTokens": 90000, "WeightsMb": 100000, "MaxAdapters": 2,
            "LoadsPerS": 1, "Models": [{"Name": "m1", "WeightsMb": 70000, "LoadTimeS": 1, "Adapters": 2,
            "AdapterSizeMb": 10}]}"#;
        router.configure(
            &CONFIGURATION
                .replace("\"Version\": 1", "\"Version\": 2")
                .replace("{\"Name\": \"plain\",", &format!("{{\"Name\": \"plain\", {runtime},")),
        );
        for endpoint in &endpoints {
            let instance = serde_json::json!({
                "Id": endpoint.id, "Backend": "plain", "Address": endpoint.address, "Zone": "z1", "Capacity": 8,
                "State": "ready", "Sequence": 1, "Models": [{"Name": "m1", "Version": 1, "Adapters": ["a1"]}],
            });
            router.send_event(FeedEvent::Instance(serde_json::from_value(instance).unwrap()));
        }
        let asked = [("Model", "m1/a1"), ("Token-Usage", "1460,80"), ("Prompt-Prefix", "5c1e:800,91bd:410")];
        let lines: String = asked.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let mut client = router.client().await;
        client
            .write(format!("GET /again/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n{lines}\r\n"))
            .await;
        let (upstream, first) = first_request(&endpoints).await;
        upstream.reset();
        let (mut upstream, second) = first_request(&endpoints).await;
        for request in [&first, &second] {
            for (name, value) in asked {
                assert_eq!(request.header(name), Some(value));
            }
            let priority: u8 = request.header("Priority").unwrap().parse().unwrap();
            assert!(priority <= 9);
        }
        upstream.answer(&second, "done").await;
        assert_eq!(client.answer().await.text(), "done");
    });
}
