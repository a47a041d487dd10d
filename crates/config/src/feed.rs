//! What a router receives from the control plane.

use crate::configuration::Configuration;
use crate::instance::Instance;
use std::sync::Arc;

/// An event of the feed; events are applied in order.
#[derive(Debug, Clone)]
pub enum FeedEvent {
    /// A configuration newer than any before.
    Configuration(Arc<Configuration>),
    /// The newest registration of an endpoint; replaces the previous one of that incarnation.
    Instance(Instance),
    /// An endpoint was removed: it deregistered, or its heartbeats timed out.
    Removed {
        /// Id of the incarnation.
        id: String,
    },
    /// How many routers are live, this one included.
    Routers {
        /// Number of live routers.
        live: u32,
    },
    /// Whether this view may be outdated: a newer configuration than any in this feed is known to exist, or no source
    /// that would know of one is connected.
    Behind {
        /// Whether this view may be outdated.
        behind: bool,
    },
    /// Whether the link to the agent of this machine is up.
    AgentLink {
        /// Whether the link is up.
        up: bool,
    },
    /// Everything that the source knew when the feed began has been sent.
    Synchronized,
}
