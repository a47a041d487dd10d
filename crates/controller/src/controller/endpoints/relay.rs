//! Relays endpoint updates to controllers that are partitioned from the controller that received them.
//!
//! The controller that receives a heartbeat from an endpoint sends it once to every controller that it reaches. If the
//! owner of a shard is partitioned from that controller, while both still reach a majority through a third one, the
//! owner receives no heartbeats and expires endpoints that are alive. The third controller then contradicts the removal,
//! and for [`RELAY_TIME`] it relays to that owner the updates that it receives from other controllers. Only updates that
//! are newer than the local state are relayed, so relays cannot loop.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long updates are relayed to a contradicted peer. If the partition lasts longer, an endpoint is expired and
/// contradicted once per this interval, instead of once per heartbeat time-out.
pub(crate) const RELAY_TIME: Duration = Duration::from_secs(60);

/// The controllers to which updates are relayed.
#[derive(Debug, Default)]
pub(crate) struct RelayTargets {
    /// When each peer was last contradicted.
    contradicted_at: BTreeMap<SocketAddr, Duration>,
}

impl RelayTargets {
    /// `peer` has removed an endpoint of which a newer heartbeat is known here.
    pub(crate) fn contradicted(&mut self, now: Duration, peer: SocketAddr) {
        self.contradicted_at.insert(peer, now);
    }

    /// The peers to which an update from `source` has to be relayed.
    pub(crate) fn targets(&mut self, now: Duration, source: SocketAddr) -> Vec<SocketAddr> {
        self.contradicted_at.retain(|_, at| now < *at + RELAY_TIME);
        self.contradicted_at.keys().copied().filter(|peer| *peer != source).collect()
    }
}
