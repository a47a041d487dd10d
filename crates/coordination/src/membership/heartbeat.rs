//! The message by which a process says that it is live.

use super::node::NodeId;
use deku::prelude::*;
use thiserror::Error;

/// "I am live", as sent to every monitor of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(magic = b"LGHB", endian = "big")]
pub struct Heartbeat {
    pub sender: NodeId,
    /// Rises with each heartbeat of one life, so that late and doubled ones are recognised.
    pub sequence: u64,
}

/// What was received is not a heartbeat.
#[derive(Debug, Error)]
#[error("not a heartbeat: {0}")]
pub struct HeartbeatError(#[from] DekuError);

impl Heartbeat {
    /// The heartbeat that `bytes` hold, and nothing else.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeartbeatError> {
        Ok(Self::try_from(bytes)?)
    }

    /// The heartbeat as it is sent.
    pub fn encode(&self) -> Result<Vec<u8>, HeartbeatError> {
        Ok(self.to_bytes()?)
    }
}
