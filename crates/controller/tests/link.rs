//! What waits for a link arrives whole and in order, however much it is.

use lanegate_controller::link::{MessageReader, Outbox, write_frames};
use lanegate_controller::message::{Forwarded, Message};
use tokio::net::{TcpListener, TcpStream};

/// Messages that wait together: several writes' worth.
const MESSAGES: u64 = 500;
/// Bytes of the body of most of them, and of every fiftieth.
const BODY_BYTES: usize = 1_000;
const LARGE_BODY_BYTES: usize = 200_000;

fn message(request: u64) -> Message {
    let length = if request.is_multiple_of(50) { LARGE_BODY_BYTES } else { BODY_BYTES };
    Message::Change(Forwarded { request, body: vec![0; length].into() })
}

#[tokio::test(flavor = "current_thread")]
async fn frames_that_wait_together_arrive_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (dialled, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (_, write) = dialled.expect("a connection").into_split();
    let (read, _write) = accepted.expect("a connection").0.into_split();
    let (outbox, frames) = Outbox::new();
    assert!((0..MESSAGES).all(|request| outbox.message(&message(request))));
    drop(outbox);
    let receive = async {
        let mut fetcher = MessageReader::new(read);
        for request in 0..MESSAGES {
            assert_eq!(fetcher.next().await.expect("a message"), message(request));
        }
        assert!(fetcher.next().await.is_err(), "the link ends after the last message");
    };
    let (written, ()) = tokio::join!(write_frames(write, frames), receive);
    assert!(written.is_ok());
}
