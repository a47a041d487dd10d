//! Request framing: where one request ends and the next begins, and invalid requests.

mod common;

use common::{Endpoint, Router, run_test};

#[test]
fn a_request_after_a_chunked_one_is_separate() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
                 4\r\nGET \r\n6\r\n/x HT\n\r\n0\r\n\r\n\
                 POST /once/b HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 2\r\nContent-Length: 2\r\n\r\nok",
            )
            .await;
        let (mut upstream, first) = endpoint.request().await;
        assert_eq!(first.first_line, "POST /once/a HTTP/1.1");
        assert_eq!(first.text(), "GET /x HT\n");
        assert_eq!(first.header("Content-Length"), Some("10"));
        assert_eq!(first.header("Transfer-Encoding"), None);
        upstream.answer(&first, "one").await;
        let second = upstream.request().await;
        assert_eq!((second.header("Attempt-Id"), second.text()), (Some("2"), "ok"));
        upstream.answer(&second, "two").await;
        assert_eq!(client.answer().await.header("Attempt-Id"), Some("1"));
        assert_eq!(client.answer().await.header("Attempt-Id"), Some("2"));
    });
}

#[test]
fn two_different_lengths_are_rejected() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: 3\r\n\
                 Content-Length: 4\r\n\r\nabcd",
            )
            .await;
        assert!(client.rest().await.starts_with("HTTP/1.1 400 "));
    });
}

#[test]
fn no_request_is_smuggled_after_a_contradictory_length_and_encoding() {
    run_test(async {
        let endpoint = Endpoint::start("i-1").await;
        let router = Router::serving(&[&endpoint]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: 4\r\n\
                 Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
                 GET /once/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 2\r\n\r\n",
            )
            .await;
        let (mut upstream, request) = endpoint.request().await;
        assert_eq!(request.header("Attempt-Id"), Some("1"));
        assert!(request.body.is_empty());
        upstream.answer(&request, "one").await;
        let seen = client.rest().await;
        assert_eq!(seen.matches("HTTP/1.1 ").count(), 1, "{seen}");
    });
}

#[test]
fn an_encoding_that_does_not_end_in_chunked_is_rejected() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client
            .write("POST /once/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n")
            .await;
        assert!(client.rest().await.starts_with("HTTP/1.1 400 "));
    });
}

#[test]
fn two_hosts_are_rejected() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client.write("GET /once/a HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n").await;
        assert_eq!(client.answer().await.status, 400);
    });
}

#[test]
fn a_chunk_with_an_invalid_length_is_rejected() {
    run_test(async {
        let router = Router::serving(&[]).await;
        let mut client = router.client().await;
        client
            .write(
                "POST /once/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
            )
            .await;
        assert!(client.rest().await.starts_with("HTTP/1.1 400 "));
    });
}
