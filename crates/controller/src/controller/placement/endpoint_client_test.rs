use crate::controller::placement::endpoint_client::EndpointClient;
use answers::{BROKEN, BROKEN_ONCE_CLOSED, IN_ORDER};
use lanegate_placement::{Operation, Order, OrderAnswer, OrderId};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

#[allow(unreachable_pub, reason = "the file is shared with the tests of other crates")]
#[path = "../../../../http-framing/tests/common/answers.rs"]
mod answers;

/// How long a test waits before it concludes that an event does not occur.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(60);

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        timeout(Duration::from_secs(10), test).await.expect("the test timed out");
    }));
}

/// A deadline that leaves enough time to connect.
fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

async fn endpoint() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn order(address: SocketAddr, if_revision: u64) -> Order {
    Order {
        id: OrderId(1),
        instance: Arc::from("i-1"),
        address,
        operation: Operation::Load,
        model: Arc::from("m1"),
        adapter: None,
        if_revision,
    }
}

/// Reads one request: its head, and its body as JSON if it has one.
async fn read_call(stream: &mut TcpStream) -> (String, serde_json::Value) {
    let mut read = Vec::new();
    loop {
        assert_ne!(stream.read_buf(&mut read).await.unwrap(), 0, "the call ended early");
        let text = String::from_utf8(read.clone()).unwrap();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.parse().unwrap());
        if body.len() == length {
            return (head.to_owned(), serde_json::from_str(body).unwrap_or_default());
        }
    }
}

/// Sends an order to an endpoint that answers with `bytes` and closes. Returns the outcome.
async fn answered_with(bytes: &'static str) -> OrderAnswer {
    let (listener, address) = endpoint().await;
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_call(&mut stream).await;
        stream.write_all(bytes.as_bytes()).await.unwrap();
    });
    EndpointClient::default().send_order(&order(address, 0), "core-1", 7, soon()).await
}

#[test]
fn an_order_names_its_owner_its_token_and_the_incarnation_that_it_is_for() {
    run_test(async {
        for if_revision in [0, 3] {
            let (listener, address) = endpoint().await;
            let given = spawn_local(async move {
                EndpointClient::default().send_order(&order(address, if_revision), "core-1", 7, soon()).await
            });
            let (mut stream, _) = listener.accept().await.unwrap();
            let (head, body) = read_call(&mut stream).await;
            assert!(head.starts_with("POST /order HTTP/1.1\r\n"), "{head}");
            assert!(head.contains("expect-instance: i-1"), "{head}");
            let expected = serde_json::json!({
                "Operation": "load", "Model": "m1", "IfRevision": if_revision, "Owner": "core-1",
                "FencingToken": 7,
            });
            assert_eq!(body, expected);
            stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            assert_eq!(given.await.unwrap(), OrderAnswer::Accepted);
        }
    });
}

