//! Links between processes: TCP connections on which each message is one frame.

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

/// Time limit for connecting: a partitioned network reports no error.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged before the link counts as dead.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a link that failed is dialled again.
pub const REDIAL_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of frames queued for a slow receiver. A subscriber whose queue overflows is disconnected, and starts
/// again with a new link.
const OUTBOX_MESSAGES: usize = 8_192;
/// Maximum number of bytes of small frames that are written together. Each link has a buffer of this size, and a
/// controller has hundreds of links.
const BATCH_BYTES: usize = 32 * 1024;
/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 512;

/// Queue of the frames to send on a link.
#[derive(Debug, Clone)]
pub struct Outbox {
    frames: mpsc::Sender<Bytes>,
}

impl Outbox {
    /// Creates an outbox, and the receiver of the frames to write.
    pub fn new() -> (Outbox, mpsc::Receiver<Bytes>) {
        let (frames, receiver) = mpsc::channel(OUTBOX_MESSAGES);
        (Outbox { frames }, receiver)
    }

    /// Queues a frame. Returns false if the link is closed or the queue is full.
    pub fn send(&self, frame: Bytes) -> bool {
        self.frames.try_send(frame).is_ok()
    }

    /// Queues a message, with the same result as [`Outbox::send`].
    pub fn message(&self, message: &Message) -> bool {
        self.send(message.frame())
    }
}

/// Connects to `address` and sets the socket options of a link.
///
/// # Errors
/// If the connection fails or is not established within [`CONNECT_TIMEOUT`], or a socket option cannot be set.
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

/// Sets the socket options of a link: no delay, and time-outs that detect an unreachable peer.
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

/// Reads messages from a link.
pub struct MessageReader {
    stream: BufReader<OwnedReadHalf>,
}

impl MessageReader {
    /// A reader on the read half of a connection.
    pub fn new(half: OwnedReadHalf) -> Self {
        MessageReader { stream: BufReader::new(half) }
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// If the link has closed or failed, or a frame is too long or not a valid message.
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

/// Writes queued frames until the link fails or the outbox is dropped. Small frames that are queued together are copied
/// into one write. Large frames are written directly, without a copy, because all links share their memory.
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
