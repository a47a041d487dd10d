//! A source whose feed has a damaged frame is left: nothing of the frame is used, nor anything behind it.

use lanegate_controller::message::{Forwarded, Hello, Message, Role};
use lanegate_controller::subscription::{SourceEvent, follow};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Longest time until a reader has left a source; only a failing test reaches it.
const LIMIT: Duration = Duration::from_secs(10);

fn hello() -> Hello {
    Hello {
        role: Role::Router,
        name: "edge-1".into(),
        control_address: "".into(),
        incarnation: 9,
        source: 0,
        offset: 0,
    }
}

fn message(request: u64) -> Message {
    Message::Change(Forwarded { request, body: vec![7; 40].into() })
}

/// The frame of a message after `damage` has changed its bytes; the first four are its length.
fn damaged(damage: impl Fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut frame = message(2).frame().to_vec();
    damage(&mut frame);
    frame
}

/// What a reader gets from a source that sends a message in order and then `bytes`. The source keeps the link open unless it
/// `closes`.
async fn events_of(bytes: Vec<u8>, closes: bool) -> Vec<SourceEvent> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let source = spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a reader");
        let all = [&message(1).frame()[..], &bytes].concat();
        let _ = stream.write_all(&all).await;
        if closes {
            return;
        }
        while matches!(stream.read(&mut [0; 256]).await, Ok(read) if read > 0) {}
    });
    let (events, mut received) = mpsc::unbounded_channel();
    let followed = timeout(LIMIT, follow(address, hello(), Some(LIMIT), events)).await;
    assert!(followed.is_ok(), "the reader stays");
    source.await.expect("the reader has closed the link");
    let mut all = Vec::new();
    while let Ok(event) = received.try_recv() {
        all.push(event);
    }
    all
}

fn is_first_message_alone(events: &[SourceEvent]) -> bool {
    matches!(
        events,
        [SourceEvent::Up { .. }, SourceEvent::Message { message: first, .. }, SourceEvent::Down { .. }]
            if *first == message(1)
    )
}

#[tokio::test(flavor = "current_thread")]
async fn a_damaged_frame_ends_the_link() {
    let frames = [
        damaged(|frame| frame[0] += 1),
        damaged(|frame| frame[0] -= 1),
        damaged(|frame| frame[0] = 0),
        damaged(|frame| frame[3] = 0xff),
        damaged(|frame| frame[4] = 0),
        damaged(|frame| frame[4] = 0xff),
        damaged(|frame| frame.insert(4, 0)),
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec(),
    ];
    let tries = async {
        for frame in frames {
            let shown = format!("{frame:?}");
            let events = events_of([frame, message(3).frame().to_vec()].concat(), false).await;
            assert!(is_first_message_alone(&events), "{shown}: {} events", events.len());
        }
    };
    LocalSet::new().run_until(tries).await;
}

#[tokio::test(flavor = "current_thread")]
async fn a_frame_that_is_cut_off_is_not_used() {
    let tries = async {
        for length in 0..message(2).frame().len() {
            let events = events_of(damaged(|frame| frame.truncate(length)), true).await;
            assert!(is_first_message_alone(&events), "{length} bytes: {} events", events.len());
        }
    };
    LocalSet::new().run_until(tries).await;
}