#[test]
fn only_a_complete_explicit_answer_proves_that_an_order_was_not_executed() {
    run_test(async {
        let cases = [
            ("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Accepted),
            ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", OrderAnswer::AlreadyDone),
            ("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Conflict),
            ("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Fenced),
            ("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", OrderAnswer::WrongInstance),
            ("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Invalid),
            ("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Unavailable),
            ("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Unknown),
            ("HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Unknown),
            ("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", OrderAnswer::Unknown),
            ("HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\nx", OrderAnswer::Unknown),
            ("HTTP/1.1 2", OrderAnswer::Unknown),
            ("", OrderAnswer::Unknown),
            ("no answer\r\n\r\n", OrderAnswer::Unknown),
            (
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n\
                 HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
                OrderAnswer::Accepted,
            ),
        ];
        for (bytes, expected) in cases {
            assert_eq!(answered_with(bytes).await, expected, "{bytes}");
        }
    });
}

#[test]
fn an_order_that_reached_nobody_was_not_taken() {
    run_test(async {
        let (listener, address) = endpoint().await;
        drop(listener);
        assert_eq!(
            EndpointClient::default().send_order(&order(address, 0), "core-1", 7, soon()).await,
            OrderAnswer::Unavailable
        );
    });
}

#[test]
fn an_order_without_an_answer_is_sent_once_and_its_connection_reset() {
    run_test(async {
        let (listener, address) = endpoint().await;
        let given = spawn_local(async move {
            EndpointClient::default().send_order(&order(address, 0), "core-1", 7, soon()).await
        });
        let (mut stream, _) = listener.accept().await.unwrap();
        read_call(&mut stream).await;
        assert_eq!(given.await.unwrap(), OrderAnswer::Unknown);
        let end = stream.read(&mut [0; 8]).await.map_err(|error| error.kind());
        assert_eq!(end, Err(ErrorKind::ConnectionReset));
        assert!(timeout(ABSENCE_TIMEOUT, listener.accept()).await.is_err(), "the order was sent again");
    });
}

#[test]
fn a_report_of_another_incarnation_is_none() {
    run_test(async {
        for (answer, expected) in [
            ("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Sequence\":4}", Some(4)),
            ("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 14\r\n\r\n{\"Sequence\":4}", Some(4)),
            ("HTTP/1.1 200 OK\r\nInstance-Id: i-2\r\nContent-Length: 14\r\n\r\n{\"Sequence\":4}", None),
            ("HTTP/1.1 421 Misdirected\r\nContent-Length: 14\r\n\r\n{\"Sequence\":4}", None),
            ("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"Sequence\":4}", None),
        ] {
            let (listener, address) = endpoint().await;
            let in_flight =
                spawn_local(async move { EndpointClient::default().request_report("i-1", address).await });
            let (mut stream, _) = listener.accept().await.unwrap();
            let (head, _) = read_call(&mut stream).await;
            assert!(head.contains("expect-instance: i-1"), "{head}");
            stream.write_all(answer.as_bytes()).await.unwrap();
            drop(stream);
            assert_eq!(in_flight.await.unwrap().map(|report| report.sequence), expected, "{answer}");
        }
    });
}

/// The answer to one call of an endpoint that keeps the connection open or closes it. `call` is given the address.
async fn answer_of<F: Future>(bytes: String, closes: bool, call: impl FnOnce(SocketAddr) -> F) -> F::Output {
    let (listener, address) = endpoint().await;
    let serving = spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_call(&mut stream).await;
        stream.write_all(bytes.as_bytes()).await.unwrap();
        if !closes {
            let _ = stream.read_u8().await;
        }
        drop(stream);
        assert!(timeout(ABSENCE_TIMEOUT, listener.accept()).await.is_err(), "the call was sent again");
    });
    let result = call(address).await;
    serving.await.unwrap();
    result
}

/// Statuses that would each be an outcome of an order in an answer in order.
const STATUSES: [&str; 6] = ["200", "202", "409", "412", "421", "503"];

#[test]
fn a_broken_answer_to_an_order_proves_nothing() {
    run_test(async {
        let mut report = Vec::new();
        for (number, answer) in BROKEN.iter().chain(BROKEN_ONCE_CLOSED).enumerate() {
            let status = format!(" {} ", STATUSES[number % STATUSES.len()]);
            let bytes = answer.with_fields("Not-Executed: 1\r\n").replacen(" 200 ", &status, 1);
            let client = EndpointClient::default();
            let caller = client.clone();
            let given = answer_of(bytes, true, |address| async move {
                caller.send_order(&order(address, 0), "core-1", 7, soon()).await
            });
            let given = given.await;
            assert!(client.refusals().iter().eq([("i-1", answer.reason, 1)]), "{answer:?}");
            if given != OrderAnswer::Unknown {
                report.push(format!("{answer:?} with status{status}: {given:?}"));
            }
        }
        assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
    });
}

#[test]
fn a_broken_report_is_none() {
    run_test(async {
        let mut report = Vec::new();
        for answer in BROKEN {
            let bytes = answer.with_fields("").replace("abcdef", "{    }");
            let given = answer_of(bytes, true, |address| async move {
                EndpointClient::default().request_report("i-1", address).await
            });
            if let Some(given) = given.await {
                report.push(format!("{answer:?}: {given:?}"));
            }
        }
        assert!(report.is_empty(), "{} faults:\n{}", report.len(), report.join("\n"));
    });
}

#[test]
fn answers_in_order_are_understood() {
    run_test(async {
        for answer in IN_ORDER {
            let bytes = answer.with_fields("");
            let given = answer_of(bytes.clone(), answer.until_close, |address| async move {
                EndpointClient::default().send_order(&order(address, 0), "core-1", 7, soon()).await
            });
            assert_eq!(given.await, OrderAnswer::AlreadyDone, "{answer:?}");
            let bytes = bytes
                .replace("abcdef", "{    }")
                .replace("\r\nab\r\n", "\r\n{ \r\n")
                .replace("\r\ncdef\r\n", "\r\n   }\r\n");
            let given = answer_of(bytes, answer.until_close, |address| async move {
                EndpointClient::default().request_report("i-1", address).await
            });
            assert!(given.await.is_some(), "{answer:?}");
        }
    });
}

/// The process stalled after the order was authorized, before sending it or while connecting.
#[test]
fn an_order_that_is_late_is_not_sent() {
    run_test(async {
        let (listener, address) = endpoint().await;
        let late = Instant::now() - Duration::from_millis(1);
        assert_eq!(
            EndpointClient::default().send_order(&order(address, 0), "core-1", 7, late).await,
            OrderAnswer::Unavailable
        );
        let accepted = timeout(ABSENCE_TIMEOUT, listener.accept()).await;
        if let Ok(Ok((mut stream, _))) = accepted {
            let mut byte = [0];
            assert_eq!(stream.read(&mut byte).await.unwrap_or(0), 0, "nothing is sent");
        }
    });
}
