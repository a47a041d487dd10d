//! Server and client over sockets: persistent connections, shutdown, and calls without a complete answer.

use bytes::Bytes;
use lanegate_control_http::{
    CallError, ClientConnection, ClientRequest, ClientResponse, ControlMethod, ControlRequest,
    ControlResponse, IfMatch, ServerLimits, call, serve,
};
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::{LocalSet, spawn_local};

/// Timeout of calls that are expected to succeed; much longer than they take.
const TIMEOUT: Duration = Duration::from_secs(60);
/// For calls that are expected to get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

async fn echo(request: ControlRequest) -> ControlResponse {
    let version = match request.if_match {
        IfMatch::Version(version) => version.to_string(),
        other => format!("{other:?}"),
    };
    let body = format!("{:?} {} {version} {}", request.method, request.path, request.body.len());
    ControlResponse::json(200, body)
}

/// Serves `echo` until the end of the test.
async fn echo_server() -> SocketAddr {
    let (listener, address) = listen().await;
    spawn_local(serve(listener, ServerLimits::default(), echo, pending()));
    address
}

/// A server that reads a head and then sends `answer` and closes.
async fn canned_server(answer: &'static str) -> SocketAddr {
    let (listener, address) = listen().await;
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let Ok(byte) = stream.read_u8().await else { return };
                head.push(byte);
            }
            stream.write_all(answer.as_bytes()).await.expect("an open connection");
        }
    });
    address
}

fn response(body: &str) -> ClientResponse {
    ClientResponse { status: 200, location: None, body: Bytes::copy_from_slice(body.as_bytes()) }
}

macro_rules! local_test {
    ($name:ident, $body:block) => {
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(async { $body }).await
        }
    };
}

local_test!(call_is_answered, {
    let address = echo_server().await;
    let request = ClientRequest { if_match: Some(7), ..ClientRequest::post("/order", "{}") };
    let answer = call(address, &request, TIMEOUT).await.expect("an answer");
    assert_eq!(answer, response("Post /order 7 2"));
});

local_test!(connection_serves_sequential_calls, {
    let address = echo_server().await;
    let mut connection = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
    for path in ["/report", "/status"] {
        let answer = connection.call(&ClientRequest::get(path), TIMEOUT).await.expect("an answer");
        assert_eq!(answer, response(&format!("Get {path} Absent 0")));
        assert!(connection.is_open());
    }
});

local_test!(large_bodies_are_transferred, {
    let (listener, address) = listen().await;
    let handler = |request: ControlRequest| async move { ControlResponse::json(200, request.body) };
    spawn_local(serve(listener, ServerLimits::default(), handler, pending()));
    let body = Bytes::from(vec![b'x'; 4 << 20]);
    let request =
        ClientRequest { method: ControlMethod::Put, ..ClientRequest::post("/config", body.clone()) };
    let answer = call(address, &request, TIMEOUT).await.expect("an answer");
    assert_eq!(answer.body, body);
});

local_test!(expected_instance_is_sent, {
    let (listener, address) = listen().await;
    let calling = spawn_local(async move {
        let request = ClientRequest {
            expect_instance: Some("i-7f3a91c2".into()),
            ..ClientRequest::post("/order", "{}")
        };
        call(address, &request, TIMEOUT).await
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = Vec::new();
    while !head.ends_with(b"{}") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).expect("text");
    assert!(head.contains("expect-instance: i-7f3a91c2\r\n"), "{head}");
    stream
        .write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        .await
        .expect("an open connection");
    assert_eq!(calling.await.expect("no panic").expect("an answer").status, 202);
});

local_test!(location_is_returned, {
    let answer =
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://10.0.0.4:8080/x\r\nContent-Length: 0\r\n\r\n";
    let address = canned_server(answer).await;
    let answer = call(address, &ClientRequest::get("/x"), TIMEOUT).await.expect("an answer");
    assert_eq!(answer.location.as_deref(), Some("http://10.0.0.4:8080/x"));
});

local_test!(truncated_answer_is_an_error_and_call_may_have_run, {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
        "HTTP/1.1 200 O",
        "",
        "something else\r\n\r\n",
    ] {
        let address = canned_server(answer).await;
        let error = call(address, &ClientRequest::post("/order", ""), TIMEOUT).await.expect_err(answer);
        assert!(matches!(error, CallError::Broken(_)), "{answer}: {error:?}");
        assert!(error.may_have_run());
    }
});

