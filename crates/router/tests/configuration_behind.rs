//! A router whose configuration may be outdated refuses unknown routes with `Retry-After` instead of rejecting them.

mod common;

use common::{CONFIGURATION, Endpoint, Router, run_test};
use lanegate_config::feed::FeedEvent;

#[test]
fn an_unknown_route_is_refused_with_retry_after_while_a_newer_configuration_may_have_it() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        router.send_event(FeedEvent::Behind { behind: true });
        let mut client = router.client().await;
        client.get("/new/x", "1").await;
        let answer = client.answer().await;
        assert_eq!((answer.status, answer.header("Retry-After")), (503, Some("0.250")));

        client.get("/again/x", "2").await;
        let (mut upstream, request) = endpoint.request().await;
        upstream.answer(&request, "served").await;
        assert_eq!(client.answer().await.text(), "served", "known routes are served");

        let newer = CONFIGURATION.replace("\"Version\": 1", "\"Version\": 2").replace("/once/", "/new/");
        router.configure(&newer);
        router.send_event(FeedEvent::Behind { behind: false });
        client.get("/new/x", "3").await;
        let request = upstream.request().await;
        upstream.answer(&request, "new").await;
        assert_eq!(client.answer().await.text(), "new");
        client.get("/other/x", "4").await;
        assert_eq!(client.answer().await.status, 404, "the configuration is up to date");
    });
}
