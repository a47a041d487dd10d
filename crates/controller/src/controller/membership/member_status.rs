//! What controllers say of themselves: for which shards they can vote, and whether they are about to end.

use crate::message::MemberStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl MemberStatus {
    /// A controller in this `incarnation` whose replicas of `voting` can vote.
    pub fn new(incarnation: u64, voting: impl IntoIterator<Item = u8>, draining: bool) -> Self {
        let voting = voting.into_iter().fold(0, |shards, shard| shards | shard_bit(shard));
        MemberStatus { incarnation, voting, draining: u8::from(draining) }
    }

    /// Whether its replica of the shard can vote: it has not lost its disk, or has recovered since.
    pub fn can_vote(&self, shard: u8) -> bool {
        self.voting & shard_bit(shard) != 0
    }
}

/// Shards beyond those of a word cannot be told; there are five.
fn shard_bit(shard: u8) -> u32 {
    1_u32.checked_shl(shard.into()).unwrap_or_default()
}

/// The newest word of each controller, this one included.
#[derive(Debug, Default)]
pub struct MemberStatuses {
    statuses: BTreeMap<SocketAddr, MemberStatus>,
}

impl MemberStatuses {
    /// Takes what the controller at `node` says. True if it is news.
    pub fn record(&mut self, node: SocketAddr, status: MemberStatus) -> bool {
        self.statuses.insert(node, status) != Some(status)
    }

    /// The controller at `node` runs as `incarnation` now: what an earlier life said holds no more.
    pub fn restarted(&mut self, node: SocketAddr, incarnation: u64) {
        if self.statuses.get(&node).is_some_and(|status| status.incarnation != incarnation) {
            self.statuses.remove(&node);
        }
    }

    /// What the controller at `node` said last.
    pub fn get(&self, node: SocketAddr) -> Option<MemberStatus> {
        self.statuses.get(&node).copied()
    }

    /// Whether the controller can vote for a shard, as far as it has said.
    pub fn can_vote(&self, node: SocketAddr, shard: u8) -> bool {
        self.statuses.get(&node).is_some_and(|status| status.can_vote(shard))
    }

    /// Whether the controller is about to end.
    pub fn is_draining(&self, node: SocketAddr) -> bool {
        self.statuses.get(&node).is_some_and(|status| status.draining == 1)
    }

    /// Whether the controller may be made a member of the group of a shard: a vote less would be a loss that is
    /// borne from the start.
    pub fn can_join(&self, node: SocketAddr, shard: u8) -> bool {
        self.can_vote(node, shard) && !self.is_draining(node)
    }
}
