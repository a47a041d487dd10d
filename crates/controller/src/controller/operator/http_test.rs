//! Calls that are incomplete or too long, over real connections.

use crate::controller::event::{Answer, Event};
use crate::controller::operator::http;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Sends `sent`, closes the sending side, and returns the status of the answer. Complete calls are answered with 200.
async fn status_of(sent: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (events, mut calls) = mpsc::unbounded_channel();
    tokio::task::spawn_local(http::serve(listener, events, Rc::default()));
    tokio::task::spawn_local(async move {
        while let Some(Event::Call(call)) = calls.recv().await {
            let _ = call.reply.send(Answer::new(200, "{}"));
        }
    });
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(sent).await.expect("a call");
    stream.shutdown().await.expect("half a connection");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.split_whitespace().nth(1).unwrap_or_default().to_owned()
}

fn run(sent: &[u8]) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, status_of(sent))
}

#[test]
fn a_complete_call_is_answered() {
    assert_eq!(run(b"PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}"), "200");
}

#[test]
fn a_change_that_breaks_off_is_not_refused() {
    let status = run(b"PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: 20\r\n\r\n{");
    assert!(["408", ""].contains(&status.as_str()), "{status}");
    let chunked = b"PATCH /config HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"Ver";
    let status = run(chunked);
    assert!(["408", ""].contains(&status.as_str()), "{status}");
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    let head = b"PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: 8388609\r\n\r\n".to_vec();
    assert_eq!(run(&[head, vec![b' '; 8_388_609]].concat()), "413");
}

/// The caller is still sending when the limit is exceeded, and must receive the answer nevertheless.
#[test]
fn a_body_that_is_far_too_long_is_refused() {
    let head = b"PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: 12582912\r\n\r\n".to_vec();
    assert_eq!(run(&[head, vec![b' '; 12_582_912]].concat()), "413");
}
