//! Inspection of what a socket has received, before the HTTP library reads it.

use crate::inspector::ResponseInspector;
use rustix::net::{RecvFlags, recv};
use std::io;
use tokio::net::TcpStream;

/// Number of bytes that tell whether another response follows.
const FOLLOWING_BYTES: usize = 8;

/// Inspects what was read from `stream`; nothing means its end. If that ends with a complete response, the bytes that have
/// arrived behind it are inspected too: `pending`, which were taken from the stream and not read yet, and those that the
/// kernel holds. It is asked directly, because the runtime may not have processed the event yet.
///
/// # Errors
/// [`crate::FramingError`] if the response has to be refused. The bytes must not be used then.
pub fn inspect_received(
    inspector: &mut ResponseInspector,
    received: &[u8],
    pending: &[u8],
    stream: &TcpStream,
) -> io::Result<()> {
    inspector.read(received)?;
    if received.is_empty() || !inspector.is_complete() {
        return Ok(());
    }
    inspector.push_following(pending)?;
    let mut bytes = [0; FOLLOWING_BYTES];
    let peeked = recv(stream, &mut bytes[..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    // The reader of the stream gets the errors of the connection.
    let length = peeked.map_or(0, |(length, _)| length);
    Ok(inspector.push_following(&bytes[..length])?)
}
