//! The links of a controller: outgoing links to its peers, and incoming links from peers and agents.

use crate::controller::event::Event;
use crate::link::{self, MessageReader, Outbox, REDIAL_DELAY};
use crate::message::{Hello, Message, MessageError, Role};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Longest wait for the first message on an accepted link.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maintains an outgoing link to the controller with the control address `peer`, at `address`, until the returned
/// handle is aborted. Messages from the peer arrive on the link that the peer opens.
pub(crate) fn maintain_link(
    peer: SocketAddr,
    address: SocketAddr,
    hello: Hello,
    events: mpsc::UnboundedSender<Event>,
) -> AbortHandle {
    let task = async move {
        loop {
            if let Err(error) = run_outgoing_link(peer, address, &hello, &events).await {
                log::debug!("link failed peer={peer} error={error}");
            }
            tokio::time::sleep(REDIAL_DELAY).await;
        }
    };
    tokio::task::spawn_local(task).abort_handle()
}

async fn run_outgoing_link(
    peer: SocketAddr,
    address: SocketAddr,
    hello: &Hello,
    events: &mpsc::UnboundedSender<Event>,
) -> std::io::Result<()> {
    let stream = link::dial(address).await?;
    // The read half is kept, although no data is expected on it: it reports when the peer closes the connection.
    let (mut read, write) = stream.into_split();
    let (outbox, frames) = Outbox::new();
    outbox.message(&Message::Hello(hello.clone()));
    let _ = events.send(Event::PeerUp { peer, outbox });
    let result = tokio::select! {
        written = link::write_frames(write, frames) => written,
        ended = until_closed(&mut read) => ended,
    };
    let _ = events.send(Event::PeerDown { peer });
    result
}

/// Waits until the peer closes a link on which it sends nothing.
async fn until_closed(read: &mut tokio::net::tcp::OwnedReadHalf) -> std::io::Result<()> {
    use tokio::io::AsyncReadExt;
    let mut byte = [0];
    read.read(&mut byte).await.map(|_| ())
}

/// Accepts links of peers and agents until the process exits.
pub(crate) async fn accept(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    let mut opened = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REDIAL_DELAY).await;
            continue;
        };
        opened += 1;
        let events = events.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_incoming_link(stream, opened, &events).await {
                log::debug!("accepted link failed error={error}");
            }
        });
    }
}

async fn serve_incoming_link(
    stream: TcpStream,
    opened: u64,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), MessageError> {
    link::set_options(&stream)?;
    let (read, write) = stream.into_split();
    let mut reader = MessageReader::new(read);
    let first =
        tokio::time::timeout(HELLO_TIMEOUT, reader.next()).await.map_err(|_| MessageError::Timeout)??;
    let Message::Hello(hello) = first else { return Ok(()) };
    match hello.role {
        Role::Controller => receive_from_peer(reader, hello, events).await,
        Role::Agent | Role::Router => serve_agent(reader, write, opened, hello, events).await,
    }
}

async fn receive_from_peer(
    mut reader: MessageReader,
    hello: Hello,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), MessageError> {
    let Ok(peer) = hello.control_address.text().parse() else { return Ok(()) };
    let _ = events.send(Event::PeerHello { hello });
    loop {
        let message = reader.next().await?;
        let _ = events.send(Event::PeerMessage { peer, message });
    }
}

async fn serve_agent(
    mut reader: MessageReader,
    write: tokio::net::tcp::OwnedWriteHalf,
    agent: u64,
    hello: Hello,
    events: &mpsc::UnboundedSender<Event>,
) -> Result<(), MessageError> {
    let (outbox, frames) = Outbox::new();
    let writer = tokio::task::spawn_local(link::write_frames(write, frames));
    let _ = events.send(Event::AgentUp { agent, hello, outbox });
    let result = loop {
        match reader.next().await {
            Ok(message) => {
                let _ = events.send(Event::AgentMessage { agent, message });
            }
            Err(error) => break Err(error),
        }
    };
    writer.abort();
    let _ = events.send(Event::AgentDown { agent });
    result
}
