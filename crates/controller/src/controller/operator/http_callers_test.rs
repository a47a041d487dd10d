//! Each caller of the control interface receives the answer to its own call only.

use crate::controller::event::{Answer, Call, Event};
use crate::controller::operator::http::serve;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// How long a test waits before it concludes that an event does not occur.
const ABSENCE_TIMEOUT: Duration = Duration::from_millis(60);

struct Interface {
    address: SocketAddr,
    events: UnboundedReceiver<Event>,
}

impl Interface {
    async fn start() -> Interface {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, events) = mpsc::unbounded_channel();
        spawn_local(serve(listener, sender, Rc::default()));
        Interface { address, events }
    }

    async fn caller(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    async fn call(&mut self) -> Call {
        match self.events.recv().await {
            Some(Event::Call(call)) => call,
            _ => panic!("no call arrived"),
        }
    }

    async fn assert_no_call(&mut self) {
        assert!(timeout(ABSENCE_TIMEOUT, self.events.recv()).await.is_err(), "an unexpected call arrived");
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        timeout(Duration::from_secs(20), test).await.expect("the test timed out");
    }));
}

fn put(body: &str) -> String {
    format!("PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

async fn rest(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    while matches!(stream.read_buf(&mut read).await, Ok(read) if read > 0) {}
    String::from_utf8(read).unwrap()
}

#[test]
fn a_caller_that_closes_its_sending_side_is_answered() {
    run_test(async {
        let mut interface = Interface::start().await;
        let mut caller = interface.caller().await;
        caller.write_all(put("{}").as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        let call = interface.call().await;
        call.reply.send(Answer::new(200, "{\"Version\":1}")).ok().unwrap();
        assert!(rest(caller).await.starts_with("HTTP/1.1 200 "));
    });
}

#[test]
fn pipelined_calls_are_taken_one_after_the_other_and_answered_in_order() {
    run_test(async {
        let mut interface = Interface::start().await;
        let mut caller = interface.caller().await;
        caller.write_all((put("1") + &put("2")).as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        let first = interface.call().await;
        assert_eq!(&first.body[..], b"1");
        interface.assert_no_call().await;
        first.reply.send(Answer::new(200, "first")).ok().unwrap();
        let second = interface.call().await;
        assert_eq!(&second.body[..], b"2");
        second.reply.send(Answer::new(412, "second")).ok().unwrap();
        let response = rest(caller).await;
        let (first, second) = (response.find("first").unwrap(), response.find("second").unwrap());
        assert!(first < second, "{response}");
    });
}

#[test]
fn the_answer_to_a_disconnected_caller_reaches_no_other() {
    run_test(async {
        let mut interface = Interface::start().await;
        let mut disconnected = interface.caller().await;
        disconnected.write_all(put("left").as_bytes()).await.unwrap();
        let call = interface.call().await;
        disconnected.set_zero_linger().unwrap();
        drop(disconnected);
        let mut connected = interface.caller().await;
        connected.write_all(put("there").as_bytes()).await.unwrap();
        connected.shutdown().await.unwrap();
        let other = interface.call().await;
        let _ = call.reply.send(Answer::new(200, "for the one that left"));
        other.reply.send(Answer::new(200, "for the one that is there")).ok().unwrap();
        let response = rest(connected).await;
        assert!(response.ends_with("for the one that is there"), "{response}");
        assert!(!response.contains("left"), "{response}");
    });
}

#[test]
fn a_call_that_is_never_completed_gets_no_outcome() {
    run_test(async {
        let mut interface = Interface::start().await;
        let mut caller = interface.caller().await;
        caller.write_all(put("{}").as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        drop(interface.call().await);
        assert!(rest(caller).await.starts_with("HTTP/1.1 503 "));
    });
}
