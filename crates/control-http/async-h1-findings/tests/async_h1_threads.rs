//! Which threads `async-h1` 2.3.4 starts in a program that runs on one thread.
//!
//! One test, because threads are counted for the whole process and stay once they were started.
#![cfg(target_os = "linux")]

#[allow(dead_code)]
mod shared_io;

use async_h1::server::decode;
use http_types::{Response, StatusCode};
use shared_io::SharedIo;
use std::fs;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// Names of this process's threads that begin with `async-`, as the kernel cuts them.
fn foreign_threads() -> Vec<String> {
    let tasks = fs::read_dir("/proc/self/task").expect("a list of threads");
    let names = tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("comm")).ok());
    let mut names: Vec<_> = names.map(|name| name.trim().to_owned()).collect();
    names.retain(|name| name.starts_with("async-"));
    names.sort();
    names.dedup();
    names
}

async fn read_one(head: &str) {
    let (mut caller, server) = duplex(1 << 16);
    caller.write_all(head.as_bytes()).await.expect("a pipe with room");
    let (mut request, _) = decode(SharedIo::new(server)).await.expect("a request").expect("no end");
    assert_eq!(request.body_bytes().await.expect("a body"), b"{}");
}

async fn accept_one() {
    let (mut caller, server) = duplex(1 << 16);
    let head = "GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("a pipe with room");
    let serving = async_h1::accept(SharedIo::new(server), |_| async { Ok(Response::new(StatusCode::Ok)) });
    serving.await.expect("an answer");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("text");
    assert!(answer.starts_with("HTTP/1.1 200"));
}

#[tokio::test(flavor = "current_thread")]
async fn its_server_and_an_expectation_start_threads_of_another_runtime() {
    read_one("PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}").await;
    assert_eq!(foreign_threads(), Vec::<String>::new(), "reading a plain request");

    read_one("PUT /config HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}").await;
    let started = foreign_threads();
    assert!(started.iter().any(|name| name.starts_with("async-global-ex")), "{started:?}");

    accept_one().await;
    let started = foreign_threads();
    assert!(started.iter().any(|name| name == "async-io"), "{started:?}");
}
