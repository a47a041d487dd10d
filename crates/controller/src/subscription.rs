//! One reader's link to one source of a feed: dialled, greeted, read until it ends.

use crate::link::{self, MessageReader, Outbox};
use crate::message::{Hello, Message, MessageError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What a subscription tells its owner.
#[derive(Debug)]
pub enum SourceEvent {
    /// The link is up; messages for the source go here.
    Up { source: SocketAddr, outbox: Outbox },
    /// The source said something.
    Message { source: SocketAddr, message: Message },
    /// The link is down; it is not dialled again by itself.
    Down { source: SocketAddr },
}

/// Follows `source` until the link fails or is silent for `receive_timeout`, and tells `owner`.
pub async fn follow(
    source: SocketAddr,
    hello: Hello,
    receive_timeout: Option<Duration>,
    owner: mpsc::UnboundedSender<SourceEvent>,
) {
    if let Err(error) = read(source, hello, receive_timeout, &owner).await {
        log::debug!("feed of {source} ended: {error}");
    }
    let _ = owner.send(SourceEvent::Down { source });
}

async fn read(
    source: SocketAddr,
    hello: Hello,
    receive_timeout: Option<Duration>,
    owner: &mpsc::UnboundedSender<SourceEvent>,
) -> Result<(), MessageError> {
    let stream = link::dial(source).await?;
    let (read, write) = stream.into_split();
    let (outbox, frames) = Outbox::new();
    let _writer = AbortOnDrop(tokio::task::spawn_local(link::write_frames(write, frames)));
    outbox.message(&Message::Hello(hello));
    let _ = owner.send(SourceEvent::Up { source, outbox });
    let mut reader = MessageReader::new(read);
    loop {
        let message = match receive_timeout {
            Some(receive_timeout) => {
                timeout(receive_timeout, reader.next()).await.map_err(|_| MessageError::Timeout)??
            }
            None => reader.next().await?,
        };
        let _ = owner.send(SourceEvent::Message { source, message });
    }
}

/// Ends a task with the one that started it.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
