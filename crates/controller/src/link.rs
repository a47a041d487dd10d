//! Links between processes: TCP connections that carry one frame a message.

use crate::message::{MAX_FRAME_BYTES, Message, MessageError};
use bytes::Bytes;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest wait for a connection to come up; a partitioned link gives no error.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before the link counts as dead.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a link that failed is dialled again.
pub const REDIAL_DELAY: Duration = Duration::from_millis(150);
/// Messages that may be queued for a slow receiver; one more closes the link, and the next one starts anew.
const OUTBOX_MESSAGES: usize = 8_192;
/// Most bytes of small frames that are written together; every link keeps room for so many, and a controller
/// has hundreds of links.
const BATCH_BYTES: usize = 32 * 1024;
/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

/// Frames on their way to the other end of a link.
#[derive(Debug, Clone)]
pub struct Outbox {
    frames: mpsc::Sender<Bytes>,
}

impl Outbox {
    /// An outbox, and what is to be written.
    pub fn new() -> (Outbox, mpsc::Receiver<Bytes>) {
        let (frames, receiver) = mpsc::channel(OUTBOX_MESSAGES);
        (Outbox { frames }, receiver)
    }

    /// Queues a frame. False if the link is closed, or its receiver is too slow.
    pub fn send(&self, frame: Bytes) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Queues a message.
    pub fn message(&self, message: &Message) -> bool {
        self.send(message.frame())
    }
}

/// Dials `address` and sets the link's options.
///
/// # Errors
/// If the connection is not up within [`CONNECT_TIMEOUT`], or a socket option cannot be set.
pub async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens on `address` for links.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Sets the socket options of every link: no delay, and time-outs that detect a peer that vanished.
///
/// # Errors
/// If a socket option cannot be set.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)
}

/// Reads messages off a link.
pub struct MessageReader {
    stream: BufReader<OwnedReadHalf>,
}

impl MessageReader {
    /// Reads from this half of a connection.
    pub fn new(half: OwnedReadHalf) -> Self {
        MessageReader { stream: BufReader::new(half) }
    }

    /// The next message; an error once the link has ended.
    ///
    /// # Errors
    /// If the link has ended, or a frame is too long or no message.
    pub async fn next(&mut self) -> Result<Message, MessageError> {
        let length = self.stream.read_u32_le().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(MessageError::TooLong(length));
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await?;
        Message::decode(&body)
    }
}

/// Writes queued frames until the link fails or the outbox is dropped. Small frames that wait together leave
/// together; a large one is written as it is, as all links share it.
///
/// # Errors
/// If a write fails.
pub async fn write_frames(
    mut half: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Bytes>,
) -> std::io::Result<()> {
    let mut batch = Vec::new();
    while let Some(frame) = frames.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if batch.len() + frame.len() > BATCH_BYTES {
                half.write_all(&batch).await?;
                batch.clear();
            }
            if frame.len() > BATCH_BYTES {
                half.write_all(&frame).await?;
            } else {
                batch.extend_from_slice(&frame);
            }
            next = frames.try_recv().ok();
        }
        half.write_all(&batch).await?;
        batch.clear();
    }
    half.shutdown().await
}
