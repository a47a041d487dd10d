//! What a router hears from the control plane.

use crate::configuration::Configuration;
use crate::instance::Instance;
use std::sync::Arc;

/// One piece of news, in the order in which it is to be applied.
#[derive(Debug, Clone)]
pub enum FeedEvent {
    /// A configuration newer than any before.
    Configuration(Arc<Configuration>),
    /// The newest registration of an endpoint; replaces what was known of that incarnation.
    Instance(Instance),
    /// An endpoint is gone: it said so, or its heartbeats stopped.
    Removed {
        /// Id of the incarnation.
        id: String,
    },
    /// How many routers are live, this one included.
    Routers {
        /// Number of live routers.
        live: u32,
    },
    /// Whether a newer configuration is known to exist than any told here, or nobody is heard who would know.
    Behind {
        /// Whether this view may be outdated.
        behind: bool,
    },
    /// Whether the link to the agent of this machine is up.
    AgentLink {
        /// Whether the link is up.
        up: bool,
    },
    /// Everything that was known at the source when the feed began has been told.
    Synchronized,
}