local_test!(call_to_silent_server_times_out_and_may_have_run, {
    let (listener, address) = listen().await;
    let mut connection = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
    let error = connection.call(&ClientRequest::get("/report"), SHORT_TIMEOUT).await.expect_err("no answer");
    assert!(matches!(error, CallError::Timeout), "{error:?}");
    assert!(error.may_have_run());
    assert!(!connection.is_open());
    drop(listener);
});

local_test!(call_to_closed_port_has_not_run, {
    let (listener, address) = listen().await;
    drop(listener);
    let error = call(address, &ClientRequest::get("/report"), TIMEOUT).await.expect_err("no server");
    assert!(matches!(error, CallError::Connect(_)), "{error:?}");
    assert!(!error.may_have_run());
});

local_test!(call_on_closed_connection_has_not_run, {
    let (listener, address) = listen().await;
    let mut connection = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    drop(stream);
    let error = connection.call(&ClientRequest::get("/report"), TIMEOUT).await.expect_err("no server");
    assert!(matches!(error, CallError::NotSent(_)), "{error:?}");
    assert!(!error.may_have_run());
});

local_test!(invalid_path_is_rejected, {
    let address = echo_server().await;
    let error = call(address, &ClientRequest::get("/a b"), TIMEOUT).await.expect_err("no path");
    assert!(matches!(error, CallError::Malformed), "{error:?}");
});

local_test!(stopped_server_finishes_requests_and_accepts_no_more, {
    let (listener, address) = listen().await;
    let (stop, stopped) = oneshot::channel::<()>();
    let (begun, proceed) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let (notify_begun, await_proceed) = (begun.clone(), proceed.clone());
    let handler = move |request: ControlRequest| {
        let (begun, proceed) = (notify_begun.clone(), await_proceed.clone());
        async move {
            begun.notify_one();
            proceed.notified().await;
            echo(request).await
        }
    };
    let serving =
        spawn_local(serve(listener, ServerLimits::default(), handler, async { drop(stopped.await) }));
    let mut idle = TcpStream::connect(address).await.expect("a connection");
    let calling = spawn_local(async move { call(address, &ClientRequest::get("/status"), TIMEOUT).await });
    begun.notified().await;
    stop.send(()).expect("a running server");
    assert_eq!(idle.read(&mut [0]).await.expect("an end"), 0);
    proceed.notify_one();
    assert_eq!(calling.await.expect("no panic").expect("an answer"), response("Get /status Absent 0"));
    serving.await.expect("no panic");
    let error = call(address, &ClientRequest::get("/status"), TIMEOUT).await.expect_err("no server");
    assert!(!error.may_have_run());
});

local_test!(excess_connections_wait_for_a_slot, {
    let (listener, address) = listen().await;
    let served = Rc::new(Cell::new(0));
    let count = served.clone();
    let handler = move |request| {
        count.set(count.get() + 1);
        echo(request)
    };
    let limits = ServerLimits { max_connections: 1, ..ServerLimits::default() };
    spawn_local(serve(listener, limits, handler, pending()));
    let mut first = ClientConnection::open(address, TIMEOUT).await.expect("a connection");
    first.call(&ClientRequest::get("/status"), TIMEOUT).await.expect("an answer");
    let mut second = ClientConnection::open(address, TIMEOUT).await.expect("a place in the queue");
    let error = second.call(&ClientRequest::get("/status"), SHORT_TIMEOUT).await.expect_err("no room");
    assert!(matches!(error, CallError::Timeout), "{error:?}");
    assert_eq!(served.get(), 1);
    drop(first);
    call(address, &ClientRequest::get("/status"), TIMEOUT).await.expect("an answer");
});

/// Server and client run on the thread on which they were started.
#[cfg(target_os = "linux")]
#[test]
fn no_thread_is_started() {
    let threads = || std::fs::read_dir("/proc/self/task").expect("a list of threads").count();
    let names = || {
        let tasks = std::fs::read_dir("/proc/self/task").expect("a list of threads");
        let names = tasks.flatten().filter_map(|task| std::fs::read_to_string(task.path().join("comm")).ok());
        names.filter(|name| name.contains("tokio") || name.contains("async")).count()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let address = echo_server().await;
        call(address, &ClientRequest::post("/order", "{}"), TIMEOUT).await.expect("an answer");
    });
    assert_eq!(names(), 0, "of {} threads", threads());
}
