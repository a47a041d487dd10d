//! One connection of the server: requests that arrive in parts, truncated, too long or too late.

use lanegate_control_http::{
    ControlMethod, ControlRequest, ControlResponse, IfMatch, ServerLimits, serve_connection,
};
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

const PIPE_BYTES: usize = 16 << 20;

/// A served connection, the client's end of it, and the requests that its handler received.
struct Fixture {
    client: DuplexStream,
    requests: Rc<RefCell<Vec<ControlRequest>>>,
    serving: JoinHandle<()>,
}

fn remote() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 4000))
}

fn small_limits() -> ServerLimits {
    ServerLimits { max_body_bytes: 1_000, ..ServerLimits::default() }
}

/// Serves with a handler that answers 200 to complete requests and 400 to truncated ones, after `work`.
fn served_slowly(limits: ServerLimits, work: Duration) -> Fixture {
    let (client, server) = duplex(PIPE_BYTES);
    let requests = Rc::new(RefCell::new(Vec::new()));
    let seen = requests.clone();
    let handler = Rc::new(move |request: ControlRequest| {
        let status = if request.complete { 200 } else { 400 };
        let response = ControlResponse::json(status, format!("\"{}\"", request.path));
        seen.borrow_mut().push(request);
        async move {
            if !work.is_zero() {
                sleep(work).await;
            }
            response
        }
    });
    let serving =
        spawn_local(async move { serve_connection(server, remote(), &limits, handler, pending()).await });
    Fixture { client, requests, serving }
}

fn served(limits: ServerLimits) -> Fixture {
    served_slowly(limits, Duration::ZERO)
}

impl Fixture {
    async fn send(&mut self, bytes: &str) {
        self.client.write_all(bytes.as_bytes()).await.expect("a pipe with room");
    }

    /// Reads up to `end`, the end of the handler's response.
    async fn read_to(&mut self, end: &str) -> String {
        let mut read = Vec::new();
        while !read.ends_with(end.as_bytes()) {
            let byte = self.client.read_u8().await;
            read.push(byte.unwrap_or_else(|_| panic!("no {end} in {}", String::from_utf8_lossy(&read))));
        }
        String::from_utf8(read).expect("text")
    }

    /// Reads up to the end of the connection.
    async fn read_to_end(&mut self) -> String {
        let mut read = String::new();
        self.client.read_to_string(&mut read).await.expect("text");
        read
    }

    /// Shuts down the client's sending side.
    async fn finish(&mut self) {
        self.client.shutdown().await.expect("an open pipe");
    }
}

fn complete_request(
    method: ControlMethod,
    path: &str,
    if_match: IfMatch,
    body: &'static str,
) -> ControlRequest {
    let body = body.into();
    ControlRequest { method, path: path.to_owned(), if_match, body, complete: true, remote: remote() }
}

macro_rules! local_test {
    ($(#[$meta:meta])* $name:ident, $body:block) => {
        $(#[$meta])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            LocalSet::new().run_until(async { $body }).await
        }
    };
}

local_test!(patch_request_is_passed_to_the_handler, {
    let mut fixture = served(small_limits());
    fixture.send("PATCH /config?x=1 HTTP/1.1\r\nHost: a\r\nIf-Match: 7\r\nContent-Length: 2\r\n\r\n{}").await;
    let answer = fixture.read_to("\"/config\"").await;
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("content-type: application/json\r\n"), "{answer}");
    let expected = complete_request(ControlMethod::Patch, "/config", IfMatch::Version(7), "{}");
    assert_eq!(*fixture.requests.borrow(), vec![expected]);
});

local_test!(if_match_is_parsed_or_malformed, {
    let cases = [
        ("", IfMatch::Absent),
        ("If-Match: 0\r\n", IfMatch::Version(0)),
        ("if-match: \"12\"\r\n", IfMatch::Version(12)),
        ("If-Match: *\r\n", IfMatch::Malformed),
        ("If-Match: +5\r\n", IfMatch::Malformed),
        ("If-Match:\r\n", IfMatch::Malformed),
        ("If-Match: 99999999999999999999\r\n", IfMatch::Malformed),
        ("If-Match: 1\r\nIf-Match: 2\r\n", IfMatch::Malformed),
    ];
    for (header, expected) in cases {
        let mut fixture = served(small_limits());
        fixture.send(&format!("GET /config HTTP/1.1\r\nHost: a\r\n{header}\r\n")).await;
        fixture.read_to("\"/config\"").await;
        assert_eq!(fixture.requests.borrow()[0].if_match, expected, "{header}");
    }
});

