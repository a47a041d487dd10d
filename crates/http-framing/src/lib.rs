//! Strict framing of HTTP/1.1 responses.
//!
//! The HTTP library is a lenient reader: it accepts a bare line feed as the end of a line, merges repeated lengths, decides
//! between a length and an encoding, and takes the bytes after a body for the next response. A response whose head was
//! damaged where it tells the length of its body can then look complete, with a body that its sender did not send.
//!
//! A [`ResponseInspector`] sees the bytes of a connection before the library does, and refuses with a [`FramingError`] what
//! has no single reading. [`InspectedStream`] puts it between a socket and the library.
//!
//! Invariant: of a response that is refused, the library never gets the bytes that would complete it.

mod chunks;
mod counts;
mod error;
mod head;
mod inspector;
mod leaked_head;
mod stream;
mod until_close;

pub use chunks::{ChunkScanner, NotChunked};
pub use counts::RefusalCounts;
pub use error::FramingError;
pub use head::{BodyLength, Head, read_head};
pub use inspector::ResponseInspector;
pub use stream::{InspectedStream, inspect_received};
