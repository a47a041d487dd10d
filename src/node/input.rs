//! What reaches the courier from its other parts.

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
    /// The platform has acknowledged the notices for these.
    NoticesAcknowledged(Vec<u64>),
    /// Another process is there to go on in this one's place.
    Successor(Successor),
    /// The configuration was read again: where discovery is now.
    DiscoveryMoved(SocketAddr),
    /// A segment of the journal was read again.
    Scrubbed(Scrubbed),
    Stop,
}