local_test!(sequential_requests_share_a_connection, {
    let mut fixture = served(small_limits());
    for path in ["/status", "/config"] {
        fixture.send(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
        fixture.read_to(&format!("\"{path}\"")).await;
    }
});

local_test!(pipelined_requests_are_answered_in_order, {
    let mut fixture = served(small_limits());
    let put = "PUT /instances/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    fixture.send(&format!("{put}GET /status HTTP/1.1\r\nHost: a\r\n\r\n")).await;
    fixture.read_to("\"/instances/i-1\"").await;
    fixture.read_to("\"/status\"").await;
});

local_test!(truncated_body_with_length_is_incomplete, {
    let mut fixture = served(small_limits());
    fixture.send("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhel").await;
    fixture.finish().await;
    let answer = fixture.read_to_end().await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    let requests = fixture.requests.borrow();
    assert!(!requests[0].complete);
    assert_eq!(&requests[0].body[..], b"hel");
});

local_test!(truncated_chunked_body_is_incomplete, {
    let mut fixture = served(small_limits());
    fixture.send("PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n").await;
    fixture.finish().await;
    fixture.read_to_end().await;
    assert!(!fixture.requests.borrow()[0].complete);
});

local_test!(chunked_body_may_be_split_anywhere, {
    let request = "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
    for split in 1..request.len() {
        let mut fixture = served(small_limits());
        fixture.send(&request[..split]).await;
        tokio::task::yield_now().await;
        fixture.send(&request[split..]).await;
        fixture.read_to("\"/config\"").await;
        let expected = complete_request(ControlMethod::Put, "/config", IfMatch::Absent, "{}");
        assert_eq!(*fixture.requests.borrow(), vec![expected]);
    }
});

local_test!(half_closed_connection_still_gets_its_response, {
    let mut fixture = served_slowly(small_limits(), Duration::from_secs(1));
    fixture.send("GET /status HTTP/1.1\r\nHost: a\r\n\r\n").await;
    fixture.finish().await;
    let answer = fixture.read_to_end().await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
});

local_test!(body_of_maximum_length_is_accepted, {
    let limits = ServerLimits::default();
    let length = limits.max_body_bytes;
    let mut fixture = served(limits);
    fixture.send(&format!("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n")).await;
    fixture.client.write_all(&vec![b'x'; length]).await.expect("a pipe with room");
    fixture.read_to("\"/config\"").await;
    let requests = fixture.requests.borrow();
    assert!(requests[0].complete);
    assert_eq!(requests[0].body.len(), length);
});

local_test!(too_long_body_is_rejected_without_the_handler, {
    let body = "x".repeat(1_001);
    let requests = [
        format!("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n{body}"),
        format!(
            "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n{body}\r\n0\r\n\r\n"
        ),
        format!("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n{body}{body}"),
    ];
    for request in requests {
        let mut fixture = served(small_limits());
        fixture.send(&request).await;
        let answer = fixture.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(fixture.requests.borrow().is_empty());
    }
});

local_test!(expect_continue_is_answered, {
    let mut fixture = served(small_limits());
    fixture
        .send("PUT /config HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        .await;
    let interim = fixture.read_to("\r\n\r\n").await;
    assert!(interim.starts_with("HTTP/1.1 100 "), "{interim}");
    fixture.send("{}").await;
    let answer = fixture.read_to("\"/config\"").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
});

local_test!(stalled_head_times_out, {
    let mut fixture = served(small_limits());
    let start = Instant::now();
    sleep(Duration::from_secs(2)).await;
    fixture.send("GET /status HT").await;
    assert_eq!(fixture.read_to_end().await, "");
    assert_eq!(start.elapsed().as_secs(), 5);
    assert!(fixture.requests.borrow().is_empty());
});

local_test!(stalled_body_times_out, {
    let mut fixture = served(small_limits());
    let start = Instant::now();
    fixture.send("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n").await;
    for piece in ["h", "e"] {
        sleep(Duration::from_secs(10)).await;
        fixture.send(piece).await;
    }
    assert_eq!(fixture.read_to_end().await, "");
    assert_eq!(start.elapsed().as_secs(), 35);
    assert!(fixture.requests.borrow().is_empty());
});

local_test!(idle_connection_stays_open_until_the_idle_timeout, {
    let mut fixture = served(small_limits());
    for _ in 0..3 {
        sleep(Duration::from_secs(12)).await;
        fixture.send("GET /status HTTP/1.1\r\nHost: a\r\n\r\n").await;
        fixture.read_to("\"/status\"").await;
    }
    let start = Instant::now();
    assert_eq!(fixture.read_to_end().await, "");
    assert_eq!(start.elapsed().as_secs(), 15);
    fixture.serving.await.expect("an end without a panic");
});

local_test!(slow_handler_does_not_time_out, {
    let mut fixture = served_slowly(small_limits(), Duration::from_secs(100));
    fixture.send("GET /status HTTP/1.1\r\nHost: a\r\n\r\n").await;
    fixture.read_to("\"/status\"").await;
});

local_test!(invalid_request_is_rejected, {
    let mut fixture = served(small_limits());
    fixture.send("\x16\x03\x01 hello\r\n\r\n").await;
    let answer = fixture.read_to_end().await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
});

local_test!(location_and_retry_after_are_sent, {
    let (mut client, server) = duplex(PIPE_BYTES);
    let handler = Rc::new(|_| async {
        let redirect = ControlResponse::redirect("http://10.0.0.4:8080/config");
        ControlResponse { retry_after_s: Some(2), close: true, ..redirect }
    });
    spawn_local(async move {
        serve_connection(server, remote(), &ServerLimits::default(), handler, pending()).await;
    });
    client.write_all(b"GET /config HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("a pipe with room");
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.expect("text");
    assert!(answer.starts_with("HTTP/1.1 307 "), "{answer}");
    assert!(answer.contains("location: http://10.0.0.4:8080/config\r\n"), "{answer}");
    assert!(answer.contains("retry-after: 2\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
});
