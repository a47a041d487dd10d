//! The status that controllers report about themselves: the shards for which they can vote, and whether they are
//! draining.

use crate::message::MemberStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl MemberStatus {
    /// The status of a controller with this `incarnation` whose replicas of the shards `voting` can vote.
    pub fn new(incarnation: u64, voting: impl IntoIterator<Item = u8>, draining: bool) -> Self {
        let voting = voting.into_iter().fold(0, |shards, shard| shards | shard_bit(shard));
        MemberStatus { incarnation, voting, draining: u8::from(draining) }
    }

    /// Whether its replica of the shard can vote: its disk works, and it did not lose its data or has recovered since.
    pub fn can_vote(&self, shard: u8) -> bool {
        self.voting & shard_bit(shard) != 0
    }
}

/// The bit of a shard in the mask, or 0 for a shard beyond its 32 bits; there are five shards.
fn shard_bit(shard: u8) -> u32 {
    1_u32.checked_shl(shard.into()).unwrap_or_default()
}

/// The newest status of each controller, this one included.
#[derive(Debug, Default)]
pub(crate) struct MemberStatuses {
    statuses: BTreeMap<SocketAddr, MemberStatus>,
}

impl MemberStatuses {
    /// Records the status of the controller at `node`. Returns whether it has changed.
    pub(crate) fn record(&mut self, node: SocketAddr, status: MemberStatus) -> bool {
        self.statuses.insert(node, status) != Some(status)
    }

    /// The controller at `node` now runs as `incarnation`: drops the status of any other incarnation.
    pub(crate) fn restarted(&mut self, node: SocketAddr, incarnation: u64) {
        if self.statuses.get(&node).is_some_and(|status| status.incarnation != incarnation) {
            self.statuses.remove(&node);
        }
    }

    /// The newest status of the controller at `node`.
    pub(crate) fn get(&self, node: SocketAddr) -> Option<MemberStatus> {
        self.statuses.get(&node).copied()
    }

    /// Whether the controller has reported that it can vote for a shard.
    pub(crate) fn can_vote(&self, node: SocketAddr, shard: u8) -> bool {
        self.statuses.get(&node).is_some_and(|status| status.can_vote(shard))
    }

    /// Whether the controller is draining.
    pub(crate) fn is_draining(&self, node: SocketAddr) -> bool {
        self.statuses.get(&node).is_some_and(|status| status.draining == 1)
    }

    /// Whether the controller may join the group of a shard. A member that cannot vote would reduce the fault tolerance
    /// of the group as soon as it joined.
    pub(crate) fn can_join(&self, node: SocketAddr, shard: u8) -> bool {
        self.can_vote(node, shard) && !self.is_draining(node)
    }
}
