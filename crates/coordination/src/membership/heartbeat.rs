//! The message that a process sends to its monitors to show that it is live.

use super::node::NodeId;
use deku::prelude::*;
use thiserror::Error;

/// A heartbeat, sent to every monitor of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(magic = b"LGHB", endian = "big")]
pub struct Heartbeat {
    /// The incarnation that sends it.
    pub sender: NodeId,
    /// Rises with each heartbeat of one incarnation, so that late and duplicate ones are recognised.
    pub sequence: u64,
}

/// The bytes are not exactly one heartbeat, or a heartbeat cannot be encoded.
#[derive(Debug, Error)]
#[error("not a heartbeat: {0}")]
pub struct HeartbeatError(#[from] DekuError);

impl Heartbeat {
    /// Decodes a heartbeat.
    ///
    /// # Errors
    /// If the bytes are not exactly one heartbeat.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        Ok(Self::try_from(bytes)?)
    }

    /// Encodes the heartbeat.
    ///
    /// # Errors
    /// None in practice: every heartbeat fits the format.
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(self.to_bytes()?)
    }
}
