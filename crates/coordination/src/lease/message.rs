//! What candidates and grantors say to one another.

use crate::membership::NodeId;
use deku::prelude::*;
use thiserror::Error;

/// A message between a candidate and a grantor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(magic = b"LGLS", id_type = "u8")]
pub enum LeaseMessage {
    #[deku(id = "1")]
    Request(LeaseRequest),
    #[deku(id = "2")]
    Reply(LeaseReply),
    #[deku(id = "3")]
    Release(LeaseRelease),
}

/// A candidate asks for a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseRequest {
    pub shard: u32,
    pub candidate: NodeId,
    /// Rises with each request of one life for one shard.
    pub round: u64,
    /// Generation of the group that the candidate knows.
    pub generation: u64,
    /// How long the candidate will act on this round, ms.
    pub valid_ms: u32,
}

/// A grantor's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseReply {
    pub shard: u32,
    /// The candidate that asked: a late answer may meet another life.
    pub candidate: NodeId,
    pub round: u64,
    pub granted: bool,
    /// When refused: time after which the grantor may grant, ms.
    pub wait_ms: u32,
}

/// A candidate gives its grants back and will not act on them again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseRelease {
    pub shard: u32,
    pub candidate: NodeId,
    /// The last round that is given back, with all before it.
    pub round: u64,
    /// Time since the last act of the candidate, ms; [`LeaseRelease::NEVER_ACTED`] if there was none.
    pub idle_ms: u32,
}

impl LeaseRelease {
    /// Stands for "the candidate never acted".
    pub const NEVER_ACTED: u32 = u32::MAX;
}

/// What was received is not a message of the lease.
#[derive(Debug, Error)]
#[error("not a lease message: {0}")]
pub struct LeaseMessageError(#[from] DekuError);

impl LeaseMessage {
    /// The message that `bytes` hold, and nothing else.
    pub fn decode(bytes: &[u8]) -> Result<Self, LeaseMessageError> {
        Ok(Self::try_from(bytes)?)
    }

    /// The message as it is sent.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseMessageError> {
        Ok(self.to_bytes()?)
    }
}
