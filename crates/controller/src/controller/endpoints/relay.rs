//! Relays of endpoint news to controllers that do not hear it from its first receiver.
//!
//! Heartbeats are sent once, by the controller that received them, to every controller it reaches. The owner of a shard that is partitioned
//! from that controller, while both reach a majority through a third, hears nothing and expires endpoints that are alive; the
//! third contradicts. From then on the third relays to that owner what it learns from others, for [`RELAY_TIME`].
//! Only what is newer than what was known here is relayed, so relays never go round in circles.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a contradicted peer is relayed to. While a partition lasts longer, an endpoint is expired and contradicted once in this
/// time, instead of once in each time-out of its heartbeats.
pub(crate) const RELAY_TIME: Duration = Duration::from_secs(60);

/// The controllers to which news is relayed.
#[derive(Debug, Default)]
pub(crate) struct RelayTargets {
    /// When each peer was last contradicted.
    contradicted_at: BTreeMap<SocketAddr, Duration>,
}

impl RelayTargets {
    /// `peer` has removed an endpoint whose newer heartbeat is known here.
    pub(crate) fn contradicted(&mut self, now: Duration, peer: SocketAddr) {
        self.contradicted_at.insert(peer, now);
    }

    /// The peers that have to learn what has just been learned from `source`.
    pub(crate) fn targets(&mut self, now: Duration, source: SocketAddr) -> Vec<SocketAddr> {
        self.contradicted_at.retain(|_, at| now < *at + RELAY_TIME);
        self.contradicted_at.keys().copied().filter(|peer| *peer != source).collect()
    }
}
