//! Every caller of the control interface gets the answer to its own call, and no other.

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

/// Time in which something that must not happen would have happened.
const A_WHILE: Duration = Duration::from_millis(60);

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
            _ => panic!("no call came"),
        }
    }

    async fn no_call_comes(&mut self) {
        assert!(timeout(A_WHILE, self.events.recv()).await.is_err(), "a call came");
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        timeout(Duration::from_secs(20), test).await.expect("the test hangs");
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
    play(async {
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
    play(async {
        let mut interface = Interface::start().await;
        let mut caller = interface.caller().await;
        caller.write_all((put("1") + &put("2")).as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        let first = interface.call().await;
        assert_eq!(&first.body[..], b"1");
        interface.no_call_comes().await;
        first.reply.send(Answer::new(200, "first")).ok().unwrap();
        let second = interface.call().await;
        assert_eq!(&second.body[..], b"2");
        second.reply.send(Answer::new(412, "second")).ok().unwrap();
        let told = rest(caller).await;
        let (first, second) = (told.find("first").unwrap(), told.find("second").unwrap());
        assert!(first < second, "{told}");
    });
}

#[test]
fn the_answer_to_a_disconnected_caller_reaches_no_other() {
    play(async {
        let mut interface = Interface::start().await;
        let mut left = interface.caller().await;
        left.write_all(put("left").as_bytes()).await.unwrap();
        let call = interface.call().await;
        left.set_zero_linger().unwrap();
        drop(left);
        let mut there = interface.caller().await;
        there.write_all(put("there").as_bytes()).await.unwrap();
        there.shutdown().await.unwrap();
        let other = interface.call().await;
        let _ = call.reply.send(Answer::new(200, "for the one that left"));
        other.reply.send(Answer::new(200, "for the one that is there")).ok().unwrap();
        let told = rest(there).await;
        assert!(told.ends_with("for the one that is there"), "{told}");
        assert!(!told.contains("left"), "{told}");
    });
}

#[test]
fn a_call_that_is_never_completed_gets_no_outcome() {
    play(async {
        let mut interface = Interface::start().await;
        let mut caller = interface.caller().await;
        caller.write_all(put("{}").as_bytes()).await.unwrap();
        caller.shutdown().await.unwrap();
        drop(interface.call().await);
        assert!(rest(caller).await.starts_with("HTTP/1.1 503 "));
    });
}
