//! The link of a subscriber to one source of a feed: connects, sends a hello, and reads messages until the link ends.

use crate::link::{self, MessageReader, Outbox};
use crate::message::{Hello, Message, MessageError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// An event of the link to a source.
#[derive(Debug)]
pub enum SourceEvent {
    /// The link is up.
    Up {
        /// Address of the source.
        source: SocketAddr,
        /// Queue for messages to the source.
        outbox: Outbox,
    },
    /// The source sent a message.
    Message {
        /// Address of the source.
        source: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The link is down; it is not redialled automatically.
    Down {
        /// Address of the source.
        source: SocketAddr,
    },
}

/// Subscribes to `source` until the link fails or no message arrives for `receive_timeout`. Sends the events of the link
/// to `events`.
pub async fn follow(
    source: SocketAddr,
    hello: Hello,
    receive_timeout: Option<Duration>,
    events: mpsc::UnboundedSender<SourceEvent>,
) {
    if let Err(error) = read(source, hello, receive_timeout, &events).await {
        log::debug!("feed ended source={source} error={error}");
    }
    let _ = events.send(SourceEvent::Down { source });
}

async fn read(
    source: SocketAddr,
    hello: Hello,
    receive_timeout: Option<Duration>,
    events: &mpsc::UnboundedSender<SourceEvent>,
) -> Result<(), MessageError> {
    let stream = link::dial(source).await?;
    let (read, write) = stream.into_split();
    let (outbox, frames) = Outbox::new();
    let _writer = AbortOnDrop(tokio::task::spawn_local(link::write_frames(write, frames)));
    outbox.message(&Message::Hello(hello));
    let _ = events.send(SourceEvent::Up { source, outbox });
    let mut reader = MessageReader::new(read);
    loop {
        let message = match receive_timeout {
            Some(receive_timeout) => {
                timeout(receive_timeout, reader.next()).await.map_err(|_| MessageError::Timeout)??
            }
            None => reader.next().await?,
        };
        let _ = events.send(SourceEvent::Message { source, message });
    }
}

/// Aborts a task when it is dropped, so that the task ends with the one that started it.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
