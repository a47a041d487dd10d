//! Input to the courier's event loop from the other modules.

use super::calls::CallEnd;
use super::discovery::List;
use super::handover::Successor;
use super::intake::Submission;
use super::journal::Scrubbed;
use crate::interface::EndpointId;
use std::net::SocketAddr;
use tokio::time::Instant;

pub enum Input {
    Submitted(Submission),
    CallEnded {
        message: u64,
        attempt: u32,
        endpoint: EndpointId,
        end: CallEnd,
    },
    Probed {
        endpoint: EndpointId,
        sent: Instant,
        end: CallEnd,
    },
    EndpointList(List),
    /// The platform has acknowledged the notices for these messages.
    NoticesAcknowledged(Vec<u64>),
    /// Another process asks to take over from this one.
    Successor(Successor),
    /// The configuration was reloaded: the address of discovery.
    DiscoveryMoved(SocketAddr),
    /// A segment of the journal was scrubbed.
    Scrubbed(Scrubbed),
    Stop,
}
