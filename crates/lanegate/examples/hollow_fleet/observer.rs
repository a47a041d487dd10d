//! A reader of one controller's feed that counts what it is sent.

use lanegate_controller::link::{Outbox, Reader, dial, write_frames};
use lanegate_controller::message::{Hello, Message, MessageError, Role};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Messages of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counted {
    pub messages: u64,
    pub bytes: u64,
}

/// Counts by kind of message.
pub type Counts = Rc<RefCell<BTreeMap<&'static str, Counted>>>;

/// Follows the feed at `address` until it ends.
pub fn observe(address: SocketAddr) -> Counts {
    let counts = Counts::default();
    let of_reader = counts.clone();
    spawn_local(async move {
        if let Err(error) = read(address, &of_reader).await {
            println!("observer: {error}");
        }
    });
    counts
}

async fn read(address: SocketAddr, counts: &Counts) -> Result<(), MessageError> {
    let (half, write) = dial(address).await?.into_split();
    let (outbox, frames) = Outbox::new();
    spawn_local(write_frames(write, frames));
    let name = "observer".into();
    let hello = Hello { role: Role::Agent, name, control_address: "".into(), life: 1, source: 0, offset: 0 };
    outbox.message(&Message::Hello(hello));
    let mut reader = Reader::new(half);
    loop {
        let message = reader.next().await?;
        let mut counts = counts.borrow_mut();
        let counted = counts.entry(kind(&message)).or_default();
        counted.messages += 1;
        counted.bytes += message.frame().len() as u64;
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Decided(_) => "configurations",
        Message::Registered(_) => "registrations",
        Message::Removed(_) => "removals",
        Message::Holding(_) => "holdings",
        Message::FeedBeat(_) => "heartbeats",
        _ => "others",
    }
}
