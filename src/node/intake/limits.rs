//! Limits on clients' requests and connections that several parts of the intake share.

use std::time::Duration;

/// Bytes of a message's body at most.
pub(super) const MAX_BODY: usize = 64 * 1024;
/// A longer body is read no further and costs its connection.
pub(super) const MAX_DRAINED_BODY: usize = 1024 * 1024;
/// Bytes of a request's head at most.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// A client must get a response or a close within 3 s of connecting. These limit how long it may stay silent, and how
/// long a request may take from its first byte or, for the first one, from connecting. Ordinary clients connect ahead
/// and send a second or two later, and some valid ones take 2 s to write: an earlier close would fail them.
pub(super) const SILENT_TIMEOUT: Duration = Duration::from_millis(2500);
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2850);
/// Bytes still unread at a connection's time-out may be the rest of its request: they are read for this much longer,
/// in steps, which still ends within the 3 s.
pub(super) const UNREAD_GRACE: Duration = Duration::from_millis(80);
pub(super) const UNREAD_STEP: Duration = Duration::from_millis(5);
