//! What `async-h1` 2.3.4 does with the calls that the control interface takes.
//!
//! The server loop here is the smallest one over its public parts (`decode` and `Encoder`), because its own
//! `accept` cannot be had without a timer of another runtime; see `async_h1_threads.rs`.

#[allow(dead_code)]
mod shared_io;

use async_h1::server::{Encoder, decode};
use futures_lite::io::copy;
use http_types::{Method, Request, Response, StatusCode};
use shared_io::SharedIo;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::time::timeout;

const MANY: usize = 8 << 20;
/// Far beyond what any call takes; the clock of these tests jumps there when nothing moves any more.
const PATIENCE: Duration = Duration::from_secs(600);

fn pair() -> (DuplexStream, SharedIo) {
    let (caller, server) = duplex(MANY);
    (caller, SharedIo::new(server))
}

async fn send(caller: &mut DuplexStream, bytes: &str) {
    caller.write_all(bytes.as_bytes()).await.expect("a pipe with room");
}

async fn next(io: &SharedIo) -> Option<Request> {
    decode(io.clone()).await.expect("a request").map(|(request, _)| request)
}

#[tokio::test]
async fn patch_and_its_headers_are_understood() {
    let (mut caller, io) = pair();
    send(&mut caller, "PATCH /config HTTP/1.1\r\nHost: a\r\nIf-Match: 7\r\nContent-Length: 2\r\n\r\n{}")
        .await;
    let mut request = next(&io).await.expect("a request");
    assert_eq!(request.method(), Method::Patch);
    assert_eq!(request.url().path(), "/config");
    assert_eq!(request.header("If-Match").map(|value| value.as_str()), Some("7"));
    assert_eq!(request.body_bytes().await.expect("a body"), b"{}");
}

#[tokio::test]
async fn requests_one_after_the_other_share_a_connection() {
    let (mut caller, io) = pair();
    for path in ["/status", "/config"] {
        send(&mut caller, &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
        let request = next(&io).await.expect("a request");
        assert_eq!(request.url().path(), path);
    }
}

#[tokio::test]
async fn a_body_of_four_mebibytes_is_read_whole() {
    let (mut caller, io) = pair();
    let length = 4 << 20;
    send(&mut caller, &format!("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n")).await;
    caller.write_all(&vec![b'x'; length]).await.expect("a pipe with room");
    let mut request = next(&io).await.expect("a request");
    assert_eq!(request.body_bytes().await.expect("a body").len(), length);
}

#[tokio::test]
async fn a_location_is_sent_back() {
    let (mut caller, mut io) = pair();
    let mut response = Response::new(StatusCode::TemporaryRedirect);
    response.insert_header("Location", "http://10.0.0.4:8080/config");
    copy(Encoder::new(response, Method::Put), &mut io).await.expect("a pipe with room");
    drop(io);
    let mut sent = String::new();
    caller.read_to_string(&mut sent).await.expect("text");
    assert!(sent.contains("\r\nlocation: http://10.0.0.4:8080/config\r\n"), "{sent}");
}

#[tokio::test]
async fn a_chunked_body_that_is_cut_is_an_error() {
    let (mut caller, io) = pair();
    send(&mut caller, "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel").await;
    drop(caller);
    let mut request = next(&io).await.expect("a request");
    assert!(request.body_bytes().await.is_err());
}

/// Fails the interface, but can be mended by comparing lengths.
#[tokio::test]
async fn a_body_with_a_length_that_is_cut_is_taken_as_whole() {
    let (mut caller, io) = pair();
    send(&mut caller, "PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhel").await;
    drop(caller);
    let mut request = next(&io).await.expect("a request");
    assert_eq!(request.len(), Some(5));
    assert_eq!(request.body_bytes().await.expect("no error"), b"hel");
}

/// Fails the interface: each call of `decode` has a buffer of its own, which takes what follows with it.
#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_with_the_one_before_is_lost() {
    let (mut caller, io) = pair();
    let request = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
    send(&mut caller, &format!("{request}{request}")).await;
    assert!(next(&io).await.is_some());
    assert!(timeout(PATIENCE, next(&io)).await.is_err());
}

/// Fails the interface: the end of the trailers is waited for without a waker.
#[tokio::test(start_paused = true)]
async fn a_chunked_body_whose_last_line_end_is_split_never_ends() {
    let (mut caller, io) = pair();
    let head = "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    send(&mut caller, &format!("{head}2\r\n{{}}\r\n0\r\n\r")).await;
    let mut request = next(&io).await.expect("a request");
    let reading = tokio::spawn(async move { request.body_bytes().await });
    tokio::task::yield_now().await;
    send(&mut caller, "\n").await;
    assert!(timeout(PATIENCE, reading).await.is_err());
}

#[tokio::test]
async fn head_and_body_of_a_small_answer_are_two_writes() {
    let (_caller, mut io) = pair();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body("{}");
    copy(Encoder::new(response, Method::Get), &mut io).await.expect("a pipe with room");
    assert_eq!(io.writes(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_head_that_stalls_can_be_timed_out_from_outside() {
    let (mut caller, io) = pair();
    send(&mut caller, "GET /status HT").await;
    assert!(timeout(Duration::from_secs(3), next(&io)).await.is_err());
}
