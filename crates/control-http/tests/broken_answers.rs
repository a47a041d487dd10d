//! A client takes no answer for complete whose end is in doubt, or that is no answer.

#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
#[path = "../../http-framing/tests/common/answers.rs"]
mod answers;

use answers::{BODY, BROKEN, BROKEN_ONCE_CLOSED, BrokenAnswer, IN_ORDER};
use lanegate_control_http::{CallError, ClientConnection, ClientRequest, ClientResponse, call};
use lanegate_http_framing::FramingError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Longer than any answer takes; only an answer that is not refused at once takes as long.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Number of answers that are tried at a time.
const CONCURRENT_ANSWERS: usize = 8;
const FIELDS: &str = "Location: http://127.0.0.1:1/x\r\n";

/// Reads the head of a request without a body.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return false };
        head.push(byte);
    }
    true
}

/// A server that answers each request of a connection with the next of `answers`, and then closes the connection or
/// waits for the client to do so.
async fn server(answers: Vec<String>, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        for answer in answers {
            if !read_head(&mut stream).await {
                return;
            }
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        if !closes {
            let _ = stream.read_u8().await;
        }
    });
    address
}

/// Adds to `report` what is wrong with the result of a call that was answered with `answer`.
fn check_refused(answer: &BrokenAnswer, result: Result<ClientResponse, CallError>, report: &mut Vec<String>) {
    let refusal = result.as_ref().err().and_then(|error| FramingError::cause_of(error));
    match (&result, refusal) {
        (Err(error @ CallError::Broken(_)), Some(refusal)) if refusal.reason() == answer.reason => {
            assert!(error.may_have_run());
            assert!(error.to_string().contains(&refusal.to_string()), "{error}");
        }
        _ => report.push(format!("{answer:?}: {result:?}")),
    }
}

#[tokio::test]
async fn a_broken_answer_is_an_error_and_the_call_may_have_run() {
    let mut report = Vec::new();
    let tries = async {
        let all: Vec<&BrokenAnswer> = BROKEN.iter().chain(BROKEN_ONCE_CLOSED).collect();
        for answers in all.chunks(CONCURRENT_ANSWERS) {
            let mut calls = tokio::task::JoinSet::new();
            for &answer in answers {
                let needs_close = BROKEN_ONCE_CLOSED.iter().any(|other| std::ptr::eq(other, answer));
                for closes in [false, true].into_iter().filter(|closes| *closes || !needs_close) {
                    let address = server(vec![answer.with_fields(FIELDS)], closes).await;
                    calls.spawn_local(async move {
                        (answer, call(address, &ClientRequest::post("/order", ""), TIMEOUT).await)
                    });
                }
            }
            for (answer, result) in calls.join_all().await {
                check_refused(answer, result, &mut report);
            }
        }
    };
    LocalSet::new().run_until(tries).await;
    assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
}

#[tokio::test]
async fn a_broken_answer_on_a_connection_used_again_closes_it() {
    let mut report = Vec::new();
    let tries = async {
        for answer in BROKEN {
            let address = server(vec![IN_ORDER[0].with_fields(""), answer.with_fields(FIELDS)], false).await;
            let mut connection = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
            let first = connection.call(&ClientRequest::get("/a"), TIMEOUT).await;
            assert_eq!(first.expect("an answer").body, BODY);
            let second = connection.call(&ClientRequest::get("/b"), TIMEOUT).await;
            check_refused(answer, second, &mut report);
            if connection.is_open() {
                report.push(format!("{answer:?}: the connection stays open"));
            }
        }
    };
    LocalSet::new().run_until(tries).await;
    assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
}

#[tokio::test]
async fn an_answer_in_order_is_returned() {
    let tries = async {
        for answer in IN_ORDER {
            let address = server(vec![answer.with_fields(FIELDS)], answer.until_close).await;
            let result = call(address, &ClientRequest::get("/x"), TIMEOUT).await;
            let response = result.unwrap_or_else(|error| panic!("{answer:?}: {error:?}"));
            assert_eq!((response.status, &response.body[..]), (200, BODY.as_bytes()), "{answer:?}");
            assert_eq!(response.location.as_deref(), Some("http://127.0.0.1:1/x"));
        }
    };
    LocalSet::new().run_until(tries).await;
}

#[tokio::test]
async fn an_extra_answer_is_not_taken_for_the_next_one() {
    let tries = async {
        for answer in IN_ORDER.iter().filter(|answer| !answer.until_close) {
            let extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
            let address = server(vec![answer.with_fields("") + extra, String::new()], false).await;
            let mut connection = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
            let first = connection.call(&ClientRequest::get("/a"), TIMEOUT).await;
            assert_eq!(first.expect("an answer").body, BODY, "{answer:?}");
            let second = connection.call(&ClientRequest::get("/b"), TIMEOUT).await;
            assert!(second.is_err(), "{answer:?}: {second:?}");
        }
    };
    LocalSet::new().run_until(tries).await;
}
