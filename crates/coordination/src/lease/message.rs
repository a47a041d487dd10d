//! Messages between candidates and grantors.

use crate::membership::NodeId;
use deku::prelude::*;
use std::time::Duration;
use thiserror::Error;

/// A message between a candidate and a grantor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(magic = b"LGLS", id_type = "u8")]
pub enum LeaseMessage {
    /// A candidate requests a grant.
    #[deku(id = "1")]
    Request(LeaseRequest),
    /// A grantor replies to a request.
    #[deku(id = "2")]
    Reply(LeaseReply),
    /// A candidate releases its grants.
    #[deku(id = "3")]
    Release(LeaseRelease),
}

/// A candidate requests a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseRequest {
    /// The shard.
    pub shard: u32,
    /// The candidate.
    pub candidate: NodeId,
    /// Rises with each round of one incarnation for one shard.
    pub round: u64,
    /// Generation of the group that the candidate knows.
    pub generation: u64,
    /// How long the candidate may act on the grants of this round, in milliseconds.
    pub valid_ms: u32,
}

/// A grantor's reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseReply {
    /// The shard, as in the request.
    pub shard: u32,
    /// The candidate, as in the request: a late reply may reach another incarnation.
    pub candidate: NodeId,
    /// The round, as in the request.
    pub round: u64,
    /// Whether the grant is given.
    pub granted: bool,
    /// If refused: time after which the grantor can grant, in milliseconds.
    pub wait_ms: u32,
}

/// A candidate releases its grants and does not act on them afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct LeaseRelease {
    /// The shard.
    pub shard: u32,
    /// The candidate.
    pub candidate: NodeId,
    /// The newest round that is released, with all before it.
    pub round: u64,
    /// Time since the candidate's last action, in milliseconds; [`LeaseRelease::NEVER_ACTED`] if there was none.
    pub idle_ms: u32,
}

impl LeaseRelease {
    /// The value of [`LeaseRelease::idle_ms`] for a candidate that never acted.
    pub const NEVER_ACTED: u32 = u32::MAX;
}

/// The bytes are not exactly one lease message, or a message cannot be encoded.
#[derive(Debug, Error)]
#[error("not a lease message: {0}")]
pub struct LeaseMessageError(#[from] DekuError);

impl LeaseMessage {
    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self, LeaseMessageError> {
        Ok(Self::try_from(bytes)?)
    }

    /// Encodes the message.
    ///
    /// # Errors
    /// None in practice: every message fits the format.
    pub fn encode(&self) -> Result<Vec<u8>, LeaseMessageError> {
        Ok(self.to_bytes()?)
    }
}

/// A duration in the unit of the messages, rounded up.
pub(super) fn millis_rounded_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
