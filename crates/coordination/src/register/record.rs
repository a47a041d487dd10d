//! The durable state of a replica.

use deku::prelude::*;

use super::ballot::Ballot;
use super::codec::{self, CodecError};
use super::incarnation::MinimumIncarnations;
use super::value::Value;

/// The durable state of a replica. One that is still recovering has none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Record {
    /// The incarnation of the node; zero for a bootstrap member.
    pub incarnation: u64,
    /// The highest promise: nothing below it is accepted.
    pub promised: Ballot,
    /// The ballot of the accepted value.
    pub accepted: Ballot,
    /// The accepted value.
    pub value: Value,
    /// Minimum incarnations of other nodes.
    pub minimum_incarnations: MinimumIncarnations,
}

impl Record {
    /// Encodes the record.
    ///
    /// # Errors
    /// If the state is longer than its 32-bit length field allows.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        Ok(self.to_bytes()?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// If the bytes are not exactly one record.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        codec::decode(bytes)
    }
}
